#include <algorithm>

#include "base/log.h"
#include "daemon/execute.h"

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
  collect_candidates(*it, time);
  const auto decision = route_read(requirements_of(*it), candidates_, read_options_, time, context_.random());
  if (const auto* wait = std::get_if<wait_for_point>(&decision)) {
    park(it, wait->until);
    return;
  }
  if (const auto* refusal = std::get_if<refuse_read>(&decision)) {
    refuse(it, refusal->cause);
    return;
  }
  const auto& chosen = std::get<run_read>(decision);
  it->is_on_replica = chosen.on_replica;
  if (!start_single(it, *targets_.at(chosen.target), std::nullopt)) {
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

void service_executor::collect_candidates(const task& it, time_point now) {
  candidates_.clear();
  const auto& view = group_.view();
  const bool is_primary_only = it.must_use_primary || !it.request.may_use_replicas;
  for (const auto& each : view.targets) {
    const auto found = targets_.find(each.target);
    const bool is_primary = each.target == view.primary;
    if (found == targets_.end() || (is_primary_only && !is_primary) || !is_consistent(view, each)) continue;
    const auto pool = found->second->view();
    read_candidate candidate;
    candidate.target = each.target;
    candidate.data_centre = each.data_centre;
    candidate.is_primary = is_primary;
    candidate.reachable = each.is_reachable;
    candidate.leaving = each.is_leaving;
    candidate.point = each.point;
    if (it.request.max_age) candidate.data_age = data_age(view, each.point, now);
    candidate.load = pool.slots_in_use;
    candidate.free_slots = std::min(pool.free_slots(), pool.idle);
    candidate.replication_rate = each.entries_per_second;
    candidates_.push_back(std::move(candidate));
  }
}

read_requirements service_executor::requirements_of(const task& it) const {
  read_requirements requirements;
  requirements.required_point = it.request.required_point;
  if (it.request.max_age) requirements.maximum_age = *it.request.max_age;
  requirements.data_centre = context_.options.data_centre;
  requirements.deadline = it.request.deadline;
  requirements.first_routed = it.first_routed;
  return requirements;
}

}  // namespace bulrushlift
