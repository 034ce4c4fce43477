#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/error.h"
#include "sql/statement.h"
#include "sql/target_command.h"

/// @file
/// Encodes and decodes the platform's text protocol between callers, proxy and targets.
/// Each message is one line. Fields are separated by single spaces; the last field
/// extends to the end of the line and may contain spaces. All functions are pure.

namespace bulrushlift::platform {

/// Maximum length of a line in bytes, including its line terminator.
inline constexpr std::size_t max_line_bytes = std::size_t{1} << 20U;

/// A caller opens a session.
struct open_session {
  std::string database;
  std::string key;
};
/// A caller sends a statement.
struct run_statement {
  sql::statement statement;
};
/// A caller sends a `QUERY` line with an id but without a valid statement.
struct malformed_statement {
  std::string id;
};
/// A caller ends its session.
struct close_session {};
/// A line of a caller that can't be decoded and carries no statement id.
struct malformed_message {};

using caller_message =
    std::variant<open_session, run_statement, malformed_statement, close_session, malformed_message>;

/// Decodes one line that a caller sent. A statement with a CR, LF or NUL in its text is invalid, because a
/// target might take what follows for another line.
/// @param line the line without its line terminator.
/// @return the message; `malformed_statement` or `malformed_message` if the line is invalid.
[[nodiscard]] caller_message decode_caller_line(std::string_view line);

/// Appends one row of a response to a caller. `append_ready` ends each response.
void append_row(std::string& out, std::string_view row);
/// Appends the success of a caller's statement.
/// @param signature signature from the target; empty if the proxy itself answers.
void append_complete(std::string& out, std::string_view signature);
/// Appends the failure of a caller's statement.
void append_error(std::string& out, sql::caller_error kind, std::string_view text);
/// Appends the line that ends a response.
/// @param state transaction state of the session.
/// @param point log point that the response reports, if any.
void append_ready(std::string& out, sql::transaction_state state, const std::optional<log_point>& point);

/// Encodes the first line on a connection to a target.
/// @param expected the target that is expected to listen at the address.
/// @return the line with its line terminator.
[[nodiscard]] std::string encode_target_start(const service_id& service, const customer_id& customer,
                                              const target_id& expected);
/// Appends a command to a target as one line.
void append_command(std::string& out, const sql::target_command& command);

/// A target sends one row of a response.
struct target_row {
  std::string data;
};
/// A target reports the success of a command.
struct target_complete {
  std::string signature;
};
/// A target reports the failure of a command.
struct target_failure {
  sql::target_error kind = sql::target_error::other;
  std::string text;  ///< Error code and text as the target sent them.
};
/// A target ends a response.
struct target_ready {
  sql::transaction_state state = sql::transaction_state::none;
  std::optional<log_point> point;
};
/// A line of a target that can't be decoded.
struct malformed_target_message {};

using target_message =
    std::variant<target_row, target_complete, target_failure, target_ready, malformed_target_message>;

/// Decodes one line that a target sent.
/// @param line the line without its line terminator.
[[nodiscard]] target_message decode_target_line(std::string_view line);

/// Decodes the status of a target.
/// @param row row of the response to `command_kind::query_status`.
/// @return the status, or nothing if its term or log point is malformed.
[[nodiscard]] std::optional<sql::target_status> decode_status(std::string_view row);

}  // namespace bulrushlift::platform
