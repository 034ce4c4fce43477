#pragma once

#include "base/clock.h"

/// @file
/// Converts a limit that is counted over a sliding window into a token bucket.
///
/// The operators grant a customer rate x window + burst operations in any window. A token
/// bucket with that rate and burst admits the burst once; a customer that asks for more than
/// its rate for many seconds then gets only the rate. The bucket computed here adds a part
/// of the burst to the rate, so that sustained demand gets that part in each window.

namespace bulrushlift {

/// Operations per second, and operations that may run at once.
struct rate_limit {
  double rate_per_second = 0;
  double burst = 0;

  friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// Part of the burst that remains the bucket's capacity, because requests arrive in clusters.
inline constexpr double immediate_burst_fraction = 0.4;

/// @param granted rate and burst that the operators grant.
/// @param window over which operations are counted; zero returns `granted` unchanged.
/// @return a bucket that admits at most `granted.rate_per_second` x `window` + `granted.burst`
///   operations in any span of that length.
[[nodiscard]] constexpr rate_limit bucket_within_window(const rate_limit& granted, duration window) {
  if (window <= duration::zero()) return granted;
  const std::chrono::duration<double> seconds = window;
  const double immediate_burst = granted.burst * immediate_burst_fraction;
  return {granted.rate_per_second + (granted.burst - immediate_burst) / seconds.count(), immediate_burst};
}

}  // namespace bulrushlift
