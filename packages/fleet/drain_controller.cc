#include "fleet/drain_controller.h"

namespace bulrushlift {

std::string_view name_of(drain_state value) noexcept {
  switch (value) {
    case drain_state::running:
      return "running";
    case drain_state::draining:
      return "draining";
    case drain_state::drained:
      break;
  }
  return "drained";
}

drain_actions drain_controller::start(time_point now) {
  if (state_ != drain_state::running) return {};
  state_ = drain_state::draining;
  started_ = now;
  return {become_unready{}, announce_leave{}};
}

drain_actions drain_controller::on_counts(const drain_counts& counts, time_point now) {
  counts_ = counts;
  is_counted_since_close_ = is_listener_closed_;
  return advance(now);
}

drain_actions drain_controller::on_timer(time_point now) { return advance(now); }

std::optional<time_point> drain_controller::next_timer() const {
  if (state_ != drain_state::draining) return std::nullopt;
  if (!is_listener_closed_) return listener_end();
  return is_work_ended_ ? flush_end() : work_end();
}

drain_actions drain_controller::advance(time_point now) {
  drain_actions actions;
  if (state_ != drain_state::draining || now < listener_end()) return actions;
  if (!is_listener_closed_) {
    is_listener_closed_ = true;
    actions.emplace_back(stop_accepting{});
    actions.emplace_back(close_idle_callers{});
  }
  if (!is_work_ended_ && now >= work_end() && !counts_.is_empty()) {
    is_work_ended_ = true;
    actions.emplace_back(end_remaining{});
  }
  // The listener accepts waiting connections while it closes; earlier counts lack their requests.
  const bool is_work_done = is_counted_since_close_ && counts_.is_empty();
  if (is_work_done || now >= flush_end()) {
    state_ = drain_state::drained;
    actions.emplace_back(exit_process{counts_});
  }
  return actions;
}

}  // namespace bulrushlift
