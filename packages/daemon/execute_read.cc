#include <algorithm>

#include "base/log.h"
#include "daemon/execute.h"
#include "database/read_candidates.h"

namespace bulrushlift {
namespace {

// Reads that are taken from the queue and wait for a point or a connection. More of them
// would only move the queue out of its fair order.
constexpr std::size_t parked_bound = 64;

}  // namespace

void service_executor::pump_reads() {
  const auto waiting = std::exchange(parked_reads_, {});
  for (const auto& it : waiting) route(it);
  while (parked_reads_.size() < parked_bound && has_read_capacity()) {
    const auto ticket = queue_.pop(request_class::read, pop_from::all, now());
    if (!ticket) return;
    if (const auto it = find(ticket->value())) route(it);
  }
}

bool service_executor::has_read_capacity() const {
  const auto& targets = group_.view().targets;
  return std::any_of(targets.begin(), targets.end(), [this](const target_view& each) {
    const auto found = targets_.find(each.target);
    if (found == targets_.end() || !each.is_reachable) return false;
    const auto pool = found->second->view();
    return pool.free_slots() > 0 && pool.idle > 0;
  });
}

void service_executor::route(const task_pointer& it) {
  const auto time = now();
  if (!tasks_.contains(it->ticket.value())) return;
  if (it->request.deadline <= time) {
    finish(it, tl::unexpected<error>(it->attempts.on_deadline()));
    return;
  }
  collect_candidates(time);
  const auto decision = route_read(requirements_of(*it), candidates_, read_options_, time, context_.random());
  if (const auto* wait = std::get_if<wait_for_target>(&decision)) {
    park(it, wait->until);
    return;
  }
  if (const auto* refusal = std::get_if<refuse_read>(&decision)) {
    refuse(it, refusal->cause);
    return;
  }
  const auto& chosen = std::get<run_read>(decision);
  it->is_on_replica = chosen.is_replica;
  const auto target = targets_.find(chosen.target);
  if (target == targets_.end()) {
    park(it, time + read_options_.retry_interval);
    return;
  }
  if (!start_single(it, *target->second, std::nullopt)) {
    park(it, it->request.deadline);
    return;
  }
  if (is_next_decision_logged()) {
    log_info("read_routed", {{"request_id", it->request.id.str()},
                             {"service", service_.str()},
                             {"target", chosen.target.str()},
                             {"reason", chosen.reason}});
  }
}

void service_executor::park(const task_pointer& it, time_point wake) {
  it->state = phase::parked;
  it->wake = wake;
  parked_reads_.push_back(it);
}

void service_executor::collect_candidates(time_point now) {
  for (const auto& [name, connections] : targets_) pool_views_[name] = connections->view();
  candidates_ = make_read_candidates(group_.view(), pool_views_, now);
  for (auto& each : candidates_) {
    // A slot is of no use to a new request without an idle connection.
    const auto found = pool_views_.find(each.target);
    if (found != pool_views_.end()) each.free_slots = std::min(each.free_slots, found->second.idle);
  }
}

read_requirements service_executor::requirements_of(const task& it) const {
  read_requirements requirements;
  requirements.required_point = it.request.required_point;
  if (it.request.max_age) requirements.maximum_age = *it.request.max_age;
  requirements.data_centre = context_.options.data_centre;
  requirements.deadline = it.request.deadline;
  requirements.first_routed = it.first_routed;
  requirements.queued_reads = static_cast<std::uint32_t>(parked_reads_.size());
  requirements.is_primary_only = it.must_use_primary || !it.request.may_use_replicas;
  return requirements;
}

}  // namespace bulrushlift
