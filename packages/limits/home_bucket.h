#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "limits/loan.h"
#include "limits/share_history.h"
#include "limits/tokens.h"

/// @file
/// The token bucket of one customer at one home VM, with its outstanding loans.

namespace bulrushlift {

/// Holds the invariant level + outstanding ≤ capacity of the effective share.
/// Right after a lower share took effect, outstanding loans may exceed the
/// capacity until they expire; the level is 0 then.
class home_bucket {
 public:
  home_bucket(const budget_options& options, const budget_test_faults& faults);

  /// Takes the share of a newer document.
  void set_share(const budget_share& share, time_point now);

  /// Accrues up to `now` and drops expired loans.
  void advance_to(time_point now);

  /// Takes up to `amount` from the level. Call `advance_to` first.
  /// @return what was taken.
  millitokens take(millitokens amount);

  /// Lends up to `amount`. Call `advance_to` first.
  /// @return the amount lent; nothing is recorded if it is 0.
  millitokens lend(loan_id loan, const vm_id& borrower, incarnation_id incarnation, millitokens amount,
                   time_point now);

  /// Reduces what is outstanding by the tokens that the borrower has spent.
  /// Ignores loans that are unknown, expired or another borrower's.
  void report_use(const loan_use& use, const vm_id& borrower, incarnation_id incarnation);

  [[nodiscard]] millitokens level() const noexcept { return level_; }
  [[nodiscard]] millitokens outstanding() const noexcept { return outstanding_; }
  [[nodiscard]] const budget_share& share() const noexcept { return share_; }

  /// @return the time from now in which the level reaches `amount`, or nothing
  ///   if it does not at the present share.
  [[nodiscard]] std::optional<duration> time_to_reach(millitokens amount) const;

 private:
  struct loan {
    loan_id id;
    vm_id borrower;
    incarnation_id incarnation;
    millitokens amount;
    millitokens used;
    time_point expires;
  };

  void refill_until(time_point when);
  void drop_expired(time_point now);
  void apply_share(time_point now);

  duration outstanding_time_;
  budget_test_faults faults_;
  share_history history_;
  budget_share share_;
  millitokens level_;
  millitokens outstanding_;
  std::deque<loan> loans_;  ///< In the order of their ids and of their expiry.
  time_point refilled_until_;
  std::int64_t remainder_ = 0;  ///< Part of a millitoken, in units of 1 / `refill_period`.
  bool is_new_ = true;
};

}  // namespace bulrushlift
