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

/// Lots of borrowed tokens, spent in the order of their expiry, and the reports
/// of their use that the lenders are to get.
class borrowed_tokens {
 public:
  /// Adds a lot. A grant with a loan number that is present is ignored.
  /// @param expires when the tokens may no longer be spent.
  void add(const vm_id& home, loan_id loan, millitokens amount, time_point expires);

  /// @return the tokens that can be spent at `now`.
  [[nodiscard]] millitokens available(time_point now);

  /// Spends up to `amount` of the lots that have not expired.
  /// @return what was spent.
  millitokens take(millitokens amount, time_point now);

  /// @return the use of each loan of `home` since its grant. Loans stay listed
  ///   until `forget_reported` or until they have expired, so that the next
  ///   request repeats a report that may have been lost.
  [[nodiscard]] std::vector<loan_use> uses_of(const vm_id& home, time_point now);

  /// Forgets the spent loans whose whole use the lender has acknowledged by a reply.
  void forget_reported(const vm_id& home, const std::vector<loan_use>& reported);

 private:
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
