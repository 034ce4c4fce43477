#pragma once

#include <peer_types.h>

#include <functional>
#include <map>
#include <memory>

#include "entry/entry_context.h"
#include "limits/budget_controller.h"
#include "net/peer_link.h"

/// @file
/// Rate and burst of each customer over all VMs: the budget controller, with loans
/// over peer links.

namespace bulrushlift::entry {

class budget_port {
 public:
  /// Gets whether the operation is inside the customer's budget.
  using admit_callback = std::function<void(bool)>;

  explicit budget_port(entry_context& context);

  /// Starts to lend to peers. @return the bound address.
  [[nodiscard]] result<net_address> listen();

  /// Applies the configuration and the list of VMs on the blackboard.
  void configure();

  /// Decides on one operation.
  /// @param done called once, at once or when a loan arrives or its wait is over.
  void admit(const customer_id& customer, admit_callback done);

 private:
  struct peer_connection {
    std::string address;
    std::unique_ptr<peer_link> link;
  };

  void perform(const budget_actions& actions);
  void run(const ask_loan& action);
  void run(const answer_loan& action);
  void run(const resume_request& action);
  void run(const refuse_request& action);
  void on_message(const peer::envelope_t& message, const peer_responder& respond);
  [[nodiscard]] peer_link* link_to(const vm_id& vm);
  void on_loan_answer(const ask_loan& action, const result<peer::envelope_t>& reply);
  void rearm();
  void finish(budget_ticket ticket, bool is_admitted);

  entry_context& context_;
  budget_controller controller_;
  budget_document document_;
  std::map<budget_ticket, admit_callback> waiting_;
  std::map<vm_id, peer_connection> peers_;
  peer::loan_reply_t reply_;
  peer_server server_;
  scoped_timer timer_;
};

}  // namespace bulrushlift::entry
