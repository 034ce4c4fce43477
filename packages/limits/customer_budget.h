#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "limits/borrowed_tokens.h"
#include "limits/budget_controller.h"
#include "limits/demand_window.h"
#include "limits/home_bucket.h"
#include "limits/home_selector.h"
#include "limits/loan.h"
#include "limits/urgent_reserve.h"

/// @file
/// The budget of one customer at one VM. Internal to the budget controller.

namespace bulrushlift {

/// State that the budgets of all customers of one VM have in common.
struct budget_context {
  vm_id self;
  incarnation_id incarnation;
  budget_options options;
  budget_test_faults faults;
  std::set<vm_id> unreachable;
  std::uint64_t next_number = 0;  ///< Next number of a loan request, loan or ticket.

  [[nodiscard]] std::uint64_t allocate_number() noexcept { return next_number++; }
};

/// Admits the requests of one customer from its own bucket and borrowed tokens, requests
/// loans when these run short and lends to other VMs. The functions that share a name with
/// one of `budget_controller` do for one customer what is described there.
class customer_budget {
 public:
  /// @param context outlives this object.
  customer_budget(customer_id customer, budget_context& context);

  /// Applies a document.
  /// @param customer_share rate and burst of the customer.
  /// @param homes its home VMs in rendezvous order, which is the same on all VMs.
  void set_share(const budget_share& customer_share, const std::vector<vm_id>& homes, time_point now);

  [[nodiscard]] admission admit(millitokens cost, time_point now, std::uint64_t random,
                                budget_actions& actions, int priority);
  void cancel(budget_ticket ticket);
  [[nodiscard]] loan_reply lend(const loan_request& request, time_point now);
  void on_loan_reply(const vm_id& home, const loan_reply& reply, time_point now, budget_actions& actions);
  void on_loan_failed(const vm_id& home, loan_request_id id, time_point now, budget_actions& actions);
  void on_timer(time_point now, std::uint64_t random, budget_actions& actions);

  /// Refuses all waiting requests because the document no longer names the customer.
  void refuse_all(budget_actions& actions);

  [[nodiscard]] std::optional<time_point> next_timer() const noexcept { return next_timer_; }
  [[nodiscard]] bool has_waiting() const noexcept { return !waiting_.empty(); }
  [[nodiscard]] budget_snapshot snapshot(time_point now);

 private:
  struct waiting_request {
    budget_ticket ticket;
    millitokens cost;
    time_point deadline;
    int priority = 0;
  };
  using waiting_requests = std::deque<waiting_request>;

  /// @return rate and capacity with which the tokens of all home VMs together accrue.
  [[nodiscard]] budget_share relaxed_bucket() const;
  /// @return the most that the customer may spend at once.
  [[nodiscard]] millitokens largest_cost() const;
  /// @return the level of the own bucket plus the borrowed tokens.
  [[nodiscard]] millitokens available_tokens(time_point now);
  /// @return what a request of this priority may spend of them.
  [[nodiscard]] millitokens available_tokens(int priority, time_point now);
  /// @return what requests that are not urgent must leave in the own bucket.
  [[nodiscard]] millitokens reserved_tokens(time_point now);
  /// @return the cost of the urgent waiting requests, or zero while there is no need to prefer them.
  [[nodiscard]] millitokens urgent_waiting_cost(time_point now) const;
  /// @return what may be lent if the bucket has it: the urgent part, and what is not reserved.
  [[nodiscard]] millitokens lendable_amount(const loan_request& request, time_point now);
  /// @return what the urgent waiting requests lack and no home VM has been asked for.
  [[nodiscard]] millitokens missing_urgent(time_point now);
  [[nodiscard]] bool has_room_to_wait(millitokens cost) const;
  /// Refuses the newest waiting request that is not urgent, in favour of an urgent one.
  /// @return whether there was one.
  bool displace_waiting(time_point now, budget_actions& actions);
  void refuse(const waiting_requests::iterator& it, time_point now, budget_actions& actions);
  /// @return the waiting request that gets the next tokens; there must be one.
  [[nodiscard]] waiting_requests::iterator next_waiting(time_point now);
  void spend(millitokens cost, time_point now);
  /// @return `over_rate`, with the time in which `missing` accrues at the customer's rate.
  [[nodiscard]] error over_rate_error(millitokens missing) const;
  /// Resumes the waiting requests that have their tokens, refuses those past their
  /// deadline, requests loans for the rest and sets the timer.
  void process_waiting(time_point now, std::uint64_t random, budget_actions& actions);
  void resume_waiting(time_point now, budget_actions& actions);
  void refuse_expired(time_point now, budget_actions& actions);
  void request_loans(time_point now, std::uint64_t random, budget_actions& actions);
  /// Asks one home VM for the tokens that the urgent requests lack, also during a long back-off.
  void request_urgent_loan(time_point now, std::uint64_t random, budget_actions& actions);
  void send_request(const vm_id& home, millitokens amount, time_point now, budget_actions& actions);
  void set_timer(time_point now);

  customer_id customer_;
  budget_context* context_;
  budget_share customer_share_;
  home_bucket bucket_;
  borrowed_tokens borrowed_tokens_;
  home_selector homes_;
  demand_window demand_;
  urgent_reserve reserve_;
  waiting_requests waiting_;  ///< In the order of arrival.
  millitokens waiting_cost_;
  std::optional<time_point> next_timer_;
};

}  // namespace bulrushlift
