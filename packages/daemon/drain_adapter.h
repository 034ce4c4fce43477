#pragma once

#include <functional>

#include "daemon/context.h"
#include "fleet/drain_controller.h"

/// @file
/// Runs the drain controller, which shuts the process down gracefully.

namespace bulrushlift {

/// Carries out the steps of a drain and counts the remaining work meanwhile.
class drain_adapter {
 public:
  /// What the drain asks of the other components.
  struct callbacks {
    std::function<drain_counts()> counts;
    std::function<void()> announce_leave;
    std::function<void()> stop_accepting;
    std::function<void()> close_idle_callers;
    std::function<void()> end_remaining;
    std::function<void()> exit_process;
  };

  drain_adapter(daemon_context& context, callbacks handlers);

  /// Starts the drain. Further calls have no effect.
  /// @param reason for the log.
  void start(std::string_view reason);
  [[nodiscard]] drain_counts counts() const { return handlers_.counts(); }

 private:
  void perform(const drain_actions& actions);
  void run(const become_unready& action);
  void run(const announce_leave& action);
  void run(const stop_accepting& action);
  void run(const close_idle_callers& action);
  void run(const end_remaining& action);
  void run(const exit_process& action);
  void poll();

  daemon_context& context_;
  callbacks handlers_;
  drain_controller controller_;
  scoped_timer timer_;
};

}  // namespace bulrushlift
