#include <charconv>
#include <utility>

#include "daemon/execute.h"

/// @file
/// Pipeline step "acknowledge": answers of a primary wait until a second member
/// holds the same log point in the same term.

namespace bulrushlift {
namespace {

std::uint64_t ticket_of(const request_id& id) {
  std::uint64_t ticket = 0;
  const auto& text = id.str();
  std::from_chars(text.data(), text.data() + text.size(), ticket);
  return ticket;
}

}  // namespace

void service_executor::await_acknowledgement(const task_pointer& it, service_reply reply) {
  it->reply = std::move(reply);
  it->state = phase::acknowledging;
  // The controller reports the end of this write itself.
  it->is_write_reported = false;
  group_.handle(write_answered{request_id{std::to_string(it->ticket.value())}, it->target, *it->reply.point,
                               it->request.deadline});
}

void service_executor::on_acknowledged(const request_id& id) {
  const auto it = find(ticket_of(id));
  if (!it || it->state != phase::acknowledging) return;
  if (it->kind == request_class::write || is_sufficient(*it)) {
    finish(it, it->reply);
    return;
  }
  it->state = phase::holding;
  held_answers_.push_back(it);
}

bool service_executor::is_sufficient(const task& it) const {
  const auto& point = *it.reply.point;
  return is_answer_sufficient(requirements_of(it), point, data_age(group_.view(), point, now()));
}

void service_executor::release_held_answers() {
  const auto held = std::exchange(held_answers_, {});
  for (const auto& it : held) {
    if (is_sufficient(*it)) {
      finish(it, it->reply);
    } else if (it->request.deadline <= now()) {
      refuse(it, {error_kind::position_unavailable, "no member is known to meet the maximum age"});
    } else {
      held_answers_.push_back(it);
    }
  }
}

void service_executor::on_unacknowledged(const request_id& id) {
  const auto it = find(ticket_of(id));
  if (!it || it->state != phase::acknowledging) return;
  fail_attempt(it, failure_point::unacknowledged,
               {error_kind::outcome_unknown, "no second member confirmed the log position in time"});
}

}  // namespace bulrushlift
