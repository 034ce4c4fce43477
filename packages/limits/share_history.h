#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"
#include "limits/tokens.h"

/// @file
/// The share of a home VM in effect while documents change.
///
/// A customer's new rate and burst take effect at once, because the shares of all home VMs then
/// add up to no more than the highest rate and burst of the documents in force. A part of the
/// rate that moves from one home VM to another is lost at once by the one and gained by the
/// other only after a delay.

namespace bulrushlift {

/// Computes the lowest share over all positions that the VM had among the home VMs within the last
/// `delay`. Before the first document the share is zero.
class share_history {
 public:
  /// @param delay before a larger part of the customer's rate takes effect.
  /// @param first_delay before the first share takes effect.
  share_history(duration delay, duration first_delay) : delay_(delay), first_delay_(first_delay) {}

  /// Records the rate and burst of the customer and this VM's position from a newer document.
  void push(const budget_share& total, home_position position, time_point now) {
    total_ = total;
    if (positions_.back().position == position) return;
    const bool is_first = !has_position_;
    has_position_ = true;
    // Back-dating the end of the initial zero share makes it lapse after `first_delay_`
    // instead of `delay_`.
    positions_.back().superseded = is_first ? now - delay_ + first_delay_ : now;
    positions_.push_back({position, std::nullopt});
  }

  /// Removes the positions that were superseded more than `delay` ago.
  /// @return the share in effect at `now`.
  [[nodiscard]] budget_share effective(time_point now) {
    while (positions_.front().superseded && *positions_.front().superseded + delay_ <= now) {
      positions_.pop_front();
    }
    auto smallest = share_of(total_, positions_.front().position);
    for (const auto& past : positions_) {
      smallest = componentwise_min(smallest, share_of(total_, past.position));
    }
    return smallest;
  }

  /// @return when the effective share may next rise, or nothing if only the newest position is left.
  [[nodiscard]] std::optional<time_point> next_change() const {
    if (!positions_.front().superseded) return std::nullopt;
    return *positions_.front().superseded + delay_;
  }

 private:
  struct dated_position {
    home_position position;
    std::optional<time_point> superseded;  ///< Not set for the newest position.
  };

  duration delay_;
  duration first_delay_;
  bool has_position_ = false;
  budget_share total_;
  std::deque<dated_position> positions_{{{}, std::nullopt}};
};

}  // namespace bulrushlift
