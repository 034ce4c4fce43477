#pragma once

#include <peer_types.h>

#include <functional>
#include <map>

#include "daemon/context.h"
#include "limits/budget_controller.h"

/// @file
/// Pipeline step "admit": rate limiting by token buckets, with loans of tokens between VMs.

namespace bulrushlift {

class peer_adapter;

/// Runs the budget controller: timers, loan messages to peers and requests that wait for a loan.
class budget_adapter {
 public:
  using admit_callback = std::function<void(result<void>)>;

  budget_adapter(daemon_context& context, peer_adapter& peers);

  /// Applies the budgets of the current configuration document.
  void configure();

  /// Takes one token from the budget of the customer.
  /// @param done called once with success or the refusal: before this function returns, or later if the
  ///   request waits for a loan.
  void admit(const customer_id& customer, admit_callback done);

  /// Handles the loan request of a peer.
  /// @return the reply with the tokens lent.
  [[nodiscard]] peer::loan_reply_t lend(const peer::loan_request_t& wire);

  /// Tells the controller which members are not alive, so that it asks them for no loan.
  void update_members();

  /// @return the current budget of the customer, or nothing if it has none.
  [[nodiscard]] std::optional<budget_snapshot> snapshot(const customer_id& customer);

 private:
  void perform(const budget_actions& actions);
  void run(const send_loan_request& action);
  void run(const send_loan_reply& action);
  void run(const resume_request& action);
  void run(const refuse_request& action);
  void rearm();
  void finish(budget_ticket ticket, const result<void>& value);

  daemon_context& context_;
  peer_adapter& peers_;
  budget_controller controller_;
  std::map<budget_ticket, admit_callback> waiting_;  ///< Requests that wait for a loan.
  peer::loan_reply_t reply_;                         ///< Reply of the loan request being handled.
  scoped_timer timer_;
};

}  // namespace bulrushlift
