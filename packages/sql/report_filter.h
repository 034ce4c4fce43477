#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/store_version.h"

/// @file
/// Drops reports of targets that a store brings back from an older copy.
///
/// Within one epoch the store's versions order the reports of a target. After a restore the store holds older
/// reports for a while: a leaving target is listed as ready, a former primary as the primary, and a target
/// that is gone is listed again. The targets number their reports, and that number goes on. A target whose
/// description does not change need not make a new report, but the store soon drops one that is silent; so
/// a removed target that stays listed is alive.

namespace bulrushlift::sql {

/// Position of a report among all reports of a target.
struct report_number {
  std::uint64_t start = 0;     ///< Start of the target's process; a later process has a higher one.
  std::uint64_t sequence = 0;  ///< Rises with each report of the process.

  friend constexpr bool operator==(const report_number&, const report_number&) = default;
  friend constexpr auto operator<=>(const report_number&, const report_number&) = default;
};

/// Remembers the newest report of each target. Not thread-safe.
class report_filter {
 public:
  /// @param removal_time longest time that the store lists a target that is gone.
  explicit report_filter(duration removal_time) : removal_time_(removal_time) {}

  /// Records a report unless it is one of a lost history that is older than what is known.
  /// @param epoch epoch of the store that holds the report.
  /// @return whether the report is to be used. The report of a removed target that is refused is accepted if
  ///   the store still lists it after the removal time.
  [[nodiscard]] bool accept(const target_id& target, store_epoch epoch, const report_number& number,
                            time_point now);

  /// The target is no longer listed. Its last report is remembered for some minutes, longer than a copy of
  /// the store is old.
  void on_removed(const target_id& target, time_point now);

  /// @return the longest time that the store lists a target that is gone.
  [[nodiscard]] duration removal_time() const noexcept { return removal_time_; }
  /// @return number of targets of which a report is remembered.
  [[nodiscard]] std::size_t size() const noexcept { return reports_.size(); }

 private:
  struct report {
    store_epoch epoch;
    report_number number;
    std::optional<time_point> removed_at;
    std::optional<time_point> listed_again_at;  ///< First refused report since the removal.
  };

  [[nodiscard]] bool is_lost(report& known, store_epoch epoch, const report_number& number,
                             time_point now) const;
  void forget_removed(time_point now);

  duration removal_time_;
  std::map<target_id, report> reports_;
};

}  // namespace bulrushlift::sql
