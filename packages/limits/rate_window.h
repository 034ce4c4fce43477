#pragma once

#include "base/clock.h"

/// @file
/// A token bucket for limits that are counted over a window.
///
/// Load pattern: a customer asks for more than its rate for many seconds. The operators
/// grant it rate x window + burst operations in any window. A bucket of that rate and burst
/// admits the burst once and only the rate from then on; here a part of the burst flows in
/// as rate, so that a lasting demand gets it in each window.

namespace bulrushlift {

/// Operations per second, and operations at once.
struct rate_limit {
  double rate_per_second = 0;
  double burst = 0;

  friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// Part of the burst that stays available at once: requests arrive in clusters.
inline constexpr double kept_burst_part = 0.4;

/// @param granted what the operators grant.
/// @param window over which it is counted; zero leaves the limit as it is.
/// @return a bucket that admits at most `granted.rate_per_second` x `window` + `granted.burst`
///   operations in any span of that length.
[[nodiscard]] constexpr rate_limit bucket_within_window(const rate_limit& granted, duration window) {
  if (window <= duration::zero()) return granted;
  const std::chrono::duration<double> seconds = window;
  const double kept = granted.burst * kept_burst_part;
  return {granted.rate_per_second + (granted.burst - kept) / seconds.count(), kept};
}

}  // namespace bulrushlift
