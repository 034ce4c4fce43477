#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/error.h"
#include "sql/statement.h"
#include "sql/target_command.h"

/// @file
/// The platform's text protocol for callers and targets: one message a line, fields
/// separated by blanks, the last field up to the end of the line. Pure functions.

namespace bulrushlift::platform {

/// Longest line, its end included.
inline constexpr std::size_t line_bytes = std::size_t{1} << 20U;

/// A caller opens a session.
struct open_session {
  std::string database;
  std::string key;
};
/// A caller sends a statement.
struct run_statement {
  sql::statement statement;
};
/// A caller sends something under an id that is no statement.
struct malformed_statement {
  std::string id;
};
/// A caller ends its session.
struct close_session {};
/// A line that is no message at all.
struct malformed_message {};

using caller_message = std::variant<open_session, run_statement, malformed_statement, close_session, malformed_message>;

/// @param line without its end.
[[nodiscard]] caller_message decode_caller_line(std::string_view line);

/// Answers to callers. `encode_ready` ends each of them.
void append_row(std::string& out, std::string_view row);
/// @param signature of the target; empty for an answer of the proxy itself.
void append_complete(std::string& out, std::string_view signature);
void append_error(std::string& out, sql::caller_error kind, std::string_view text);
void append_ready(std::string& out, sql::transaction_state state, const std::optional<log_point>& point);

/// The first line on a connection to a target.
/// @param expected the target that should answer at the address.
[[nodiscard]] std::string encode_target_start(const service_id& service, const customer_id& customer,
                                              const target_id& expected);
void append_command(std::string& out, const sql::target_command& command);

struct target_row {
  std::string data;
};
struct target_complete {
  std::string signature;
};
struct target_failure {
  sql::target_error kind = sql::target_error::other;
  std::string text;
};
struct target_ready {
  sql::transaction_state state = sql::transaction_state::none;
  std::optional<log_point> point;
};
struct malformed_target_message {};

using target_message =
    std::variant<target_row, target_complete, target_failure, target_ready, malformed_target_message>;

[[nodiscard]] target_message decode_target_line(std::string_view line);

/// @param row of the answer to `command_kind::query_status`.
[[nodiscard]] std::optional<sql::target_status> decode_status(std::string_view row);

}  // namespace bulrushlift::platform
