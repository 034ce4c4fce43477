#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// State of one database group as its owner knows it, `groups[service]` in the state that the parts
/// of the proxy share. The group controller writes it; read routing, the connection pool and the
/// request pipeline read it.

namespace bulrushlift {

/// Role that a target reports for its own current term.
enum class target_role {
  replica,  ///< Follows a primary, or is fenced and follows no primary.
  primary,
};

/// Status that a target reports about itself; the answer to `GET /v1/status`, `promote` and `follow`.
struct target_status {
  target_id target;
  target_role role = target_role::replica;
  term_id term;                ///< Current term: the highest that the target has accepted.
  log_point point;             ///< Newest entry of its log. Never decreases.
  target_id primary;           ///< The primary that it follows; on a primary, its own id; empty when fenced.
  duration primary_contact{};  ///< Age of its last contact with that primary.
  std::uint32_t slots = 0;
  std::uint32_t slots_used = 0;

  friend bool operator==(const target_status&, const target_status&) = default;
};

/// State of one target as known to the owner.
struct target_view {
  target_id target;
  std::string address;  ///< "ip:port", from the document.
  data_centre_id data_centre;
  bool is_leaving = false;
  bool is_reachable = false;                ///< False after a verified refusal or failed polls.
  target_role role = target_role::replica;  ///< In `term`.
  term_id term;                             ///< Highest current term reported.
  log_point point;             ///< Highest log point reported, by polls or by answers to statements.
  target_id primary;           ///< The primary that it follows in `term`.
  duration primary_contact{};  ///< As reported at `reported_at`.
  time_point reported_at{};    ///< Send time of the newest poll that was answered.
  std::uint32_t slots = 0;
  std::uint32_t slots_used = 0;
  double entries_per_second = 0;  ///< Moving average of the replication rate; 0 while unknown.

  friend bool operator==(const target_view&, const target_view&) = default;
};

/// A log point of the primary that covers every write acknowledged before `sent_at` (design section 3.4).
struct freshness_sample {
  time_point sent_at{};  ///< Send time of the poll round, by the owner's clock.
  log_point point;       ///< Point of the primary; its term is the group's term.

  friend bool operator==(const freshness_sample&, const freshness_sample&) = default;
};

/// Step of a promotion in progress.
enum class promotion_step {
  none,
  draining,   ///< Waits for the writes in flight, in a planned hand-over.
  fencing,    ///< Sends `fence` until a majority has accepted the new term.
  promoting,  ///< Sends `promote` to the chosen member until it answers.
};

/// State of one database group. A copy is a consistent snapshot.
struct group_view {
  service_id service;
  /// If false, this VM neither polls nor promotes, and the other fields may be out of date.
  bool is_owner = false;
  term_id term;       ///< Highest term reported by any target.
  target_id primary;  ///< Primary of `term`; empty while none is known.
  promotion_step promotion = promotion_step::none;
  std::vector<target_view> targets;  ///< In the document's order.
  /// Oldest first, all of `term`; at most `group_options::sample_limit`.
  std::vector<freshness_sample> samples;
  /// Highest log point that a majority is known to have, the primary included.
  log_point acknowledged;

  friend bool operator==(const group_view&, const group_view&) = default;
};

/// @return the target with that name, or null.
[[nodiscard]] const target_view* find_target(const group_view& view, const target_id& target) noexcept;

/// @return the primary to which writes are sent, or null while no primary is known, the primary is
///   unreachable or a promotion is in progress. Writes wait until it is known.
[[nodiscard]] const target_view* writable_primary(const group_view& view) noexcept;

/// @return whether the target's log is known to be a prefix of the primary's log. Reads
///   without a maximum age need this check too: the log of a former primary can end with entries
///   that were never acknowledged and will be truncated.
[[nodiscard]] bool is_consistent(const group_view& view, const target_view& target) noexcept;

/// @param point log point at which a read ran or would run.
/// @param now time by the owner's clock.
/// @return upper bound of the age of the data at `point`, with 2 % added for clock rates
///   that are off by up to 1 %; nothing if no sample is at or below `point`.
[[nodiscard]] std::optional<duration> data_age(const group_view& view, const log_point& point,
                                               time_point now) noexcept;

/// @return estimated time until the replica reaches `point`, from its replication rate;
///   zero if it has reached it, nothing while the rate is unknown or if the term differs.
[[nodiscard]] std::optional<duration> expected_wait(const target_view& target,
                                                    const log_point& point) noexcept;

/// @return the name that is used in status answers.
[[nodiscard]] std::string_view name_of(target_role role) noexcept;
[[nodiscard]] std::string_view name_of(promotion_step step) noexcept;

}  // namespace bulrushlift
