#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "limits/borrowed_tokens.h"
#include "limits/budget_controller.h"
#include "limits/demand_window.h"
#include "limits/home_bucket.h"
#include "limits/home_list.h"
#include "limits/loan.h"

/// @file
/// The budget of one customer at one VM. Internal to the budget controller.

namespace bulrushlift {

/// What the budgets of all customers of one VM share.
struct budget_context {
  vm_id self;
  incarnation_id incarnation;
  budget_options options;
  budget_test_faults faults;
  std::set<vm_id> unreachable;
  std::uint64_t next_number = 0;  ///< For requests, loans and tickets.

  [[nodiscard]] std::uint64_t take_number() noexcept { return next_number++; }
};

class customer_budget {
 public:
  /// @param context outlives this object.
  customer_budget(customer_id customer, budget_context& context);

  /// Takes the customer's rate and burst and its home VMs, best first.
  void set_share(const budget_share& whole, const std::vector<vm_id>& homes, time_point now);

  [[nodiscard]] admission admit(millitokens cost, time_point now, std::uint64_t random,
                                budget_actions& actions);
  void cancel(budget_ticket ticket);
  [[nodiscard]] loan_reply lend(const loan_request& request, time_point now);
  void on_loan_reply(const vm_id& home, const loan_reply& reply, time_point now, budget_actions& actions);
  void on_loan_failed(const vm_id& home, loan_request_id id, time_point now, budget_actions& actions);
  void on_timer(time_point now, std::uint64_t random, budget_actions& actions);

  /// Refuses all waiting requests; the document no longer names the customer.
  void refuse_all(budget_actions& actions);

  [[nodiscard]] std::optional<time_point> next_timer() const noexcept { return next_timer_; }
  [[nodiscard]] bool has_waiting() const noexcept { return !waiting_.empty(); }
  [[nodiscard]] budget_snapshot snapshot(time_point now);

 private:
  struct waiting_request {
    budget_ticket ticket;
    millitokens cost;
    time_point deadline;
  };

  [[nodiscard]] millitokens holdings(time_point now);
  void spend(millitokens cost, time_point now);
  [[nodiscard]] error over_rate(millitokens missing) const;
  /// Resumes, refuses and asks until nothing more is due, and sets the timer.
  void work(time_point now, std::uint64_t random, budget_actions& actions);
  void resume_waiting(time_point now, budget_actions& actions);
  void refuse_expired(time_point now, budget_actions& actions);
  void ask_for_shortfall(time_point now, std::uint64_t random, budget_actions& actions);
  void set_timer(time_point now);

  customer_id customer_;
  budget_context* context_;
  budget_share whole_;
  home_bucket bucket_;
  borrowed_tokens borrowed_tokens_;
  home_list homes_;
  demand_window demand_;
  std::deque<waiting_request> waiting_;
  millitokens waiting_cost_;
  std::optional<time_point> next_timer_;
};

}  // namespace bulrushlift
