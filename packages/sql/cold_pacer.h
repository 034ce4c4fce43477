#pragma once

#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/report_filter.h"

/// @file
/// Limits the statements that a target gets while it is cold, which means slow after its start.
///
/// Load pattern: a target starts in the middle of the day, or a whole data centre is in use again, and the
/// statements that wait all go to the idle target at once. The allowance counts the statements of all VMs
/// within any second. The owner of a service is the only VM that sends to its cold targets, evenly spaced
/// and without a burst at the start. While ownership moves, two VMs may take themselves for the owner, so
/// each uses half of the allowance only.

namespace bulrushlift::sql {

/// What a cold target may get from all VMs together.
struct cold_allowance {
  double per_second = 0;  ///< Statements a second; 0 means that no limit is enforced.
  double overage = 1;     ///< Factor of that rate that is tolerated within one second.
  double slack = 0;       ///< Statements beyond it that are tolerated within one second.

  friend bool operator==(const cold_allowance&, const cold_allowance&) = default;
};

/// Remembers which targets are cold and spaces the statements to them. Not thread-safe.
class cold_pacer {
 public:
  explicit cold_pacer(const cold_allowance& allowance);

  /// Notes a report of a target. A report that was noted before has no effect.
  /// @param number number of the report.
  /// @param remaining how much longer the target stays cold; zero if it is warm.
  void on_report(const target_id& target, const report_number& number, duration remaining, time_point now);
  void remove(const target_id& target) { targets_.erase(target); }

  /// @return whether the allowance limits what the target may be sent.
  [[nodiscard]] bool is_cold(const target_id& target, time_point now) const;
  /// @param is_owner whether this VM owns the service of the target.
  /// @return whether a statement may be sent to the target now.
  [[nodiscard]] bool can_send(const target_id& target, bool is_owner, time_point now) const;
  /// Reserves the next free time for a statement, one after the other. The statement of a transaction has to
  /// run on its target, so it is reserved ahead; any other one asks `can_send` first.
  /// @return when the statement may be sent: `now` if the target is warm, nothing if it may never be.
  std::optional<time_point> reserve(const target_id& target, time_point now);

  /// @return statements a second that one VM sends to a cold target; 0 if it sends none.
  [[nodiscard]] double rate() const noexcept { return rate_; }

 private:
  struct cold_target {
    report_number number;
    time_point cold_until{};
    time_point next_send{};  ///< Earliest time of the next statement.
  };

  bool is_limited_;
  double rate_;
  duration interval_{};
  std::map<target_id, cold_target> targets_;
};

}  // namespace bulrushlift::sql
