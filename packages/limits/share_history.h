#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"
#include "limits/tokens.h"

/// @file
/// The share of a home VM in effect while documents change: a lower share takes effect
/// at once, a higher one after a delay.

namespace bulrushlift {

/// Computes the lowest share of all documents that were the newest one at any time
/// within the last `delay`. Before the first document the share is zero.
class share_history {
 public:
  /// @param delay before a higher share takes effect.
  /// @param first_delay before the share of the first document takes effect.
  share_history(duration delay, duration first_delay) : delay_(delay), first_delay_(first_delay) {}

  /// Records the share of a newer document.
  void push(const budget_share& share, time_point now) {
    if (shares_.back().share == share) return;
    const bool is_first = shares_.size() == 1 && shares_.back().share == budget_share{} && !has_document_;
    has_document_ = true;
    // Back-dating the end of the initial zero share makes it lapse after `first_delay_`
    // instead of `delay_`.
    shares_.back().superseded = is_first ? now - delay_ + first_delay_ : now;
    shares_.push_back({share, std::nullopt});
  }

  /// Removes the shares that were superseded more than `delay` ago.
  /// @return the share in effect at `now`.
  [[nodiscard]] budget_share effective(time_point now) {
    while (shares_.front().superseded && *shares_.front().superseded + delay_ <= now) shares_.pop_front();
    auto smallest = shares_.front().share;
    for (const auto& past : shares_) smallest = componentwise_min(smallest, past.share);
    return smallest;
  }

  /// @return when the effective share may next rise, or nothing if only the newest share is left.
  [[nodiscard]] std::optional<time_point> next_change() const {
    if (!shares_.front().superseded) return std::nullopt;
    return *shares_.front().superseded + delay_;
  }

 private:
  struct dated_share {
    budget_share share;
    std::optional<time_point> superseded;  ///< Not set for the newest share.
  };

  duration delay_;
  duration first_delay_;
  bool has_document_ = false;
  std::deque<dated_share> shares_{{{}, std::nullopt}};
};

}  // namespace bulrushlift
