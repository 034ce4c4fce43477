#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "base/clock.h"

/// @file
/// Budget and back-off of calls to one outside system.
///
///     if (!pacer.try_call(now)) return;   // later
///     send();                             // then succeeded() or failed(now)

namespace bulrushlift {

/// A token bucket with an exponential back-off after failures. The back-off is
/// jittered so that callers that failed together do not return together.
class call_pacer {
 public:
  struct options {
    double calls_per_second = 5;
    double burst = 10;
    duration first_backoff = std::chrono::milliseconds{100};
    duration longest_backoff = std::chrono::seconds{5};
  };

  /// @param seed differs between processes.
  call_pacer(options configured, std::uint64_t seed);

  /// Takes a call from the budget.
  /// @return false if the budget is empty or a back-off runs; nothing is taken then.
  [[nodiscard]] bool try_call(time_point now);

  /// @return the time from which `try_call` succeeds, `now` if it does already.
  [[nodiscard]] time_point next_call(time_point now) const;

  /// The last call was answered: ends the back-off.
  void succeeded() noexcept;
  /// The last call failed: starts a back-off of the full step or down to half of it.
  void failed(time_point now);

 private:
  [[nodiscard]] double level(time_point now) const;

  options options_;
  std::minstd_rand random_;
  double level_;
  time_point updated_{};
  time_point blocked_until_{};
  std::size_t failures_ = 0;
};

}  // namespace bulrushlift
