#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "entry/connection_pool.h"

/// @file
/// The transactions that are open on this VM for sessions of other VMs.
///
///     relayed_transaction_table open{context.incarnation};
///     const auto number = open.add(sender, customer, connection, now);
///     if (auto connection = open.start_statement(number, sender, customer)) { ... }

namespace bulrushlift::entry {

/// A transaction that is open on this VM for a session of another VM.
struct relayed_transaction {
  vm_id sender;          ///< VM of the session.
  customer_id customer;  ///< Customer of the session.
  connection_pool::connection_ptr connection;
  bool is_running = false;  ///< Whether a statement of the transaction is running.
  time_point last_used{};   ///< When the last statement ended.
};

/// Table of these transactions, by number. A session of another VM may name a transaction of an earlier
/// process of this VM, so no two processes give the same number.
class relayed_transaction_table {
 public:
  /// A transaction that exceeded the idle limit.
  struct expired_transaction {
    std::uint64_t number = 0;
    relayed_transaction value;
  };

  /// @param incarnation start of this process.
  explicit relayed_transaction_table(incarnation_id incarnation)
      : next_number_(first_number_of(incarnation)) {}

  /// Adds a transaction in which no statement is running.
  /// @return its number.
  std::uint64_t add(const vm_id& sender, const customer_id& customer,
                    connection_pool::connection_ptr connection, time_point now);

  /// Marks the transaction as running a statement.
  /// @return the connection of the transaction; null if the transaction is not open, belongs to another VM
  ///   or customer, or is running a statement already.
  [[nodiscard]] connection_pool::connection_ptr start_statement(std::uint64_t number, const vm_id& sender,
                                                                const customer_id& customer);
  /// The running statement ended and the transaction stays open. Has no effect if the transaction was ended
  /// meanwhile.
  /// @return whether the transaction is open.
  bool finish_statement(std::uint64_t number, time_point now);

  /// Removes a transaction.
  /// @return its connection, or null if the transaction is not open.
  connection_pool::connection_ptr remove(std::uint64_t number);

  /// Removes the transactions in which no statement is running and that were last used `limit` ago or
  /// earlier.
  [[nodiscard]] std::vector<expired_transaction> remove_expired(time_point now, duration limit);

  [[nodiscard]] std::size_t size() const noexcept { return open_.size(); }

 private:
  std::map<std::uint64_t, relayed_transaction> open_;
  std::uint64_t next_number_;
};

}  // namespace bulrushlift::entry
