#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/freshness.h"
#include "sql/statement.h"

/// @file
/// What one VM knows of the targets of one service: which one leads, which ones
/// answer, how far their logs are, and which one a statement should use.

namespace bulrushlift::sql {

/// A target as the platform's list of targets announces it.
struct target_announcement {
  target_id target;
  service_id service;
  std::string address;
  data_centre_id data_centre;
  std::uint32_t slots = 1;  ///< Statements that it runs at once.
  bool is_leaving = false;  ///< It is shutting down and takes no new work.
  bool is_primary = false;  ///< The role as the target sees itself.
  std::uint64_t start = 0;  ///< Differs between two processes with the same id.

  friend bool operator==(const target_announcement&, const target_announcement&) = default;
};

/// One target on the directory.
struct target_entry {
  target_announcement info;
  std::optional<log_point> point;  ///< Newest applied point that an answer showed.
  time_point point_time{};         ///< When that answer came.
  std::uint32_t running = 0;       ///< Statements of this VM that run there.
  std::uint32_t failures = 0;      ///< In a row.
  time_point last_success{};
  std::optional<time_point> failing_since;  ///< First failure since the last success.
  time_point blocked_until{};               ///< Pause after a failure.
  time_point behind_until{};                ///< It lacked a required point a moment ago.
};

/// What a statement asks of a target.
struct target_request {
  std::optional<log_point> required_point;  ///< Nothing: only the primary will do.
  data_centre_id near;
};

/// The targets of one service. Single writer: the daemon's event loop.
class target_directory {
 public:
  void announce(const target_announcement& info, time_point now);
  void remove(const target_id& target, time_point now);

  /// An answer that only the primary gives.
  void on_primary_answer(const target_id& target, const log_point& point, time_point sent, time_point now);
  /// The target says that it does not lead.
  void on_read_only(const target_id& target, time_point now);
  /// Any answer of the target.
  void on_answer(const target_id& target, const std::optional<log_point>& point, time_point now);
  /// The target lacked a required point.
  void on_behind(const target_id& target, time_point now);
  /// A connection could not be made, ended, or stayed silent.
  void on_failure(const target_id& target, time_point now);
  /// Another VM, or this one, ordered the promotion of `target`.
  void on_promotion_ordered(const target_id& target, time_point now);

  void on_started(const target_id& target);
  void on_finished(const target_id& target);

  /// @return the target that leads as far as is known, or nothing.
  [[nodiscard]] const target_entry* primary() const;

  /// Chooses a target for a read. Load pattern: many small reads over few slots; the
  /// least loaded replica is preferred, then one in the same data centre, and the
  /// primary is spared for work that only it can do.
  /// @return targets from best to worst; empty if none can serve now.
  [[nodiscard]] std::vector<target_id> candidates(const target_request& request, time_point now) const;

  /// @param extra statements beyond its slots that a target is sent.
  /// @return whether some target can be sent a further statement.
  [[nodiscard]] bool has_room(std::uint32_t extra) const;

  [[nodiscard]] const target_entry* find(const target_id& target) const;
  [[nodiscard]] const std::map<target_id, target_entry>& targets() const noexcept { return targets_; }
  [[nodiscard]] freshness_log& samples() noexcept { return samples_; }
  [[nodiscard]] const freshness_log& samples() const noexcept { return samples_; }
  /// @return the highest term that any answer showed.
  [[nodiscard]] term_id newest_term() const;
  /// @return since when no target is known to lead; nothing while one is.
  [[nodiscard]] std::optional<time_point> leaderless_since() const noexcept { return leaderless_since_; }

 private:
  void set_primary(const std::optional<target_id>& target, time_point now);
  [[nodiscard]] bool is_eligible(const target_entry& entry, const log_point& required, time_point now) const;
  [[nodiscard]] int cost(const target_entry& entry, const target_request& request) const;

  std::map<target_id, target_entry> targets_;
  std::optional<target_id> primary_;
  std::optional<time_point> leaderless_since_;
  freshness_log samples_;
};

}  // namespace bulrushlift::sql
