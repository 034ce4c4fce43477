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
  /// @param first_delay delay of the first document.
  share_history(duration delay, duration first_delay) : delay_(delay), first_delay_(first_delay) {}

  /// Takes the share of a newer document.
  void push(const budget_share& share, time_point now) {
    if (shares_.back().share == share) return;
    const bool is_first = shares_.size() == 1 && shares_.back().share == budget_share{} && !has_document_;
    has_document_ = true;
    // An earlier time ends the share's effect that much sooner.
    shares_.back().superseded = is_first ? now - delay_ + first_delay_ : now;
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
  duration first_delay_;
  bool has_document_ = false;
  std::deque<dated_share> shares_{{{}, std::nullopt}};
};

}  // namespace bulrushlift
