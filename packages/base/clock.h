#pragma once

#include <chrono>
#include <concepts>

/// @file
/// Monotonic time. Controllers receive a `time_point` with each event; only the
/// daemon and the tests read a clock.

namespace bulrushlift {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A source of monotonic time.
template <class T>
concept monotonic_clock = requires(const T& clock) {
  { clock.now() } -> std::same_as<time_point>;
};

/// The machine's monotonic clock.
class system_clock {
 public:
  [[nodiscard]] time_point now() const noexcept { return std::chrono::steady_clock::now(); }
};

/// A clock that tests move by hand.
class manual_clock {
 public:
  [[nodiscard]] time_point now() const noexcept { return now_; }
  void advance(duration step) noexcept { now_ += step; }

 private:
  time_point now_{std::chrono::seconds{1'000}};
};

}  // namespace bulrushlift
