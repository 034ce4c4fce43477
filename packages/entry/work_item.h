#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry/connection_pool.h"
#include "sql/environment.h"
#include "sql/session_state.h"
#include "sql/statement.h"

/// @file
/// One statement on its way to a target.

namespace bulrushlift::entry {

/// A transaction that is open on a target connection of this VM or of another one.
struct open_transaction {
  connection_pool::connection_ptr connection = nullptr;  ///< Of this VM; null if it is elsewhere.
  vm_id owner = {};                                      ///< The other VM.
  std::uint64_t number = 0;                              ///< Of the transaction at the other VM.

  [[nodiscard]] bool is_set() const noexcept { return connection || number != 0; }
};

/// What became of a statement.
struct work_result {
  std::optional<sql::caller_error> error = std::nullopt;
  std::string reason = {};            ///< Of the error, for the caller and the log.
  sql::target_reply reply = {};       ///< Without an error: rows, signature and point.
  open_transaction transaction = {};  ///< Open after the statement.
};

struct work_item {
  using callback = std::function<void(work_result)>;

  sql::statement statement;
  /// Set on the first statement of a transaction: the caller's begin.
  std::optional<sql::statement> begin = std::nullopt;
  /// Set on later statements of a transaction.
  open_transaction pinned = {};
  std::shared_ptr<const sql::database_route> route;
  customer_id customer;
  std::shared_ptr<const sql::session_state> session;
  /// Of the statement that `execute` runs.
  std::optional<sql::prepared_statement> prepared = std::nullopt;
  time_point arrived{};
  time_point deadline{};
  callback done;

  // State of the router and of the runner.
  std::uint64_t turn = 0;  ///< Place among the customers' waiting statements.
  time_point wait_end{};   ///< When waiting for a slot ends with a refusal.
  std::uint32_t relays = 0;
  std::uint32_t attempts = 0;
  time_point not_before{};                                  ///< Pause before the next attempt.
  std::optional<target_id> excluded_target = std::nullopt;  ///< Target of the attempt that failed.
  bool needs_primary = false;                               ///< A replica could not serve it.
  bool is_opening = false;                                  ///< A connection is being opened for it.
  bool is_cancelled = false;                                ///< The caller is gone.

  /// @return whether the statement itself may change data.
  [[nodiscard]] bool is_write() const noexcept {
    return statement.kind == sql::statement_kind::write || (prepared && prepared->is_write);
  }
  [[nodiscard]] bool is_commit() const noexcept { return statement.kind == sql::statement_kind::commit; }
  [[nodiscard]] bool is_in_transaction() const noexcept { return begin || pinned.is_set(); }
  /// @return whether the target must be the primary.
  [[nodiscard]] bool is_for_primary() const noexcept {
    const bool may_write = begin ? begin->kind == sql::statement_kind::begin : is_write();
    return may_write || needs_primary || route->level == sql::consistency::primary;
  }
};

using work_ptr = std::shared_ptr<work_item>;

}  // namespace bulrushlift::entry
