#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "limits/loan.h"
#include "limits/tokens.h"

/// @file
/// Rate and burst of each customer, counted over all VMs together.
///
/// A customer with rate R and burst B has k = min(5, VMs in the document) home
/// VMs. Each has a token bucket with rate R/k and capacity B/k. A VM that is
/// short of tokens borrows them from home VMs.
///
/// **Why the tokens held anywhere never exceed B.** Call the tokens of a home
/// VM's bucket that can still be spent anywhere its potential: its level plus
/// the unspent part of its loans that a borrower can still use.
///
/// 1. The bucket accrues only while level + outstanding loans < B/k, and lending
///    moves tokens from the level to the outstanding loans. So level +
///    outstanding ≤ B/k at all times.
/// 2. Every token that a borrower can spend is counted as outstanding:
///    - A borrower spends a lot only within the loan lifetime L after it sent the
///      request, and the grant comes after the sending. With clocks off by at
///      most 1 %, that is at most L / 0.99 after the grant; the lender counts the
///      loan for at least 1.05 L / 1.01, which is more. A borrower that was
///      paused compares the lot's expiry with the time after the pause. A reply
///      later than L is dropped, and each reply is accepted once.
///    - The lender counts less than the grant only after a report of use. The
///      tokens in a report are spent already. Reports are sums since the grant,
///      so late, repeated and reordered reports never subtract a token twice.
///      Loan numbers are unique over all instances of a lender.
///    - A borrower on a home VM itself is no special case: it spends its level
///      first-hand and holds lots of other homes like any other VM.
/// 3. So the potential of a bucket is at most B/k, it grows by at most R/k per
///    second, and every admitted token lowers it. Summed over the k buckets, a
///    customer spends at most B + R × T in any window of length T.
/// 4. A crash drops lots and levels, which only lowers the potential. The next
///    instance starts with an empty bucket that accrues nothing until the old
///    instance has stopped and its loans have expired.
/// 5. A higher share takes effect only when every VM has the document that
///    lowered the others' shares and the loans of those shares have expired
///    (`budget_options::raise_delay`); the smaller share takes effect at once.
///    Until then the smallest share of all recent documents applies.
///
/// The rate is counted on the home VM's clock. Accrual is 1 % below the share so
/// that a clock that is 1 % fast does not exceed it.
///
/// What the daemon ensures: it reads the clock for each event; it neither admits
/// nor lends while its configuration is too old to serve; it stops when it hears
/// of a higher incarnation of its own name; and two changes of the document's VM
/// list are at least two dissemination bounds apart, so that no VM misses one of
/// them.
///
///     budget_controller budgets{vm_id{"entry-1"}, incarnation, {}};
///     budgets.apply_document(document, now);
///     budget_actions actions;
///     const auto admission = budgets.admit(customer, whole_tokens(1), now, random_bits, actions);

namespace bulrushlift {

/// What budgets need from an environment document.
struct budget_document {
  std::vector<vm_id> vms;
  std::map<customer_id, budget_share> customers;  ///< Rate and burst.

  friend bool operator==(const budget_document&, const budget_document&) = default;
};

/// The request has its tokens.
struct admitted {};

/// The request waits for a loan; a later action resumes or refuses it.
struct waits_for_loan {
  budget_ticket ticket;
};

/// The request is refused with `over_rate` and a retry time, with `over_burst`
/// if its cost exceeds the burst, with `forbidden` if the document does not name
/// the customer, or with `no_configuration`.
struct refused {
  error reason;
};

using admission = std::variant<admitted, waits_for_loan, refused>;

/// Blackboard entry `budgets[customer]` of one VM.
struct budget_snapshot {
  millitokens level;        ///< Own bucket; 0 on VMs that are no home.
  millitokens borrowed;     ///< In lots that have not expired.
  millitokens outstanding;  ///< Lent and not known to be spent.
  millitokens demand;       ///< Cost of all requests in the last demand window.
  std::size_t waiting = 0;  ///< Requests that wait for a loan.

  friend bool operator==(const budget_snapshot&, const budget_snapshot&) = default;
};

class customer_budget;
struct budget_context;

/// The budgets of all customers at one VM.
class budget_controller {
 public:
  /// @param incarnation start of the process in wall-clock milliseconds; makes
  ///   the numbers of loans and requests unique over restarts.
  budget_controller(vm_id self, incarnation_id incarnation, budget_options options,
                    budget_test_faults faults = {});
  budget_controller(const budget_controller&) = delete;
  budget_controller& operator=(const budget_controller&) = delete;
  ~budget_controller();

  /// Puts a newer document in force. Waiting requests of customers that are no
  /// longer named are refused. The first document of a process counts as a rise
  /// from nothing.
  [[nodiscard]] budget_actions apply_document(const budget_document& document, time_point now);

  /// Decides on a request. Requests of one customer are decided in order: while
  /// some wait, later ones wait behind them.
  /// @param cost at least 1 millitoken.
  /// @param random chooses among home VMs that seem equally good.
  /// @param actions receives what is to be done besides, such as asking for a loan.
  [[nodiscard]] admission admit(const customer_id& customer, millitokens cost, time_point now,
                                std::uint64_t random, budget_actions& actions);

  /// Drops a waiting request whose caller left.
  void cancel(budget_ticket ticket);

  /// Lends from the own bucket. Always answers, also with nothing.
  [[nodiscard]] budget_actions on_loan_request(const loan_request& request, time_point now);

  /// Takes a reply of `home`. A reply is dropped if it is not the first to a
  /// pending request to that home, or later than the loan lifetime.
  [[nodiscard]] budget_actions on_loan_reply(const vm_id& home, const loan_reply& reply, time_point now);

  /// Tells that a request will not be answered, for example because the link closed.
  [[nodiscard]] budget_actions on_loan_failed(const vm_id& home, const customer_id& customer,
                                              loan_request_id id, time_point now);

  /// Tells which VMs are not worth asking. Guarantees do not depend on it.
  void set_unreachable(std::set<vm_id> vms);

  /// Does what is due: resumes and refuses waiting requests, asks again.
  [[nodiscard]] budget_actions on_timer(time_point now, std::uint64_t random);

  /// @return when `on_timer` is to be called, or nothing while no request waits.
  [[nodiscard]] std::optional<time_point> next_timer() const;

  /// @return the customer's entry, or nothing if the document does not name it.
  [[nodiscard]] std::optional<budget_snapshot> snapshot(const customer_id& customer, time_point now);

 private:
  [[nodiscard]] customer_budget* find(const customer_id& customer);
  void note_waiting(const customer_id& customer, const customer_budget& budget);

  std::unique_ptr<budget_context> context_;
  bool has_document_ = false;
  std::map<customer_id, std::unique_ptr<customer_budget>> customers_;
  std::set<customer_id> waiting_;  ///< Customers with waiting requests.
};

}  // namespace bulrushlift
