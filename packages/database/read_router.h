#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

/// @file
/// Chooses the target for a read. Pure functions: `read_candidates.h` builds the candidates from the
/// shared state of the proxy, and the daemon passes the time.

namespace bulrushlift {

/// What is known about one target at the time of a read.
struct read_candidate {
  target_id target;
  data_centre_id data_centre;
  bool is_primary = false;
  bool is_reachable = false;
  bool is_leaving = false;
  /// Whether the target's log is known to be a prefix of the primary's log.
  bool is_consistent = false;
  /// Newest known entry of the target's log.
  log_point point;
  /// Upper bound of the age of the data at `point` (design section 3.4); nothing if no sample covers it.
  std::optional<duration> data_age;
  /// Time since the target reported `point`.
  duration point_age{};
  /// Requests of this VM that run at this target.
  std::uint32_t load = 0;
  std::uint32_t free_slots = 0;
  /// Replication rate in log entries per second; 0 while unknown.
  double entries_per_second = 0;
};

/// Requirements of one read.
struct read_requirements {
  /// Log point from the session token; nothing if the session has none for the service.
  std::optional<log_point> required_point;
  /// Maximum age of the data, from the request or else from the route; nothing if it is not limited.
  std::optional<duration> maximum_age;
  /// Data centre whose targets are preferred.
  data_centre_id data_centre;
  time_point deadline{};
  /// When the read was first routed; the wait for a replica is limited from this time on.
  time_point first_routed{};
  /// A replica answered `behind` or with an insufficient log point, so only the primary is tried.
  bool is_primary_only = false;
  /// Reads of the service that already wait for a replica.
  std::uint32_t queued_reads = 0;
};

/// Settings of the read router.
struct read_options {
  /// Longest wait for a replica that is busy or about to reach the required point.
  duration replica_wait = std::chrono::milliseconds{5};
  /// Interval between two routing attempts while no target is known to satisfy the read.
  duration retry_interval = std::chrono::milliseconds{5};
};

/// Run the read on this target; send the required point as `min_point`.
struct run_read {
  target_id target;
  bool is_replica = false;
  std::string_view reason;  ///< For the log.
};

/// Route the read again at `until`, or earlier when a slot becomes free or a log point advances.
struct wait_for_target {
  time_point until;
  std::string_view reason;
};

/// End the read with `position_unavailable` or `target_unavailable`; it has not run.
struct refuse_read {
  error cause;
};

using read_decision = std::variant<run_read, wait_for_target, refuse_read>;

/// @return whether a target at `point` satisfies the session: its log point is not below the required
///   one; terms are compared first (design section 3.2).
[[nodiscard]] bool is_point_satisfied(const read_requirements& read, log_point point) noexcept;

/// @return whether the candidate is a reachable replica that is not leaving and is known to satisfy the
///   required point and the maximum age.
[[nodiscard]] bool is_eligible(const read_requirements& read, const read_candidate& candidate) noexcept;

/// Chooses an eligible replica with a free slot: those in the data centre of the read first, then by the
/// lowest load; `random` breaks ties. If there is none, it chooses the first of these that applies:
/// - a wait of at most `replica_wait`, if the eligible replicas are busy and fewer than three reads wait for
///   each running one, or if the primary has no free slot and a replica is expected to reach the required
///   point in time;
/// - the primary if it has a free slot; its log holds every acknowledged write;
/// - a busy replica or the busy primary;
/// - a wait until the deadline, and then an error.
/// @param random bits from a random number generator.
[[nodiscard]] read_decision route_read(const read_requirements& read,
                                       std::span<const read_candidate> candidates,
                                       const read_options& options, time_point now, std::uint64_t random);

/// Checks an answer before it is returned to the caller. If the answer of a replica is not
/// sufficient, the read runs again on the primary. An answer of the primary is held until a newer
/// freshness sample makes it sufficient; at the deadline the read ends with `position_unavailable`.
/// @param point log point at which the read ran, as the target reported it.
/// @param data_age upper bound of the age of the data at `point` when the answer is returned.
/// @return whether the answer satisfies the required point and the maximum age.
[[nodiscard]] bool is_answer_sufficient(const read_requirements& read, log_point point,
                                        std::optional<duration> data_age) noexcept;

}  // namespace bulrushlift
