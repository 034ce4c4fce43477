#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "base/clock.h"
#include "sql/dispatch_queue.h"

/// @file
/// Predicts how long a new statement waits for a slot, and decides whether it is refused at once.
///
/// Load pattern: a peak of statements that exceeds the slots. A statement that cannot start in time
/// is refused when it arrives, so that its caller may try elsewhere or later, instead of waiting for
/// half of its latency objective. The prediction counts slots only, not connections, so it is rather
/// too short than too long; the limit of the waiting time stays in force behind it.

namespace bulrushlift::sql {

/// @return how long a statement may wait for a slot: half of its latency objective. Under overload, the
///   statements that are served meet the objective, and the others are refused early as not run.
[[nodiscard]] constexpr duration longest_useful_wait(duration latency_objective) noexcept {
  return latency_objective / 2;
}

/// The targets that can run a statement.
struct slot_use {
  std::size_t running = 0;
  std::size_t slots = 0;
};

/// Estimates for one service. Not thread-safe.
class wait_estimator {
 public:
  /// A statement ended on a target.
  /// @param elapsed time for which it held a slot.
  void on_finished(int priority, duration elapsed, time_point now);

  /// @param ahead the waiting statements that are served before the new one.
  /// @return the time that a new statement of this priority is likely to wait; zero if none is
  ///   ahead and a slot is free, and without any knowledge of service times.
  [[nodiscard]] duration predict(int priority, const statements_ahead& ahead, const slot_use& use,
                                 time_point now) const;

  /// Decides with hysteresis, so that a prediction near the limit does not refuse every second
  /// statement. Never refuses if no statement is ahead, so a wrong estimate corrects itself.
  /// @param can_wait time that the statement may wait.
  /// @return whether to refuse the statement at once.
  [[nodiscard]] bool should_refuse(int priority, duration predicted, duration can_wait,
                                   const statements_ahead& ahead);

 private:
  struct service_record {
    duration mean{};         ///< Decaying mean of the service times.
    double recent_work = 0;  ///< Decaying sum of the service times, in seconds.
    time_point updated{};
  };

  [[nodiscard]] duration mean_of(int priority) const;
  /// @return part of the slots that statements more urgent than `priority` use.
  [[nodiscard]] double urgent_load(int priority, std::size_t slots, time_point now) const;

  std::map<int, service_record> records_;  ///< By priority.
  std::set<int> refusing_;                 ///< Priorities whose statements are refused at present.
};

}  // namespace bulrushlift::sql
