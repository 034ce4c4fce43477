#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/clock.h"

/// @file
/// A mean of recent values, in which older values count for less.

namespace bulrushlift::sql {

/// Weights halve with each half-life. The total weight is bounded, so that a change shows after a limited
/// number of values also at a high rate.
class decaying_mean {
 public:
  static constexpr duration half_life = std::chrono::seconds{2};
  static constexpr double max_weight = 40;

  void add(double value, time_point now) {
    const auto old_weight = weight(now);
    mean_ = (mean_ * old_weight + value) / (old_weight + 1);
    weight_ = std::min(old_weight + 1, max_weight);
    updated_ = std::max(updated_, now);
  }

  /// @return the mean, 0 without values.
  [[nodiscard]] double mean() const noexcept { return mean_; }
  /// @return the number of values that still count.
  [[nodiscard]] double weight(time_point now) const {
    const auto age = std::max(now - updated_, duration::zero());
    return weight_ *
           std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(half_life));
  }

 private:
  double mean_ = 0;
  double weight_ = 0;
  time_point updated_{};
};

}  // namespace bulrushlift::sql
