#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "limits/loan.h"
#include "limits/share_history.h"
#include "limits/tokens.h"
#include "limits/window_limiter.h"

/// @file
/// The tokens of one customer at one home VM, with its outstanding loans.

namespace bulrushlift {

/// A token bucket that lends tokens to other VMs. Level plus outstanding loans never
/// exceed the capacity of the effective share, with one exception: when a lower share
/// takes effect, the outstanding loans may exceed its capacity until they expire. The level
/// is 0 in that time.
///
/// If the options name a window, a `window_limiter` takes the place of the bucket. Lent tokens
/// are then counted as spent at the time at which the loan expires.
class home_bucket {
 public:
  home_bucket(const budget_options& options, const budget_test_faults& faults);

  /// Records the customer's rate and burst and this VM's position from a newer document.
  /// `share_history` decides when they take effect.
  void set_share(const budget_share& total, home_position position, time_point now);

  /// Refills the bucket, removes expired loans and applies pending shares up to `now`.
  void advance_to(time_point now);

  /// Takes up to `amount` from the level. Call `advance_to` first.
  /// @return the amount taken.
  millitokens take(millitokens amount, time_point now) { return take_until(amount, now); }

  /// Lends up to `amount` to a borrower. Call `advance_to` first.
  /// @return the amount lent; if it is 0, no loan is recorded.
  millitokens lend(loan_id loan, const vm_id& borrower, incarnation_id incarnation, millitokens amount,
                   time_point now);

  /// Reduces the outstanding amount by the tokens that the borrower has spent.
  /// Ignores a report on a loan that is unknown, expired or another borrower's.
  void report_use(const loan_use& use, const vm_id& borrower, incarnation_id incarnation);

  [[nodiscard]] millitokens level() const { return limiter_ ? limiter_->available() : level_; }
  [[nodiscard]] millitokens outstanding() const noexcept { return outstanding_; }
  [[nodiscard]] const budget_share& share() const noexcept { return share_; }

  /// @return the time until the level reaches `amount`, or nothing if it never does with
  ///   the current share and the current loans.
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

  /// Load pattern: a customer at its limit, whose home VMs hold parts of a token each. Parts that are lent
  /// expire before the borrower has collected a whole token, so with a window only whole tokens are lent
  /// when the level is below the amount.
  /// @return what may be lent of `amount`.
  [[nodiscard]] millitokens lendable(millitokens amount) const;
  /// @param spent_by latest time at which the tokens are spent.
  millitokens take_until(millitokens amount, time_point spent_by);
  void refill_until(time_point when);
  void drop_expired(time_point now);
  void apply_share(time_point now);
  /// @return what may be spent at once when the first share of this process takes effect.
  [[nodiscard]] millitokens restart_allowance() const;

  duration outstanding_time_;
  duration window_;
  budget_test_faults faults_;
  share_history history_;
  double restart_limit_fraction_;
  millitokens restart_tokens_;
  std::optional<window_limiter> limiter_;  ///< Set if the options name a window.
  budget_share share_;
  millitokens level_;
  millitokens outstanding_;
  std::deque<loan> loans_;  ///< In ascending order of ids, which is also the order of expiry.
  time_point refilled_until_;
  std::int64_t remainder_ = 0;  ///< Fraction of a millitoken, in units of 1 / `refill_period`.
  std::int64_t homes_ = 0;      ///< Home VMs of the customer in the newest document.
  bool has_started_ = false;    ///< A share has taken effect.
  bool is_new_ = true;
};

}  // namespace bulrushlift
