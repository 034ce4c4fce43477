#include <algorithm>

#include "base/log.h"
#include "daemon/execute.h"
#include "database/read_candidates.h"

namespace bulrushlift {
namespace {

// Limit of reads that have left the fair queue and wait for a log point or a connection. They are no longer
// scheduled fairly between customers, so only a few may wait outside the queue.
constexpr std::size_t max_waiting_reads = 64;

}  // namespace

void service_executor::dispatch_reads() {
  const auto waiting = std::exchange(waiting_reads_, {});
  for (const auto& task : waiting) route(task);
  while (waiting_reads_.size() < max_waiting_reads && has_read_capacity()) {
    const auto ticket = queue_.pop(request_class::read, pop_from::all, now());
    if (!ticket) return;
    if (const auto task = find(ticket->value())) route(task);
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

void service_executor::route(const task_pointer& task) {
  const auto time = now();
  if (!tasks_.contains(task->ticket.value())) return;
  if (task->request.deadline <= time) {
    finish(task, tl::unexpected<error>(task->attempts.on_deadline()));
    return;
  }
  collect_candidates(time);
  const auto decision =
      route_read(requirements_of(*task), candidates_, read_options_, time, context_.random());
  if (const auto* wait = std::get_if<wait_for_target>(&decision)) {
    defer_read(task, wait->until);
    return;
  }
  if (const auto* refusal = std::get_if<refuse_read>(&decision)) {
    refuse(task, refusal->cause);
    return;
  }
  const auto& chosen = std::get<run_read>(decision);
  task->is_on_replica = chosen.is_replica;
  const auto target = targets_.find(chosen.target);
  if (target == targets_.end()) {
    defer_read(task, time + read_options_.retry_interval);
    return;
  }
  if (!start_single(task, *target->second, std::nullopt)) {
    defer_read(task, task->request.deadline);
    return;
  }
  if (is_next_decision_logged()) {
    log_info("read_routed", {{"request_id", task->request.id.str()},
                             {"service", service_.str()},
                             {"target", chosen.target.str()},
                             {"reason", chosen.reason}});
  }
}

void service_executor::defer_read(const task_pointer& task, time_point wake_time) {
  task->state = phase::awaiting_target;
  task->wake_time = wake_time;
  waiting_reads_.push_back(task);
}

void service_executor::collect_candidates(time_point now) {
  for (const auto& [name, connections] : targets_) pool_views_[name] = connections->view();
  candidates_ = make_read_candidates(group_.view(), pool_views_, now);
  for (auto& each : candidates_) {
    // A new request needs both a free slot and an idle connection.
    const auto found = pool_views_.find(each.target);
    if (found != pool_views_.end()) each.free_slots = std::min(each.free_slots, found->second.idle);
  }
}

read_requirements service_executor::requirements_of(const request_task& task) const {
  read_requirements requirements;
  requirements.required_point = task.request.required_point;
  if (task.request.max_age) requirements.maximum_age = *task.request.max_age;
  requirements.data_centre = context_.options.data_centre;
  requirements.deadline = task.request.deadline;
  requirements.first_routed = task.first_routed;
  requirements.queued_reads = static_cast<std::uint32_t>(waiting_reads_.size());
  requirements.is_primary_only = task.must_use_primary || !task.request.may_use_replicas;
  return requirements;
}

}  // namespace bulrushlift
