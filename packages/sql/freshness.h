#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/environment.h"

/// @file
/// Computes the log point that a target must have applied before it serves a read.
/// Needs no synchronised clocks.
///
/// A sample (t, p) states that every commit acknowledged before time t on this VM's
/// clock is at or below log point p. Samples come from a request that only the primary
/// accepts, the begin of a transaction that may write: t is the time at which this VM
/// sent the request, and p is the log point in the answer. The data of a target that has
/// applied p is therefore at most now - t old.

namespace bulrushlift::sql {

/// One sample, see above.
struct freshness_sample {
  time_point sent{};  ///< When the request was sent.
  log_point point;    ///< Log point in the primary's answer.

  friend bool operator==(const freshness_sample&, const freshness_sample&) = default;
};

/// The samples that one VM took of one service, oldest first.
class freshness_log {
 public:
  /// Adds a sample. Drops it if its point is below the newest one, because it then comes
  /// from a superseded primary.
  void add(const freshness_sample& sample);

  /// Finds the lowest point that satisfies the age bound, since replicas are most likely
  /// to have applied that one already.
  /// @param max_age greatest allowed age of the data.
  /// @return the point, or nothing if no sample is recent enough.
  [[nodiscard]] std::optional<log_point> point_for(duration max_age, time_point now) const;

  /// @return the time at which the request of the newest sample was sent.
  [[nodiscard]] std::optional<time_point> newest() const;
  /// @return the point of the newest sample.
  [[nodiscard]] std::optional<log_point> newest_point() const;

  /// Drops the samples that were sent before `when`, but keeps the newest one.
  void drop_before(time_point when);

 private:
  std::deque<freshness_sample> samples_;
};

/// @param own_commit newest commit of the session; used by `consistency::read_your_writes` only.
/// @return the log point that a target must have applied to serve a read of the session, or
///   nothing if only the primary can serve it.
[[nodiscard]] std::optional<log_point> required_point(const database_route& route,
                                                      const std::optional<log_point>& own_commit,
                                                      const freshness_log& samples, time_point now);

}  // namespace bulrushlift::sql
