#include "platform/line_protocol.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <iterator>
#include <utility>

namespace bulrushlift::platform {
namespace {

using sql::command_kind;
using sql::statement_kind;
using sql::target_error;
using sql::transaction_state;

/// Removes the first space-separated field from `rest`.
/// @return the field.
std::string_view take_field(std::string_view& rest) {
  const auto end = rest.find(' ');
  const auto field = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return field;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return value;
}

std::optional<log_point> parse_point(std::string_view text) {
  const auto dot = text.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const auto term = parse_number(text.substr(0, dot));
  const auto position = parse_number(text.substr(dot + 1));
  if (!term || !position) return std::nullopt;
  return log_point{term_id{*term}, log_position{*position}};
}

std::string encode_point(const log_point& point) {
  return fmt::format("{}.{}", point.term.value(), point.position.value());
}

std::optional<bool> parse_is_write(std::string_view keyword) {
  if (keyword == "READ") return false;
  if (keyword == "WRITE") return true;
  return std::nullopt;
}

/// @return whether a text holds a character that can end a line or a text for a target or a caller.
bool has_terminator(std::string_view text) {
  constexpr std::string_view terminators{"\r\n\0", 3};
  return text.find_first_of(terminators) != std::string_view::npos;
}

/// Decodes `text` into `out`, whose id the caller of the function sets.
/// @return false if `text` is not a valid statement.
bool decode_statement(std::string_view text, sql::statement& out) {
  auto rest = text;
  const auto verb = take_field(rest);
  out.text = std::string{text};
  if (verb == "READ" || verb == "WRITE") {
    out.kind = verb == "READ" ? statement_kind::read : statement_kind::write;
    return !rest.empty();
  }
  if (verb == "BEGIN") {
    out.kind = rest.empty() ? statement_kind::begin : statement_kind::begin_read_only;
    return rest.empty() || rest == "READ";
  }
  if (verb == "COMMIT" || verb == "ROLLBACK") {
    out.kind = verb == "COMMIT" ? statement_kind::commit : statement_kind::rollback;
    return rest.empty();
  }
  out.name = std::string{take_field(rest)};
  if (out.name.empty()) return false;
  if (verb == "EXECUTE") {
    out.kind = statement_kind::execute;
    out.argument = std::string{rest};
    return !rest.empty();
  }
  if (verb == "SET") {
    out.kind = statement_kind::set_value;
    out.argument = std::string{rest};
    return true;
  }
  if (verb == "PREPARE") {
    out.kind = statement_kind::prepare;
    const auto is_write = parse_is_write(take_field(rest));
    if (!is_write || rest.empty()) return false;
    out.definition = {*is_write, std::string{rest}};
    return true;
  }
  out.kind = statement_kind::deallocate;
  return verb == "DEALLOCATE" && rest.empty();
}

std::string_view error_code_of(sql::caller_error kind) {
  switch (kind) {
    case sql::caller_error::busy:
      return "BUSY";
    case sql::caller_error::aborted:
      return "ABORTED";
    case sql::caller_error::outcome_unknown:
      return "INDOUBT";
    case sql::caller_error::timed_out:
      return "TIMEOUT";
    case sql::caller_error::failed:
      return "FAILED";
    case sql::caller_error::access_denied:
      return "DENIED";
    case sql::caller_error::no_database:
      return "NODATABASE";
    case sql::caller_error::undefined_name:
      return "UNDEFINED";
    case sql::caller_error::malformed:
      return "MALFORMED";
    case sql::caller_error::too_large:
      break;
  }
  return "TOOLARGE";
}

target_error target_error_from_code(std::string_view code) {
  static constexpr std::array<std::pair<std::string_view, target_error>, 11> errors_by_code{{
      {"BUSY", target_error::busy},
      {"UNDEFINED", target_error::undefined_name},
      {"LAGGING", target_error::behind},
      {"READONLY", target_error::read_only},
      {"MISROUTED", target_error::wrong_target},
      {"TOOMANY", target_error::too_many_connections},
      {"MALFORMED", target_error::malformed},
      {"TOOLARGE", target_error::malformed},
      {"FAILED", target_error::failed},
      {"TIMEOUT", target_error::timed_out},
      {"DENIED", target_error::wrong_target},
  }};
  for (const auto& [name, kind] : errors_by_code) {
    if (name == code) return kind;
  }
  return target_error::other;
}

std::optional<transaction_state> transaction_state_from(std::string_view keyword) {
  if (keyword == "I") return transaction_state::none;
  if (keyword == "T") return transaction_state::open;
  if (keyword == "E") return transaction_state::failed;
  return std::nullopt;
}

char state_letter(transaction_state state) {
  switch (state) {
    case transaction_state::open:
      return 'T';
    case transaction_state::failed:
      return 'E';
    case transaction_state::none:
      break;
  }
  return 'I';
}

template <class... Args>
void append_line(std::string& out, fmt::format_string<Args...> format, Args&&... args) {
  fmt::format_to(std::back_inserter(out), format, std::forward<Args>(args)...);
  out += "\r\n";
}

}  // namespace

caller_message decode_caller_line(std::string_view line) {
  auto rest = line;
  const auto verb = take_field(rest);
  if (verb == "QUERY") {
    run_statement message;
    message.statement.id = std::string{take_field(rest)};
    if (message.statement.id.empty() || has_terminator(message.statement.id)) return malformed_message{};
    // "-" is the id of commands that the proxy itself issues, so callers may not use it.
    const bool is_valid =
        message.statement.id != "-" && !has_terminator(rest) && decode_statement(rest, message.statement);
    if (!is_valid) return malformed_statement{std::move(message.statement.id)};
    return message;
  }
  if (verb == "START") {
    open_session message;
    message.database = std::string{take_field(rest)};
    message.key = std::string{rest};
    if (message.database.empty()) return malformed_message{};
    return message;
  }
  if (verb == "CLOSE") return close_session{};
  return malformed_message{};
}

void append_row(std::string& out, std::string_view row) { append_line(out, "ROW {}", row); }

void append_complete(std::string& out, std::string_view signature) {
  append_line(out, "COMPLETE {}", signature.empty() ? std::string_view{"-"} : signature);
}

void append_error(std::string& out, sql::caller_error kind, std::string_view text) {
  append_line(out, "ERROR {} {}", error_code_of(kind), text);
}

void append_ready(std::string& out, transaction_state state, const std::optional<log_point>& point) {
  append_line(out, "READY {} {}", state_letter(state), point ? encode_point(*point) : std::string{"-"});
}

std::string encode_target_start(const service_id& service, const customer_id& customer,
                                const target_id& expected) {
  return fmt::format("START {} {} {}\r\n", service.str(), customer.str(), expected.str());
}

void append_command(std::string& out, const sql::target_command& command) {
  const auto after = command.after ? fmt::format("AFTER {} ", encode_point(*command.after)) : std::string{};
  switch (command.kind) {
    case command_kind::forward:
      append_line(out, "QUERY {} {}{}", command.id, after, command.text);
      return;
    case command_kind::execute:
      append_line(out, "QUERY {} {}EXECUTE {} {}", command.id, after, command.name, command.text);
      return;
    case command_kind::begin:
      append_line(out, "QUERY - BEGIN");
      return;
    case command_kind::rollback:
      append_line(out, "QUERY - ROLLBACK");
      return;
    case command_kind::reset:
      append_line(out, "QUERY - RESET");
      return;
    case command_kind::set_value:
      append_line(out, "QUERY - SET {} {}", command.name, command.value);
      return;
    case command_kind::prepare:
      append_line(out, "QUERY - PREPARE {} {} {}", command.name,
                  command.definition.is_write ? "WRITE" : "READ", command.definition.shape);
      return;
    case command_kind::query_status:
      append_line(out, "QUERY - STATUS");
      return;
    case command_kind::pause_replication:
      append_line(out, "QUERY - PAUSE {}", command.term.value());
      return;
    case command_kind::resume_replication:
      append_line(out, "QUERY - RESUME");
      return;
  }
}

target_message decode_target_line(std::string_view line) {
  auto rest = line;
  const auto verb = take_field(rest);
  if (verb == "ROW") return target_row{std::string{rest}};
  if (verb == "COMPLETE") return target_complete{std::string{rest}};
  if (verb == "ERROR") {
    const auto code = take_field(rest);
    return target_failure{target_error_from_code(code), fmt::format("{} {}", code, rest)};
  }
  if (verb == "READY") {
    const auto state = transaction_state_from(take_field(rest));
    if (!state) return malformed_target_message{};
    return target_ready{*state, parse_point(rest)};
  }
  return malformed_target_message{};
}

std::optional<sql::target_status> decode_status(std::string_view row) {
  auto rest = row;
  const auto role = take_field(rest);
  const auto term = parse_number(take_field(rest));
  const auto received = parse_point(take_field(rest));
  if (!term || !received) return std::nullopt;
  const auto fence_term = parse_number(take_field(rest)).value_or(0);
  return sql::target_status{role == "primary", term_id{*term}, *received, term_id{fence_term}};
}

}  // namespace bulrushlift::platform
