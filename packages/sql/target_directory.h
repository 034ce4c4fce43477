#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/evacuation_set.h"
#include "sql/freshness.h"
#include "sql/report_filter.h"
#include "sql/statement.h"
#include "sql/target_health.h"

/// @file
/// What one VM knows about the targets of one service: which one is the primary, which
/// ones answer, how far their logs are, and which one should run a statement.

namespace bulrushlift::sql {

/// A target's entry in the platform's list of targets.
struct target_announcement {
  target_id target;
  service_id service;
  std::string address;
  data_centre_id data_centre;
  std::uint32_t slots = 1;    ///< Statements that the target runs at the same time.
  bool is_leaving = false;    ///< The target is shutting down and takes no new work.
  bool is_primary = false;    ///< Whether the target reports itself as the primary.
  duration cold_remaining{};  ///< How much longer the target stays slow after its start; zero if it is warm.
  report_number number;       ///< Its start differs between two processes with the same id.

  friend bool operator==(const target_announcement&, const target_announcement&) = default;
};

/// What the directory records about one target.
struct target_entry {
  target_announcement info;
  std::optional<log_point> point;           ///< Newest applied log point that an answer reported.
  time_point point_time{};                  ///< When that answer arrived.
  std::uint32_t running = 0;                ///< Statements of this VM that run on the target.
  std::uint32_t failures = 0;               ///< Failures since the last success.
  time_point last_success{};                ///< Last answer, or first announcement.
  std::optional<time_point> failing_since;  ///< First failure since the last success.
  time_point last_failure{};                ///< Last failure; of meaning while `failing_since` is set.
  time_point blocked_until{};               ///< End of the pause after a failure.
  time_point behind_until{};                ///< End of the pause after the target lacked a required point.
  std::optional<time_point> leaving_since;  ///< When the target was first known to be shutting down.
};

/// What a statement requires of a target.
struct target_requirements {
  std::optional<log_point> required_point;  ///< Log point to be applied; nothing if only the primary will do.
  data_centre_id preferred_data_centre;     ///< Data centre whose targets are preferred.
  duration drain_time{};  ///< How long a leaving primary gets work; zero for as long as it leads.
};

/// The targets of one service. Not thread-safe; used from the daemon's event loop only.
class target_directory {
 public:
  /// Adds or updates a target. A new process with the same id starts without history.
  void announce(const target_announcement& info, time_point now);
  /// Removes a target that is no longer listed.
  void remove(const target_id& target, time_point now);

  /// The target gave an answer that only a primary gives.
  /// @param point log point in the answer.
  /// @param sent when the request was sent.
  void on_primary_answer(const target_id& target, const log_point& point, time_point sent, time_point now);
  /// The target reported that it is not the primary.
  void on_read_only(const target_id& target, time_point now);
  /// The target gave any answer.
  /// @param point newest applied log point, if the answer reports it.
  void on_answer(const target_id& target, const std::optional<log_point>& point, time_point now);
  /// The target had not applied a required log point.
  void on_behind(const target_id& target, time_point now);
  /// A connection to the target could not be opened, was lost, or gave no answer in time.
  void on_failure(const target_id& target, time_point now);
  /// Sets the data centres whose targets get nothing.
  void set_evacuated(const data_centre_set& data_centres) { evacuated_ = data_centres; }
  /// @return whether a target is in a data centre that is evacuated.
  [[nodiscard]] bool is_evacuated(const target_entry& entry) const {
    return evacuated_.contains(entry.info.data_centre);
  }
  /// @param is_for_primary whether only the primary can run the statement.
  /// @return whether an evacuation keeps every target that could run the statement from running it. False
  ///   while no primary is known, because one elsewhere may be found at any moment.
  [[nodiscard]] bool is_blocked_by_evacuation(bool is_for_primary) const;

  /// A statement of this VM started on the target.
  void on_started(const target_id& target);
  /// As above.
  /// @param objective latency objective of the statement.
  void on_started(const target_id& target, work_kind kind, duration objective, time_point now);
  /// The target answered an attempt of a statement, at least in part. Call after `on_finished`; an attempt
  /// without any answer is told by `on_failure` only.
  void on_attempt(const target_id& target, const target_attempt& attempt, time_point now);
  /// A statement of this VM ended on the target.
  void on_finished(const target_id& target);

  /// After a partition the connections from before it may be dead, though new ones work.
  /// @param idle_since when the connection to the target became idle.
  /// @return whether a probe on this connection proves nothing, because the target has failed repeatedly
  /// since.
  [[nodiscard]] bool is_connection_doubtful(const target_id& target, time_point idle_since) const;

  /// @return the target that is the primary as far as this VM knows, or null.
  [[nodiscard]] const target_entry* primary() const;

  /// Ranks the targets that can run a statement. Load pattern: many small reads over few slots.
  /// Prefers replicas with the fewest running statements, then those in the same data centre,
  /// and uses the primary last, to leave it free for work that only it can do. Targets that
  /// `target_health` ejected are used if no other target can serve.
  /// @return targets from best to worst; empty if no target can serve now.
  [[nodiscard]] std::vector<target_id> candidates(const target_requirements& request, time_point now) const;

  /// @param extra statements that a target may be sent in addition to its slots.
  /// @return whether another statement can be sent to at least one target.
  [[nodiscard]] bool has_room(std::uint32_t extra) const;
  /// @return whether another statement can be sent to this target.
  [[nodiscard]] bool has_room(const target_id& target, std::uint32_t extra) const;

  /// @return what changed in the health of the targets since the last call, for logs and metrics.
  [[nodiscard]] std::vector<health_change> take_health_changes() { return health_.take_changes(); }

  /// @return the entry of a target, or null if it is unknown.
  [[nodiscard]] const target_entry* find(const target_id& target) const;
  [[nodiscard]] const std::map<target_id, target_entry>& targets() const noexcept { return targets_; }
  [[nodiscard]] freshness_log& samples() noexcept { return samples_; }
  [[nodiscard]] const freshness_log& samples() const noexcept { return samples_; }
  /// @return the highest term that any answer reported.
  [[nodiscard]] term_id newest_term() const;
  /// @return since when no primary is known, or nothing while one is known.
  [[nodiscard]] std::optional<time_point> leaderless_since() const noexcept { return leaderless_since_; }

 private:
  void set_primary(const std::optional<target_id>& target, time_point now);
  [[nodiscard]] bool is_eligible(const target_entry& entry, const log_point& required, time_point now) const;
  [[nodiscard]] int cost(const target_entry& entry, const target_requirements& request, time_point now) const;

  std::map<target_id, target_entry> targets_;
  target_health health_;
  std::optional<target_id> primary_;
  std::optional<time_point> leaderless_since_;
  freshness_log samples_;
  data_centre_set evacuated_;
};

}  // namespace bulrushlift::sql
