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
/// Enforces the rate and burst of each customer over all VMs together.
///
/// A customer with rate R and burst B has k = min(5, VMs in the document) home
/// VMs. Each has a token bucket with rate R/k and capacity B/k. A VM that is
/// short of tokens borrows them from the home VMs.
///
/// **Why a customer's tokens on all VMs together never exceed B.** The potential
/// of a home VM's bucket is the number of its tokens that can still be spent on
/// any VM: its level plus the unspent part of its loans that a borrower may
/// still use.
///
/// 1. The bucket is refilled only while level + outstanding loans < B/k, and lending
///    moves tokens from the level to the outstanding loans. So level +
///    outstanding ≤ B/k at all times.
/// 2. Every token that a borrower can spend is counted as outstanding:
///    - A borrower spends borrowed tokens only within the loan lifetime L after it
///      sent the request, and the grant comes after the request. With clocks off by
///      at most 1 %, the tokens expire at most L / 0.99 after the grant. The lender
///      counts the loan for at least 1.05 L / 1.01, which is longer. A borrower that
///      was paused compares the expiry with the time after the pause. A reply that
///      arrives more than L after its request is dropped, and each reply is accepted
///      once.
///    - The lender reduces the outstanding amount of a loan only after a report of
///      use. The tokens in a report are spent already. Reports are totals since the
///      grant, so late, repeated and reordered reports never subtract a token twice.
///      Loan numbers are unique over all processes of a lender.
///    - A borrower that is a home VM itself needs no special case: it spends its own
///      level directly and borrows from other home VMs like any other VM.
/// 3. So the potential of a bucket is at most B/k, it grows by at most R/k per
///    second, and every admitted token lowers it. Summed over the k buckets, a
///    customer spends at most B + R × T in any window of length T.
/// 4. A crash loses borrowed tokens and levels, which only lowers the potential. The
///    next process starts with an empty bucket that is not refilled until the old
///    process has stopped and its loans have expired.
/// 5. A lower share takes effect at once. A higher share takes effect only when
///    every VM has the document that lowered the other VMs' shares and the loans
///    made under those shares have expired (`budget_options::raise_delay`). Until
///    then the lowest share of all recent documents applies.
///
/// The bucket is refilled by the home VM's clock. The refill is 1 % below the share's
/// rate, so that a clock that is 1 % fast does not exceed that rate.
///
/// The controller relies on the daemon for the following. The daemon reads the clock
/// for each event. It neither admits nor lends while its configuration is too old to
/// serve. It stops when it learns of a higher incarnation of its own VM name. Two changes of
/// the document's VM list are at least two dissemination bounds apart, so that no VM
/// misses one of them.
///
///     budget_controller budgets{vm_id{"entry-1"}, incarnation, {}};
///     budgets.apply_document(document, now);
///     budget_actions actions;
///     const auto admission = budgets.admit(customer, whole_tokens(1), now, random_bits, actions);

namespace bulrushlift {

/// The part of an environment document that concerns budgets.
struct budget_document {
  std::vector<vm_id> vms;
  std::map<customer_id, budget_share> customers;  ///< Rate and burst of each customer.

  friend bool operator==(const budget_document&, const budget_document&) = default;
};

/// The request may run; its tokens have been taken.
struct admitted {};

/// The request waits for tokens; a later action resumes or refuses it.
struct waits_for_loan {
  budget_ticket ticket;
};

/// The request is refused: with `over_rate` and a retry time; with `over_burst` if its
/// cost exceeds the burst; with `forbidden` if the document does not name the customer; or
/// with `no_configuration` if the VM has no document yet.
struct refused {
  error reason;
};

using admission = std::variant<admitted, waits_for_loan, refused>;

/// The state of one customer's budget at one VM, for monitoring.
struct budget_snapshot {
  millitokens level;        ///< Level of the own bucket; 0 on VMs that are no home VM.
  millitokens borrowed;     ///< Borrowed tokens that are unspent and have not expired.
  millitokens outstanding;  ///< Tokens lent and not reported as spent.
  millitokens demand;       ///< Cost of all requests in the last demand window.
  std::size_t waiting = 0;  ///< Number of requests that wait for tokens.
  millitokens reserved{};   ///< Part of the level that only urgent requests may spend.

  friend bool operator==(const budget_snapshot&, const budget_snapshot&) = default;
};

class customer_budget;
struct budget_context;

/// The budgets of all customers at one VM.
class budget_controller {
 public:
  /// @param incarnation start of the process in wall-clock milliseconds; makes the
  ///   numbers of loans and loan requests unique over restarts.
  budget_controller(vm_id self, incarnation_id incarnation, budget_options options,
                    budget_test_faults faults = {});
  budget_controller(const budget_controller&) = delete;
  budget_controller& operator=(const budget_controller&) = delete;
  ~budget_controller();

  /// Sets how this process starts, when more is known than the options say. Call before the first document.
  /// @param delay replaces `budget_options::start_delay`; shorter if the process has run for a while.
  /// @param has_allowance whether it may spend the restart allowance. A process must not if the one before
  ///   it started less than two windows ago, and so may have spent it.
  void set_start(duration delay, bool has_allowance);

  /// Applies a newer document. Refuses the waiting requests of customers that it no longer
  /// names. The shares of the first document of a process are delayed like rises from zero.
  /// @return the refusals.
  [[nodiscard]] budget_actions apply_document(const budget_document& document, time_point now);

  /// Admits, delays or refuses a request. Requests of one customer and priority are handled in
  /// order: while some wait, later ones wait behind them.
  /// @param cost at least 1 millitoken.
  /// @param random decides between home VMs with equal expected levels.
  /// @param actions receives the actions to carry out, such as sending a loan request.
  /// @param priority 0 is the most urgent. While the customer is over its limit, tokens go to urgent
  ///   requests first (`urgent_reserve`); otherwise the priority has no effect.
  [[nodiscard]] admission admit(const customer_id& customer, millitokens cost, time_point now,
                                std::uint64_t random, budget_actions& actions, int priority = 0);

  /// Removes a waiting request whose caller has disconnected.
  void cancel(budget_ticket ticket);

  /// Lends from the own bucket.
  /// @return the reply; it is sent also if nothing was lent.
  [[nodiscard]] budget_actions on_loan_request(const loan_request& request, time_point now);

  /// Handles a reply from `home`. Drops a reply that is not the first one to a pending
  /// request to that home VM, or that arrives after the loan lifetime.
  [[nodiscard]] budget_actions on_loan_reply(const vm_id& home, const loan_reply& reply, time_point now);

  /// Handles a loan request that will get no reply, for example because the link closed.
  [[nodiscard]] budget_actions on_loan_failed(const vm_id& home, const customer_id& customer,
                                              loan_request_id id, time_point now);

  /// Sets the VMs that are not asked for loans. Correctness does not depend on this set.
  void set_unreachable(std::set<vm_id> vms);

  /// Resumes and refuses waiting requests as they become due and requests further loans.
  [[nodiscard]] budget_actions on_timer(time_point now, std::uint64_t random);

  /// @return the time at which to call `on_timer`, or nothing while no request waits.
  [[nodiscard]] std::optional<time_point> next_timer() const;

  /// @return the state of the customer's budget, or nothing if the document does not name it.
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
