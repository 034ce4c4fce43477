#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"

/// @file
/// Orderly end of a process (design 3.15).

namespace bulrushlift {

enum class drain_state { running, draining, drained };
[[nodiscard]] std::string_view name_of(drain_state value) noexcept;

struct drain_options {
  /// Time for requests and transactions in flight.
  duration drain_time = std::chrono::seconds{20};
  /// Time in which the load balancer notices that the VM is not ready; new connections are
  /// still accepted until then.
  duration readiness_time = std::chrono::seconds{2};
  /// Time to write the last answers after the end of `drain_time`.
  duration flush_time = std::chrono::seconds{1};
};

/// Work that is in flight; the blackboard entry `drain` shows it.
struct drain_counts {
  std::uint64_t requests = 0;      ///< Of callers and peers, waiting answers included.
  std::uint64_t transactions = 0;  ///< Open ones that this VM owns.
  std::uint64_t unsent_bytes = 0;  ///< Of answers to callers and peers.

  [[nodiscard]] bool is_empty() const noexcept {
    return requests == 0 && transactions == 0 && unsent_bytes == 0;
  }
  friend bool operator==(const drain_counts&, const drain_counts&) = default;
};

/// `/readyz` answers 503 and answers carry `Connection: close` from now on.
struct become_unready {};
/// Announce the leave: `membership_controller::leave`. Ownership moves by it.
struct announce_leave {};
/// Close the listener for callers.
struct stop_accepting {};
/// Close connections of callers that have no request.
struct close_idle_callers {};
/// End the remaining transactions and requests with their true outcomes.
struct end_remaining {};
/// Everything is answered, or the time is over.
struct exit_process {
  drain_counts remaining;
};

using drain_action = std::variant<become_unready, announce_leave, stop_accepting, close_idle_callers,
                                  end_remaining, exit_process>;
using drain_actions = std::vector<drain_action>;

/// Controller of the drain of one process. While it drains, requests on open and new connections are
/// still served, as the load balancer needs `readiness_time` to notice; new transactions begin at the
/// new owner.
class drain_controller {
 public:
  explicit drain_controller(drain_options options = {}) : options_(options) {}

  /// SIGTERM or the operator's command; further calls change nothing.
  [[nodiscard]] drain_actions start(time_point now);
  /// The work in flight changed.
  [[nodiscard]] drain_actions on_counts(const drain_counts& counts, time_point now);
  /// Call at `next_timer`.
  [[nodiscard]] drain_actions on_timer(time_point now);

  [[nodiscard]] std::optional<time_point> next_timer() const;
  [[nodiscard]] drain_state state() const noexcept { return state_; }
  [[nodiscard]] const drain_counts& counts() const noexcept { return counts_; }

 private:
  [[nodiscard]] drain_actions advance(time_point now);
  [[nodiscard]] time_point listener_end() const noexcept { return started_ + options_.readiness_time; }
  [[nodiscard]] time_point work_end() const noexcept { return started_ + options_.drain_time; }
  [[nodiscard]] time_point last_end() const noexcept { return work_end() + options_.flush_time; }

  drain_options options_;
  drain_state state_ = drain_state::running;
  drain_counts counts_;
  time_point started_{};
  bool is_listener_closed_ = false;
  bool is_work_ended_ = false;
};

}  // namespace bulrushlift
