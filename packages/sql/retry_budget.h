#pragma once

#include <algorithm>

/// @file
/// Limits the retries of a service to a part of its first attempts.
///
/// Load pattern: a target fails or refuses at a peak. Each statement may be tried several times, so
/// retries would multiply the load just when slots are short. While no statement waits for a slot,
/// a retry takes none from others and is always permitted.

namespace bulrushlift::sql {

class retry_budget {
 public:
  void on_first_attempt() noexcept { level_ = std::min(level_ + per_first_attempt, capacity); }

  /// @param do_others_wait whether statements wait for a slot.
  /// @return whether a statement may be retried; counts the retry if so.
  [[nodiscard]] bool try_retry(bool do_others_wait) noexcept {
    if (do_others_wait && level_ < 1) return false;
    level_ = std::max(level_ - 1, 0.0);
    return true;
  }

 private:
  static constexpr double per_first_attempt = 0.2;
  // Retries in a row after the loss of a target, whose statements all fail at once.
  static constexpr double capacity = 20;

  double level_ = capacity;
};

}  // namespace bulrushlift::sql
