#pragma once

#include <peer_types.h>

#include <functional>
#include <map>

#include "daemon/context.h"
#include "limits/budget_controller.h"

/// @file
/// Pipeline step "admit": tokens of the customer's budget, with loans from other VMs.

namespace bulrushlift {

class peer_adapter;

class budget_adapter {
 public:
  using admit_callback = std::function<void(result<void>)>;

  budget_adapter(daemon_context& context, peer_adapter& peers);

  /// Applies the document in force.
  void configure();

  /// @param done called once, at once or when a loan arrives or its wait is over.
  void admit(const customer_id& customer, admit_callback done);

  /// Lends to a peer. @return the reply.
  [[nodiscard]] peer::loan_reply_t lend(const peer::loan_request_t& wire);

  /// Publishes which members are not worth asking.
  void update_members();

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
  std::map<budget_ticket, admit_callback> waiting_;
  peer::loan_reply_t reply_;
  scoped_timer timer_;
};

}  // namespace bulrushlift
