#pragma once

#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "limits/loan.h"
#include "limits/tokens.h"

/// @file
/// The tokens that one VM has borrowed for one customer.

namespace bulrushlift {

/// Holds one lot for each loan, spends the lots in the order of their expiry and keeps
/// the use of each loan until its lender has acknowledged it.
class borrowed_tokens {
 public:
  /// Adds the lot of a new loan. Does nothing if the loan of that home VM is already present.
  /// @param expires time from which the tokens may no longer be spent.
  void add(const vm_id& home, loan_id loan, millitokens amount, time_point expires);

  /// @return the tokens that can be spent at `now`.
  [[nodiscard]] millitokens available(time_point now);

  /// Spends up to `amount` from the lots that have not expired.
  /// @return the amount spent.
  millitokens take(millitokens amount, time_point now);

  /// @return the tokens used from each loan of `home` since its grant. A loan is listed
  ///   until `forget_reported` removes it or it expires, so that the next request repeats
  ///   a report that may have been lost.
  [[nodiscard]] std::vector<loan_use> uses_of(const vm_id& home, time_point now);

  /// Removes the loans that are spent and whose full use is in `reported`.
  /// @param reported the uses in a request that `home` has replied to.
  void forget_reported(const vm_id& home, const std::vector<loan_use>& reported);

 private:
  /// The tokens of one loan.
  struct lot {
    vm_id home;
    loan_id loan;
    millitokens amount;
    millitokens used;
    time_point expires;

    [[nodiscard]] millitokens left() const noexcept { return amount - used; }
  };

  void drop_expired(time_point now);

  std::vector<lot> lots_;  ///< In the order of expiry.
};

}  // namespace bulrushlift
