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
/// Choice of the target for a read. Pure functions: `read_candidates.h` fills
/// the candidates from the blackboard and the daemon passes the time.

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
  /// Last known end of the target's log.
  log_point point;
  /// Bound on the age of the data at `point` (design 3.4); nothing when no sample covers it.
  std::optional<duration> data_age;
  /// Time since the target reported `point`.
  duration point_age{};
  /// Requests that run or wait at this target.
  std::uint32_t load = 0;
  std::uint32_t free_slots = 0;
  /// Log entries for each second that the target applies; 0 while unknown.
  double entries_per_second = 0;
};

/// What one read demands.
struct read_requirements {
  /// From the session token; nothing when the session has no requirement for the service.
  std::optional<log_point> required_point;
  /// From the request, else from the route; nothing when the age is not limited.
  std::optional<duration> maximum_age;
  /// Data centre whose targets are preferred.
  data_centre_id data_centre;
  time_point deadline{};
  /// When the read was first routed; bounds the wait for a replica.
  time_point first_routed{};
  /// A replica answered `behind` or with an insufficient point: only the primary is left.
  bool is_primary_only = false;
  /// Reads of the service that already wait for a replica.
  std::uint32_t queued_reads = 0;
};

struct read_options {
  /// Longest wait for a replica that is busy or about to reach the required point.
  duration replica_wait = std::chrono::milliseconds{5};
  /// Interval between two attempts while no member is known to satisfy the read.
  duration retry_interval = std::chrono::milliseconds{5};
};

/// Run the read on this target, with the required point as `min_point`.
struct run_read {
  target_id target;
  bool is_replica = false;
  std::string_view reason;  ///< For the decision log.
};

/// Route the read again at this time, or before when a slot becomes free or a point changes.
struct wait_for_target {
  time_point until;
  std::string_view reason;
};

/// The read ends; the error is `position_unavailable` or `target_unavailable`, not run.
struct refuse_read {
  error cause;
};

using read_decision = std::variant<run_read, wait_for_target, refuse_read>;

/// Whether a member at `point` satisfies the session: its point is at or above
/// the required one, by term first (design 3.2).
[[nodiscard]] bool is_point_satisfied(const read_requirements& read, log_point point) noexcept;

/// Whether the candidate is a replica that is reachable, stays, and is known to meet point and maximum age.
[[nodiscard]] bool is_eligible(const read_requirements& read, const read_candidate& candidate) noexcept;

/// Chooses an eligible replica with a free slot, in the own data centre first, then the least loaded;
/// `random` breaks ties. Without one:
/// - a wait within `replica_wait` if an eligible replica is busy and the waiting reads are less than three
///   rounds of the running ones, or if the primary has no free slot and a replica is expected to reach the
///   point in time;
/// - the primary, whose log holds each acknowledged point;
/// - a wait until the deadline, and then a refusal.
/// @param random bits from a generator.
[[nodiscard]] read_decision route_read(const read_requirements& read,
                                       std::span<const read_candidate> candidates,
                                       const read_options& options, time_point now, std::uint64_t random);

/// Whether the answer of a target may be given to the session. If the answer of a replica is not
/// sufficient, the read runs again on the primary. The answer of the primary is held until a newer
/// freshness sample makes it sufficient, or refused as `position_unavailable` at the deadline.
/// @param point log point at which the read ran, as the target reported it.
/// @param data_age bound on the age of the data at `point`, when the answer is given.
[[nodiscard]] bool is_answer_sufficient(const read_requirements& read, log_point point,
                                        std::optional<duration> data_age) noexcept;

}  // namespace bulrushlift
