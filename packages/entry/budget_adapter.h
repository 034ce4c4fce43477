#pragma once

#include <peer_types.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

#include "entry/entry_context.h"
#include "entry/peer_adapter.h"
#include "limits/budget_controller.h"

/// @file
/// Enforces the rate and burst limits of the customers over all VMs: runs the budget controller
/// and exchanges loans of tokens with other VMs over the peer links.

namespace bulrushlift::entry {

class budget_adapter {
 public:
  /// Receives whether the operation is within the customer's budget.
  using admit_callback = std::function<void(bool)>;

  budget_adapter(entry_context& context, peer_adapter& peers);

  /// Applies the configuration and the list of VMs from the shared state.
  void configure();

  /// Sets the VMs that are not asked for loans.
  void set_unreachable(std::set<vm_id> vms) { controller_.set_unreachable(std::move(vms)); }

  /// Logs a customer's refused operation with the inputs of the decision.
  /// @param priority that of the route; 0 is the most urgent.
  void log_refusal(const customer_id& customer, std::string_view request_id, std::string_view database,
                   int priority);

  /// Decides whether to admit one operation, which costs one token.
  /// @param priority that of the route; urgent operations get tokens first while they are short.
  /// @param done called once: from within this call, or later when a loan arrives or the wait for
  ///   it times out.
  void admit(const customer_id& customer, int priority, admit_callback done);

 private:
  /// @return whether the previous process of this VM started less than two windows before this one.
  [[nodiscard]] bool has_restarted_lately() const;
  void perform(const budget_actions& actions);
  void run(const send_loan_request& action);
  void run(const send_loan_reply& action);
  void run(const resume_request& action);
  void run(const refuse_request& action);
  void on_message(const peer::envelope_t& message, const peer_responder& respond);
  void on_loan_answer(const send_loan_request& action, const result<peer::envelope_t>& reply);
  void reset_timer();
  void complete_wait(budget_ticket ticket, bool is_admitted);

  entry_context& context_;
  peer_adapter& peers_;
  budget_options options_;
  time_point process_start_;
  budget_controller controller_;
  budget_document document_;
  std::map<budget_ticket, admit_callback> waiting_;
  peer::loan_reply_t reply_;
  scoped_timer timer_;
};

}  // namespace bulrushlift::entry
