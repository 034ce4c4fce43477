#pragma once

#include <map>
#include <string_view>

#include "entry/entry_context.h"
#include "entry/peer_adapter.h"
#include "entry/statement_runner.h"
#include "entry/work_item.h"

/// @file
/// Sends statements to the VM that holds the target connections of their service, and
/// runs them for the other VMs where this VM is that owner.
///
/// Load pattern: many customers over few connections, each of which belongs to one
/// customer. With one owner a service, the connections are shared by the sessions of
/// all VMs, and one queue decides who is next.

namespace bulrushlift::entry {

class statement_router {
 public:
  statement_router(entry_context& context, peer_adapter& peers, statement_runner& runner);

  /// Runs a statement here or at the owner. `done` is called once unless the item is
  /// cancelled, and never from within this call.
  void run(const work_ptr& item);

  /// The caller left.
  void cancel(const work_ptr& item);

  /// Rolls a transaction back that no statement uses; an unset one is ignored.
  void roll_back(const open_transaction& transaction);
  /// Does so with the caller's own statement.
  void roll_back(const open_transaction& transaction, const sql::statement& statement);

  /// Ends transactions of other VMs that are gone or silent.
  void on_tick();

  /// @return transactions that are open here for other VMs.
  [[nodiscard]] std::size_t relayed_transactions() const noexcept { return relayed_.size(); }

 private:
  /// A transaction that is open here for a session of another VM.
  struct relayed_transaction {
    vm_id sender;
    connection_pool::connection_ptr connection;
    bool is_running = false;
    time_point last_used{};
  };

  [[nodiscard]] std::optional<vm_id> choose_owner(const service_id& service) const;
  void relay(const work_ptr& item, const vm_id& owner);
  void on_reply(const work_ptr& item, const vm_id& owner, const result<peer::envelope_t>& reply);
  void on_relay_failed(const work_ptr& item, const vm_id& owner, const error& failure);
  void finish(const work_ptr& item, const work_result& value);
  void fail(const work_ptr& item, sql::caller_error kind, std::string_view reason);

  void on_message(const peer::envelope_t& message, const peer_responder& respond);
  void run_for_peer(const peer::statement_request_t& wire, const peer_responder& respond);
  void reply_to_peer(std::uint64_t number, const vm_id& sender, const work_result& value,
                     const peer_responder& respond);
  void end_transaction_for_peer(const peer::transaction_end_t& wire);

  entry_context& context_;
  peer_adapter& peers_;
  statement_runner& runner_;
  std::map<vm_id, time_point> unreachable_until_;
  std::map<std::uint64_t, relayed_transaction> relayed_;
  std::uint64_t last_transaction_number_ = 0;
};

}  // namespace bulrushlift::entry
