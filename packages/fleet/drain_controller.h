#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"

/// @file
/// Graceful shutdown of a process (design 3.15).

namespace bulrushlift {

/// Progress of the shutdown.
enum class drain_state { running, draining, drained };
[[nodiscard]] std::string_view name_of(drain_state value) noexcept;

/// Time limits of the shutdown.
struct drain_options {
  /// Time that requests and transactions in flight have to complete.
  duration drain_time = std::chrono::seconds{20};
  /// Time that the load balancer needs to notice that the VM is not ready. New connections are
  /// accepted until then.
  duration readiness_time = std::chrono::seconds{2};
  /// Time to send the last answers after `drain_time` has passed.
  duration flush_time = std::chrono::seconds{1};
};

/// Work in flight.
struct drain_counts {
  std::uint64_t requests = 0;  ///< Requests of callers and peers, including those that wait for an answer.
  std::uint64_t transactions = 0;  ///< Open transactions that this VM owns.
  std::uint64_t unsent_bytes = 0;  ///< Bytes of answers to callers and peers that are not sent yet.

  /// @return whether no work is in flight.
  [[nodiscard]] bool is_empty() const noexcept {
    return requests == 0 && transactions == 0 && unsent_bytes == 0;
  }
  friend bool operator==(const drain_counts&, const drain_counts&) = default;
};

/// From now on answer `/readyz` with status 503 and send `Connection: close` with each answer.
struct become_unready {};
/// Call `membership_controller::leave`, which moves the ownership of services to other VMs.
struct announce_leave {};
/// Accept the connections of callers that wait, and close the listener. Count the work again afterwards.
struct stop_accepting {};
/// Close the connections of callers that have no request in flight.
struct close_idle_callers {};
/// End the remaining transactions and requests, and report their actual outcomes.
struct end_remaining {};
/// Exit: all work is answered, or the time is over.
struct exit_process {
  drain_counts remaining;  ///< Work that was not completed.
};

using drain_action = std::variant<become_unready, announce_leave, stop_accepting, close_idle_callers,
                                  end_remaining, exit_process>;
using drain_actions = std::vector<drain_action>;

/// Controls the graceful shutdown of one process. Requests on open and new connections are still
/// served while the process drains, since the load balancer needs `readiness_time` to notice. New
/// transactions begin at the new owner.
class drain_controller {
 public:
  explicit drain_controller(drain_options options = {}) : options_(options) {}

  /// Starts the shutdown, on SIGTERM or the operator's command. Further calls have no effect.
  [[nodiscard]] drain_actions start(time_point now);
  /// The work in flight has changed.
  [[nodiscard]] drain_actions on_counts(const drain_counts& counts, time_point now);
  /// Call at the time that `next_timer` returns.
  [[nodiscard]] drain_actions on_timer(time_point now);

  /// @return when to call `on_timer`, or nothing if no timer is needed.
  [[nodiscard]] std::optional<time_point> next_timer() const;
  [[nodiscard]] drain_state state() const noexcept { return state_; }
  [[nodiscard]] const drain_counts& counts() const noexcept { return counts_; }

 private:
  [[nodiscard]] drain_actions advance(time_point now);
  [[nodiscard]] time_point listener_end() const noexcept { return started_ + options_.readiness_time; }
  [[nodiscard]] time_point work_end() const noexcept { return started_ + options_.drain_time; }
  [[nodiscard]] time_point flush_end() const noexcept { return work_end() + options_.flush_time; }

  drain_options options_;
  drain_state state_ = drain_state::running;
  drain_counts counts_;
  time_point started_{};
  bool is_listener_closed_ = false;
  bool is_counted_since_close_ = false;  ///< `counts_` was taken after the listener closed.
  bool is_work_ended_ = false;
};

}  // namespace bulrushlift
