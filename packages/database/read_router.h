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
/// Choice of the target for a read. Pure functions: the daemon fills the
/// candidates from the blackboard and passes the time.

namespace bulrushlift {

/// What is known about one target at the time of a read.
struct read_candidate {
  target_id target;
  data_centre_id data_centre;
  bool is_primary = false;
  bool reachable = false;
  bool leaving = false;
  /// Last known end of the target's log.
  log_point point;
  /// Bound on the age of the target's data (design 3.4); nothing when no sample covers it.
  std::optional<duration> data_age;
  /// Requests that run or wait at this target.
  std::uint32_t load = 0;
  std::uint32_t free_slots = 0;
  /// Log entries for each second that the target applies; 0 when not known.
  double replication_rate = 0;
};

/// What one read demands.
struct read_requirements {
  /// From the session token; nothing when the session has no requirement for the service.
  std::optional<log_point> required_point;
  /// From the request, else from the route; nothing when the age is not limited.
  std::optional<duration> maximum_age;
  /// Data centre whose targets are preferred.
  data_centre_id data_centre;
  time_point deadline;
  /// When the read was first routed; bounds the wait for a replica.
  time_point first_routed;
};

struct read_options {
  /// Longest wait for a replica that is about to reach the required point.
  duration replica_wait = std::chrono::milliseconds{5};
  /// Interval between two attempts while no reachable member satisfies the read.
  duration position_poll = std::chrono::milliseconds{5};
};

/// Run the read on this target.
struct run_read {
  target_id target;
  bool on_replica = false;
  std::string_view reason;  ///< For the decision log.
};

/// Route the read again at this time or when a member's point changes.
struct wait_for_point {
  time_point until;
  std::string_view reason;
};

/// The read ends; the error is `position_unavailable` or `target_unavailable`, not run.
struct refuse_read {
  error cause;
};

using read_decision = std::variant<run_read, wait_for_point, refuse_read>;

/// Whether a member at `point` satisfies the session: its point is at or above
/// the required one, by term first (design 3.2).
[[nodiscard]] bool is_point_satisfied(const read_requirements& read, log_point point) noexcept;

/// Whether the candidate is reachable, not leaving, and meets the point and the maximum age.
[[nodiscard]] bool is_eligible(const read_requirements& read, const read_candidate& candidate) noexcept;

/// Chooses an eligible replica: with a free slot first, then in the own data
/// centre, then the least loaded; `random` breaks ties. Without one, waits for
/// a replica up to `replica_wait` if the primary has no free slot, else takes
/// the primary. Without any member that satisfies the session, waits until the
/// deadline and then refuses.
/// @param random bits from a generator.
[[nodiscard]] read_decision route_read(const read_requirements& read,
                                       std::span<const read_candidate> candidates,
                                       const read_options& options, time_point now, std::uint64_t random);

/// Whether the answer of a target may be given to the session. If not, the
/// read runs again on the primary.
/// @param point log point at which the read ran, as the target reported it.
[[nodiscard]] bool is_answer_sufficient(const read_requirements& read, log_point point) noexcept;

}  // namespace bulrushlift
