#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "sql/session_state.h"
#include "sql/statement.h"

/// @file
/// What the proxy asks of a target on one connection, and what a target says of itself.

namespace bulrushlift::sql {

enum class command_kind : std::uint8_t {
  forward,             ///< A caller's statement, with its id and text unchanged.
  execute,             ///< A caller's prepared statement, under its name on the target.
  begin,               ///< Proxy's own: start a transaction; only the primary accepts it.
  rollback,            ///< Proxy's own: end the open transaction.
  reset,               ///< Drop values and prepared statements.
  set_value,           ///< Set a session value.
  prepare,             ///< Define a prepared statement.
  query_status,        ///< Ask for the target's status.
  pause_replication,   ///< Receive nothing more of terms below `term`; answers with the status.
  resume_replication,  ///< Undo a pause.
};

/// One command. Commands of a batch are sent together and answered in order.
struct target_command {
  command_kind kind = command_kind::forward;
  std::string id = {};    ///< Of the caller's statement.
  std::string text = {};  ///< `forward`: the caller's text; `execute`: the arguments.
  std::string name = {};  ///< Of a value, or of a prepared statement on the target.
  std::string value = {};
  prepared_statement definition = {};
  /// The target refuses the command unless its log holds this point.
  std::optional<log_point> after = std::nullopt;
  term_id term = {};  ///< Of `pause_replication`.

  friend bool operator==(const target_command&, const target_command&) = default;
};

/// A target's account of itself.
struct target_status {
  bool is_primary = false;
  term_id term;
  log_point received;  ///< Newest entry in the log, applied or not.
  term_id fence_term;        ///< Term of the newest pause.

  friend bool operator==(const target_status&, const target_status&) = default;
};

}  // namespace bulrushlift::sql
