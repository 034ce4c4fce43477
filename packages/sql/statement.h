#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

/// @file
/// Statements of a session, their results, and the errors that a session or a
/// target can report. Values only; the text form belongs to the wire protocol.

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

/// The body of a prepared statement: what it does and its opaque shape.
struct prepared_statement {
  bool is_write = false;
  std::string shape;

  friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
  friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

/// One statement of a caller.
struct statement {
  std::string id;  ///< Chosen by the caller; empty for statements of the proxy itself.
  statement_kind kind = statement_kind::read;
  std::string text;                    ///< As the caller wrote it.
  std::string name = {};               ///< Of the value or of the prepared statement.
  std::string argument = {};           ///< Value of `set_value`; arguments of `execute`.
  prepared_statement definition = {};  ///< Of `prepare`.

  friend bool operator==(const statement&, const statement&) = default;
};

/// Transaction state that ends each answer.
enum class transaction_state : std::uint8_t { none, open, failed };

/// What a target answered instead of a result, or what became of the connection.
enum class target_error : std::uint8_t {
  busy,                  ///< No free slot. Not run.
  undefined_name,        ///< Unknown prepared statement. Not run.
  behind,                ///< The log lacks the required point. Not run.
  read_only,             ///< The target is not the primary. Not run.
  wrong_target,          ///< Another service or instance has this address. Not run.
  too_many_connections,  ///< The connection limit is reached. Not run.
  malformed,             ///< Refused as malformed or out of state. Not run.
  failed,                ///< It ran and failed.
  timed_out,             ///< It ran and was stopped by the target.
  other,                 ///< A code that this version does not know; it may have run.
  connection_lost,       ///< The connection ended or stayed silent; it may have run.
};

[[nodiscard]] std::string_view name_of(target_error kind) noexcept;

/// @return whether the statement certainly had no effect.
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
  std::string error_text = {};  ///< Message of the target; meaningful with `error`.
  std::vector<std::string> rows = {};
  std::string signature = {};  ///< Proof that the target ran the statement.
  transaction_state state = transaction_state::none;
  std::optional<log_point> point = std::nullopt;  ///< Newest applied entry of the target's log.

  friend bool operator==(const target_reply&, const target_reply&) = default;
};

/// Errors that a session answers to its caller.
enum class caller_error : std::uint8_t {
  busy,             ///< Refused; nothing of the attempt is kept.
  aborted,          ///< The transaction was rolled back; nothing is kept.
  outcome_unknown,  ///< The statement may have taken effect.
  timed_out,        ///< Gave up; the statement may have run.
  failed,           ///< The target reported a failure.
  access_denied,    ///< Unknown or revoked key.
  no_database,      ///< No route has this database name.
  undefined_name,   ///< Unknown prepared statement.
  malformed,        ///< Not a statement, or not allowed in this state.
  too_large,        ///< The message exceeds the size limit.
};

[[nodiscard]] std::string_view name_of(caller_error kind) noexcept;

}  // namespace bulrushlift::sql
