#pragma once

#include <map>
#include <string_view>

#include "entry/entry_context.h"
#include "entry/peer_adapter.h"
#include "entry/relayed_transaction_table.h"
#include "entry/statement_runner.h"
#include "entry/work_item.h"
#include "sql/overflow_controller.h"
#include "sql/wait_board.h"

/// @file
/// Relays statements to the VM that holds the connections to the targets of their service: the gateway
/// of a data centre, or the owner of the service where there are no gateways. Runs the statements of
/// other VMs for the targets whose connections this VM holds.
///
/// A service has many customers but few connections, each of which belongs to one customer. The
/// sessions of all VMs share these connections, and one queue orders their statements.

namespace bulrushlift::entry {

class statement_router {
 public:
  statement_router(entry_context& context, peer_adapter& peers, statement_runner& runner);

  /// Runs a statement on this VM or on the one that holds the connections. Calls the item's `done` once
  /// unless the item is cancelled, and never from within this call.
  void run(const work_ptr& item);

  /// Cancels a statement whose caller disconnected; its `done` is not called.
  void cancel(const work_ptr& item);

  /// Rolls back a transaction in which no statement is running, on this VM or on its owner. Does
  /// nothing if the transaction is not set.
  void roll_back(const open_transaction& transaction);
  /// As above, but sends the caller's own rollback statement to the target.
  void roll_back(const open_transaction& transaction, const sql::statement& statement);

  /// Rolls back the transactions of other VMs that exceeded the idle limit.
  void on_tick();

  /// @return the number of transactions that are open on this VM for other VMs.
  [[nodiscard]] std::size_t relayed_transactions() const noexcept { return relayed_.size(); }
  /// @return the number of statements that this VM is running for other VMs.
  [[nodiscard]] std::size_t relayed_statements() const noexcept { return relayed_statements_; }

 private:
  /// Where the reply to a relayed statement goes.
  struct reply_address {
    vm_id sender;
    customer_id customer;
    std::uint64_t transaction = 0;  ///< Number of the open transaction; 0 for a statement that begins none.
    sql::wait_key queue;            ///< Where the statement waited.
    peer_responder respond;
  };

  [[nodiscard]] std::vector<vm_id> unreachable_vms() const;
  /// @return whether the statement would get a slot in time, as far as the VMs that could run it reported.
  [[nodiscard]] bool is_admitted(const work_item& item);
  void refuse(const work_ptr& item);
  /// Chooses the VM that runs a statement, and the data centre whose targets it is to use.
  /// @return nothing if no VM can run it.
  [[nodiscard]] std::optional<vm_id> place(const work_ptr& item);
  /// @return the data centres whose targets may run the statement, best first.
  [[nodiscard]] std::vector<data_centre_id> placement_order(const work_item& item);
  /// @return the data centres with targets for a read, as the decision on overflow needs them.
  [[nodiscard]] std::vector<sql::read_site> read_sites(const work_item& item) const;
  /// Logs and counts which reads left their data centre and why.
  void report_placements();
  /// Runs the statement in another data centre than the one that could not run it.
  void on_moved(const work_ptr& item, const data_centre_id& suggested);
  /// Sends the statement to the VM that `place` chose; runs it here if that is this VM or there is none.
  void send(const work_ptr& item, const std::optional<vm_id>& vm);
  void relay(const work_ptr& item, const vm_id& owner);
  void on_reply(const work_ptr& item, const vm_id& owner, const result<peer::envelope_t>& reply);
  void on_relay_failed(const work_ptr& item, const vm_id& owner, const error& failure);
  void finish(const work_ptr& item, const work_result& value);
  void fail(const work_ptr& item, sql::caller_error kind, std::string_view reason);

  void on_message(const peer::envelope_t& message, const peer_responder& respond);
  /// Reserves memory for a statement of another VM. @return whether it may run.
  [[nodiscard]] bool reserve_for_peer(work_item& item) const;
  void run_for_peer(const peer::statement_request_t& wire, const peer_responder& respond);
  void on_relayed_result(const reply_address& to, time_point reply_deadline, const work_result& value);
  void reply_to_peer(const reply_address& to, work_result value);
  void end_transaction_for_peer(const peer::transaction_end_t& wire);

  entry_context& context_;
  peer_adapter& peers_;
  statement_runner& runner_;
  std::map<vm_id, time_point> unreachable_until_;
  sql::wait_board waits_;
  std::map<service_id, sql::overflow_controller> overflow_;
  time_point last_placement_report_{};
  relayed_transaction_table relayed_;
  std::size_t relayed_statements_ = 0;
};

}  // namespace bulrushlift::entry
