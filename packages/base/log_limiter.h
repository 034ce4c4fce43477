#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

/// @file
/// Bounds the log lines of each event.
///
/// Load pattern: an overloaded VM refuses hundreds of statements a second. Each line costs
/// processor time that the VM lacks, and a hundred of them tell an engineer as much.

namespace bulrushlift {

/// Lines of one event that were left out.
struct omitted_lines {
  std::string event;
  std::uint64_t count = 0;

  friend bool operator==(const omitted_lines&, const omitted_lines&) = default;
};

/// A token bucket for each event. Not thread-safe.
class log_limiter {
 public:
  /// Lines of an event that may be written at once, in seconds of its rate.
  static constexpr double burst_seconds = 2;

  /// @param lines_per_second of each event; 0 sets no bound.
  explicit log_limiter(std::uint32_t lines_per_second) : rate_(lines_per_second) {}

  /// @return whether a line of the event may be written; counts it if not.
  [[nodiscard]] bool admit(std::string_view event, time_point now);

  /// @return what was left out since the last call, by name of the event.
  [[nodiscard]] std::vector<omitted_lines> take_omitted();

 private:
  struct bucket {
    double tokens = 0;
    time_point filled{};
    std::uint64_t omitted = 0;
  };

  double rate_;
  std::map<std::string, bucket, std::less<>> buckets_;
};

}  // namespace bulrushlift
