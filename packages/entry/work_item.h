#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/connection_pool.h"
#include "sql/environment.h"
#include "sql/session_state.h"
#include "sql/statement.h"

/// @file
/// A statement to run on a target, and its result.

namespace bulrushlift::entry {

/// A transaction that is open on a target connection of this VM or of another one.
struct open_transaction {
  /// The connection, if this VM holds it; else null.
  connection_pool::connection_ptr connection = nullptr;
  vm_id owner = {};          ///< The VM that holds the connection, if it is another one.
  std::uint64_t number = 0;  ///< Number that `owner` gave to the transaction; 0 if unset.

  [[nodiscard]] bool is_set() const noexcept { return connection || number != 0; }
};

/// Result of a statement.
struct work_result {
  std::optional<sql::caller_error> error = std::nullopt;
  /// Set with an error if no target of the requested data centre can run the statement now: another one
  /// that may, or an empty name if none is known. The statement has not run.
  std::optional<data_centre_id> other_data_centre = std::nullopt;
  std::string reason = {};                               ///< Reason of the error, for the caller and the log.
  std::optional<duration> expected_wait = std::nullopt;  ///< Wait of a like statement at the VM that ran it.
  sql::target_reply reply = {};       ///< Rows, signature and log point; set if there is no error.
  open_transaction transaction = {};  ///< The transaction if it is open after the statement.
  std::shared_ptr<memory_reservation> reservation = nullptr;  ///< For the rows; null if they are small.
};

/// A statement with all that is needed to run it, and the progress of its attempts.
struct work_item {
  using callback = std::function<void(work_result)>;

  sql::statement statement;
  /// The caller's begin; set on the first statement of a transaction.
  std::optional<sql::statement> begin = std::nullopt;
  /// The transaction to run in; set on the statements after the first one.
  open_transaction pinned = {};
  std::shared_ptr<const sql::database_route> route;
  customer_id customer;
  std::shared_ptr<const sql::session_state> session;
  /// The prepared statement to run; set if `statement` is an execute.
  std::optional<sql::prepared_statement> prepared = std::nullopt;
  time_point arrived{};
  time_point deadline{};
  callback done;
  /// Data centre whose targets may run the statement; all of the service if it is not set.
  std::optional<data_centre_id> data_centre = std::nullopt;
  /// Called in place of `done` when no target of `data_centre` can run the statement now, with a result
  /// that has `other_data_centre` set. If it is empty, the statement waits for a target there.
  callback moved;

  // Progress, written by `statement_router` and `statement_runner`.
  std::uint64_t start_tag = 0;  ///< Position in fair queueing among the customers; 0 if not assigned.
  time_point wait_end{};        ///< When the statement is refused if it still waits for a slot.
  std::uint32_t relays = 0;
  std::vector<data_centre_id> tried_data_centres;  ///< Those that could not run the statement.
  std::uint32_t attempts = 0;
  time_point not_before{};                                  ///< Earliest time of the next attempt.
  std::optional<target_id> excluded_target = std::nullopt;  ///< Target of the last failed attempt.
  bool needs_primary = false;                               ///< Set if no replica can serve it.
  bool is_opening = false;                                  ///< A connection is being opened for it.
  bool is_cancelled = false;                                ///< The caller disconnected.
  /// Memory for a large statement of another VM; null for others, whose sessions count them.
  std::shared_ptr<memory_reservation> reservation = nullptr;

  /// @return whether the statement itself may change data.
  [[nodiscard]] bool is_write() const noexcept {
    return statement.kind == sql::statement_kind::write || (prepared && prepared->is_write);
  }
  [[nodiscard]] bool is_commit() const noexcept { return statement.kind == sql::statement_kind::commit; }
  [[nodiscard]] bool is_in_transaction() const noexcept { return begin || pinned.is_set(); }
  /// @return whether the statement must run on the primary.
  [[nodiscard]] bool is_for_primary() const noexcept {
    const bool may_write = begin ? begin->kind == sql::statement_kind::begin : is_write();
    return may_write || needs_primary || route->level == sql::consistency::primary;
  }
};

using work_ptr = std::shared_ptr<work_item>;

}  // namespace bulrushlift::entry
