#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/environment.h"

/// @file
/// Which log point a read must have seen, without synchronised clocks.
///
/// A sample (t, p) states: every commit that was acknowledged before time t on
/// this VM's clock is at or below point p. It comes from an answer that only the
/// primary gives (the begin of a transaction that may write): t is the time at
/// which that request was sent, p the point in the answer. A target whose log
/// holds p therefore holds data that is at most now - t old.

namespace bulrushlift::sql {

struct freshness_sample {
  time_point sent{};
  log_point point;

  friend bool operator==(const freshness_sample&, const freshness_sample&) = default;
};

/// The samples of one service at one VM, oldest first.
class freshness_log {
 public:
  /// Adds a sample. A sample whose point is below the newest one comes from an
  /// older primary and is dropped.
  void add(const freshness_sample& sample);

  /// Chooses the least demanding point that satisfies the age bound, so that the
  /// replicas most probably have it already.
  /// @param max_age greatest age of the data.
  /// @return nothing if no sample is young enough.
  [[nodiscard]] std::optional<log_point> point_for(duration max_age, time_point now) const;

  /// @return the time of the newest sample.
  [[nodiscard]] std::optional<time_point> newest() const;
  [[nodiscard]] std::optional<log_point> newest_point() const;

  /// Drops samples that are older than any route's bound.
  void forget_before(time_point when);

 private:
  std::deque<freshness_sample> samples_;
};

/// The point that a read of a session needs, or nothing if only the primary can
/// serve it.
/// @param own_commit newest commit of the session; only read-your-writes uses it.
[[nodiscard]] std::optional<log_point> required_point(const database_route& route,
                                                      const std::optional<log_point>& own_commit,
                                                      const freshness_log& samples, time_point now);

}  // namespace bulrushlift::sql
