#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "sql/session_state.h"
#include "sql/statement.h"

/// @file
/// Commands that the proxy sends to a target on one connection, and the status that a target reports.

namespace bulrushlift::sql {

enum class command_kind : std::uint8_t {
  forward,             ///< A caller's statement, with its id and text unchanged.
  execute,             ///< A caller's prepared statement, under its name on the target.
  begin,               ///< Sent by the proxy itself: start a transaction; only the primary accepts it.
  rollback,            ///< Sent by the proxy itself: roll back the open transaction.
  reset,               ///< Drop all session values and prepared statements.
  set_value,           ///< Set a session value.
  prepare,             ///< Define a prepared statement.
  query_status,        ///< Ask for the target's status.
  pause_replication,   ///< Receive no more log entries of terms below `term`; the answer is the status.
  resume_replication,  ///< End the pause of replication.
};

/// One command. The commands of a batch are sent together and answered in order.
struct target_command {
  command_kind kind = command_kind::forward;
  std::string id = {};    ///< Id of the caller's statement.
  std::string text = {};  ///< `forward`: the caller's text; `execute`: the arguments.
  std::string name = {};  ///< Name of a session value, or of a prepared statement on the target.
  std::string value = {};
  prepared_statement definition = {};
  /// The target refuses the command unless it has applied this log point.
  std::optional<log_point> after = std::nullopt;
  term_id term = {};  ///< Used by `pause_replication` only.

  friend bool operator==(const target_command&, const target_command&) = default;
};

/// Status that a target reports.
struct target_status {
  bool is_primary = false;
  term_id term;
  log_point received;  ///< Newest entry in the log, applied or not.
  term_id fence_term;  ///< Term of the newest `pause_replication`; 0 if there was none.

  friend bool operator==(const target_status&, const target_status&) = default;
};

}  // namespace bulrushlift::sql
