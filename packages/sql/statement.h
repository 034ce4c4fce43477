#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

/// @file
/// Statements of a session, their results, and the errors that a session or a
/// target can report. These are plain values; the wire protocol defines their text form.

namespace bulrushlift::sql {

enum class statement_kind : std::uint8_t {
  begin,            ///< Starts a transaction that may write; needs the primary.
  begin_read_only,  ///< Starts a transaction that only reads.
  commit,
  rollback,
  read,
  write,
  set_value,   ///< Sets a session value.
  prepare,     ///< Defines a prepared statement of this session.
  execute,     ///< Runs a prepared statement.
  deallocate,  ///< Drops a prepared statement.
};

[[nodiscard]] std::string_view name_of(statement_kind kind) noexcept;

/// The body of a prepared statement: whether it writes, and its shape, which the proxy does not interpret.
struct prepared_statement {
  bool is_write = false;
  std::string shape;

  friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
  friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

/// One statement that a caller sent.
struct statement {
  std::string id;  ///< Chosen by the caller; empty for statements of the proxy itself.
  statement_kind kind = statement_kind::read;
  std::string text;                    ///< As the caller sent it.
  std::string name = {};               ///< Name of the session value or of the prepared statement.
  std::string argument = {};           ///< The new value for `set_value`; the arguments for `execute`.
  prepared_statement definition = {};  ///< Used by `prepare` only.

  friend bool operator==(const statement&, const statement&) = default;
};

/// Transaction state that a target reports at the end of each answer.
enum class transaction_state : std::uint8_t { none, open, failed };

/// Error that a target returned instead of a result, or the failure of its connection.
enum class target_error : std::uint8_t {
  busy,                  ///< The target has no free slot. Not run.
  undefined_name,        ///< The prepared statement is unknown. Not run.
  behind,                ///< The target's log has not reached the required point. Not run.
  read_only,             ///< The target is not the primary. Not run.
  wrong_target,          ///< Another service or instance has the address now. Not run.
  too_many_connections,  ///< The target's connection limit is reached. Not run.
  malformed,             ///< Malformed, or not allowed in the session's state. Not run.
  failed,                ///< The statement ran and failed.
  timed_out,             ///< The statement ran and the target stopped it.
  other,                 ///< An error code that this version does not know; the statement may have run.
  connection_lost,       ///< The connection closed or gave no answer in time; the statement may have run.
};

[[nodiscard]] std::string_view name_of(target_error kind) noexcept;

/// @return true if the error guarantees that the statement had no effect.
[[nodiscard]] constexpr bool is_not_run(target_error kind) noexcept {
  switch (kind) {
    case target_error::busy:
    case target_error::undefined_name:
    case target_error::behind:
    case target_error::read_only:
    case target_error::wrong_target:
    case target_error::too_many_connections:
    case target_error::malformed:
      return true;
    case target_error::failed:
    case target_error::timed_out:
    case target_error::other:
    case target_error::connection_lost:
      break;
  }
  return false;
}

/// A target's answer to one statement.
struct target_reply {
  std::optional<target_error> error = std::nullopt;
  std::string error_text = {};  ///< The target's error message; set only with `error`.
  std::vector<std::string> rows = {};
  std::string signature = {};  ///< Proof that the target ran the statement.
  transaction_state state = transaction_state::none;
  std::optional<log_point> point = std::nullopt;  ///< Newest log entry that the target has applied.

  friend bool operator==(const target_reply&, const target_reply&) = default;
};

/// Errors that a session returns to its caller.
enum class caller_error : std::uint8_t {
  busy,             ///< The statement was refused and had no effect.
  aborted,          ///< The transaction was rolled back and had no effect.
  outcome_unknown,  ///< The statement may have taken effect.
  timed_out,        ///< The proxy stopped waiting; the statement may have run.
  failed,           ///< The target reported a failure.
  access_denied,    ///< The key is unknown or revoked.
  no_database,      ///< No route has this database name.
  undefined_name,   ///< The prepared statement is unknown.
  malformed,        ///< The message is not a statement, or is not allowed in the session's state.
  too_large,        ///< The message exceeds the size limit.
};

[[nodiscard]] std::string_view name_of(caller_error kind) noexcept;

}  // namespace bulrushlift::sql
