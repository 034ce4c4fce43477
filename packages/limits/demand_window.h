#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "limits/tokens.h"

/// @file
/// Sum of request costs over a sliding window.

namespace bulrushlift {

/// Counts in ten slots, so that the window moves in steps of a tenth of its length.
class demand_window {
 public:
  /// @param span length of the window.
  explicit demand_window(duration span) : slot_span_(span / slot_count) {}

  void add(millitokens cost, time_point now) {
    advance(now);
    slots_[static_cast<std::size_t>(current_ % slot_count)] += cost;
    sum_ += cost;
  }

  /// @return the sum of the costs added within the window that ends at `now`.
  [[nodiscard]] millitokens sum(time_point now) {
    advance(now);
    return sum_;
  }

 private:
  static constexpr std::int64_t slot_count = 10;

  void advance(time_point now) {
    const auto slot = now.time_since_epoch() / slot_span_;
    if (slot >= current_ + slot_count) {
      slots_.fill({});
      sum_ = {};
      current_ = slot;
    }
    while (current_ < slot) {
      ++current_;
      auto& reused = slots_[static_cast<std::size_t>(current_ % slot_count)];
      sum_ -= reused;
      reused = {};
    }
  }

  duration slot_span_;
  std::int64_t current_ = 0;
  std::array<millitokens, slot_count> slots_{};
  millitokens sum_;
};

}  // namespace bulrushlift
