#include "daemon/drain_adapter.h"

#include <utility>

#include "base/log.h"

namespace bulrushlift {
namespace {

// Interval between counts of the remaining work during a drain.
constexpr duration count_interval = std::chrono::milliseconds{20};

drain_options options_of(const settings& values) {
  drain_options options;
  options.drain_time = values.timing.drain_time;
  return options;
}

}  // namespace

drain_adapter::drain_adapter(daemon_context& context, callbacks handlers)
    : context_(context),
      handlers_(std::move(handlers)),
      controller_(options_of(context.options)),
      timer_(context.loop) {}

void drain_adapter::start(std::string_view reason) {
  if (controller_.state() != drain_state::running) return;
  log_info("drain_started", {{"reason", reason}});
  perform(controller_.start(context_.loop.now()));
  poll();
}

void drain_adapter::poll() {
  const auto now = context_.loop.now();
  perform(controller_.on_counts(handlers_.counts(), now));
  perform(controller_.on_timer(now));
  timer_.set(count_interval, [this] { poll(); });
}

void drain_adapter::perform(const drain_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  context_.shared.drain = controller_.state();
}

void drain_adapter::run(const become_unready& /*action*/) { context_.shared.drain = drain_state::draining; }
void drain_adapter::run(const announce_leave& /*action*/) { handlers_.announce_leave(); }
void drain_adapter::run(const stop_accepting& /*action*/) { handlers_.stop_accepting(); }
void drain_adapter::run(const close_idle_callers& /*action*/) { handlers_.close_idle_callers(); }
void drain_adapter::run(const end_remaining& /*action*/) { handlers_.end_remaining(); }

void drain_adapter::run(const exit_process& action) {
  log_info("drain_ended", {{"requests", action.remaining.requests},
                           {"transactions", action.remaining.transactions},
                           {"unsent_bytes", action.remaining.unsent_bytes}});
  handlers_.exit_process();
}

}  // namespace bulrushlift
