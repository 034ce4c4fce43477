#pragma once

#include <time.h>

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

/// The machine's monotonic clock, which goes on while the machine is suspended: the age of
/// a sample or of a loan must include that time.
class system_clock {
 public:
  [[nodiscard]] time_point now() const noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
  }
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
