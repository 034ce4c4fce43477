#include <charconv>
#include <utility>

#include "daemon/execute.h"

/// @file
/// Pipeline step "acknowledge": an answer of the primary is held back until a second member
/// of the group has the same log point in the same term.

namespace bulrushlift {
namespace {

std::uint64_t ticket_of(const request_id& id) {
  std::uint64_t ticket = 0;
  const auto& text = id.str();
  std::from_chars(text.data(), text.data() + text.size(), ticket);
  return ticket;
}

}  // namespace

void service_executor::await_acknowledgement(const task_pointer& task, service_reply reply) {
  task->reply = std::move(reply);
  task->state = phase::awaiting_acknowledgement;
  // From here on the group controller tracks the write and reports its end.
  task->is_write_reported = false;
  group_.handle(write_answered{request_id{std::to_string(task->ticket.value())}, task->target,
                               *task->reply.point, task->request.deadline});
}

void service_executor::on_acknowledged(const request_id& id) {
  const auto task = find(ticket_of(id));
  if (!task || task->state != phase::awaiting_acknowledgement) return;
  if (task->kind == request_class::write || is_sufficient(*task)) {
    finish(task, task->reply);
    return;
  }
  task->state = phase::awaiting_freshness;
  stale_answers_.push_back(task);
}

bool service_executor::is_sufficient(const request_task& task) const {
  const auto& point = *task.reply.point;
  return is_answer_sufficient(requirements_of(task), point, data_age(group_.view(), point, now()));
}

void service_executor::release_fresh_answers() {
  const auto blocked = std::exchange(stale_answers_, {});
  for (const auto& task : blocked) {
    if (is_sufficient(*task)) {
      finish(task, task->reply);
    } else if (task->request.deadline <= now()) {
      refuse(task, {error_kind::position_unavailable,
                    "no member of the group is known to have data within the maximum age"});
    } else {
      stale_answers_.push_back(task);
    }
  }
}

void service_executor::on_unacknowledged(const request_id& id) {
  const auto task = find(ticket_of(id));
  if (!task || task->state != phase::awaiting_acknowledgement) return;
  fail_attempt(task, failure_point::unacknowledged,
               {error_kind::outcome_unknown,
                "no second member of the group confirmed the log position before the deadline"});
}

}  // namespace bulrushlift
