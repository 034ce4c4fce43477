#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"
#include "limits/tokens.h"

/// @file
/// The share of a home VM while documents change.

namespace bulrushlift {

/// Gives the smallest share of all documents that were the newest one at any
/// moment of the last `delay`. Before the first document the share is nothing.
class share_history {
 public:
  explicit share_history(duration delay) : delay_(delay) {}

  /// Takes the share of a newer document.
  void push(const budget_share& share, time_point now) {
    if (shares_.back().share == share) return;
    shares_.back().superseded = now;
    shares_.push_back({share, std::nullopt});
  }

  /// @return the share in effect at `now`; forgets what is older.
  [[nodiscard]] budget_share effective(time_point now) {
    while (shares_.front().superseded && *shares_.front().superseded + delay_ <= now) shares_.pop_front();
    auto smallest = shares_.front().share;
    for (const auto& past : shares_) smallest = smaller_of(smallest, past.share);
    return smallest;
  }

  /// @return when the effective share may next rise, or nothing if it is final.
  [[nodiscard]] std::optional<time_point> next_change() const {
    if (!shares_.front().superseded) return std::nullopt;
    return *shares_.front().superseded + delay_;
  }

 private:
  struct dated_share {
    budget_share share;
    std::optional<time_point> superseded;
  };

  duration delay_;
  std::deque<dated_share> shares_{{{}, std::nullopt}};
};

}  // namespace bulrushlift
