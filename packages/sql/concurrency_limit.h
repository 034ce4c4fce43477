#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "sql/decaying_mean.h"

/// @file
/// Limits the statements that this VM runs on one target at the same time.
///
/// Load pattern: a target announces its slots, but others use them too: another VM during a change of owner,
/// backups, or users who do not come through the proxy. Sending as many statements as there are slots then
/// yields refusals, or latency that grows with the number of statements. The limit increases additively and
/// decreases multiplicatively, between one statement and the slots of the target.
///
///     limit.on_answer(sample, now);
///     if (running < limit.allowed(extra)) send();

namespace bulrushlift::sql {

/// What one answer says about the load of a target.
struct load_sample {
  std::uint32_t running = 0;  ///< Statements and new connections of this VM there, with the answered one.
  double latency = 0;         ///< Latency as a part of the statement's objective.
};

class concurrency_limit {
 public:
  /// @param slots statements that the target runs at the same time; 0 counts as 1.
  void set_slots(std::uint32_t slots);

  /// The target answered a statement.
  void on_answer(const load_sample& sample, time_point now);
  /// The target refused a statement because no slot was free.
  /// @param running statements and new connections of this VM there, with the refused one.
  void on_busy(std::uint32_t running, time_point now);

  /// @param extra statements that may be sent in addition to the slots.
  /// @return how many statements may run on the target; at least 1.
  [[nodiscard]] std::uint32_t allowed(std::uint32_t extra) const;
  /// @return whether the limit is below the slots of the target.
  [[nodiscard]] bool is_lowered() const noexcept { return limit_.has_value(); }

 private:
  void lower(std::uint32_t running, time_point now);
  [[nodiscard]] bool is_latency_rising(time_point now) const;

  std::uint32_t slots_ = 1;
  std::optional<double> limit_;        ///< Nothing while the slots alone are the limit.
  std::optional<time_point> busy_at_;  ///< Last refusal that this VM's own load does not explain.
  time_point lowered_at_{};
  decaying_mean few_;   ///< Latency while this VM used at most half of the limit.
  decaying_mean many_;  ///< Latency while this VM used more.
};

}  // namespace bulrushlift::sql
