#include "entry/statement_wire.h"

#include <fmt/format.h>
#include <algorithm>

#include <utility>

namespace bulrushlift::entry {
namespace {

// Longer waits count as this one, so that a peer cannot make the time overflow.
constexpr std::int64_t max_wait_ms = 3'600'000;

using std::chrono::milliseconds;

std::int64_t to_signed(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t to_unsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

std::int64_t to_milliseconds(duration span) { return std::chrono::duration_cast<milliseconds>(span).count(); }

peer::log_point_t encode_point(const log_point& point) {
  peer::log_point_t wire;
  wire.term = to_signed(point.term.value());
  wire.position = to_signed(point.position.value());
  return wire;
}

log_point decode_point(const peer::log_point_t& wire) {
  return {term_id{to_unsigned(wire.term)}, log_position{to_unsigned(wire.position)}};
}

peer::session_route_t encode_route(const sql::database_route& route) {
  peer::session_route_t wire;
  wire.service_name = route.service.str();
  wire.level = static_cast<std::int32_t>(route.level);
  wire.max_staleness_ms = to_milliseconds(route.max_staleness);
  wire.statement_timeout_ms = to_milliseconds(route.statement_timeout);
  wire.latency_objective_ms = to_milliseconds(route.latency_objective);
  wire.priority = route.priority;
  return wire;
}

std::optional<sql::database_route> decode_route(const peer::session_route_t& wire) {
  constexpr auto last_level = static_cast<std::int32_t>(sql::consistency::read_your_writes);
  if (wire.level < 0 || wire.level > last_level) return std::nullopt;
  sql::database_route route;
  route.service = service_id{wire.service_name};
  route.level = static_cast<sql::consistency>(wire.level);
  route.max_staleness = milliseconds{wire.max_staleness_ms};
  route.statement_timeout = milliseconds{wire.statement_timeout_ms};
  route.latency_objective = milliseconds{wire.latency_objective_ms};
  route.priority = wire.priority;
  return route;
}

}  // namespace

peer::session_statement_t encode_statement(const sql::statement& value) {
  peer::session_statement_t wire;
  wire.id = value.id;
  wire.kind = static_cast<std::int32_t>(value.kind);
  // An execution of a prepared statement needs only the arguments, not the caller's text.
  if (value.kind != sql::statement_kind::execute) wire.text = value.text;
  if (!value.name.empty()) wire.__set_name(value.name);
  if (!value.argument.empty()) wire.__set_argument(value.argument);
  return wire;
}

result<sql::statement> decode_statement(const peer::session_statement_t& wire) {
  constexpr auto last_kind = static_cast<std::int32_t>(sql::statement_kind::deallocate);
  if (wire.kind < 0 || wire.kind > last_kind) {
    return make_error(error_kind::protocol_error, fmt::format("unknown statement kind {}", wire.kind));
  }
  sql::statement value;
  value.id = wire.id;
  value.kind = static_cast<sql::statement_kind>(wire.kind);
  value.text = wire.text;
  value.name = wire.name;
  value.argument = wire.argument;
  return value;
}

peer::statement_request_t encode_request(const work_item& item, const vm_id& sender, duration remaining) {
  peer::statement_request_t wire;
  wire.sender = sender.str();
  wire.customer = item.customer.str();
  wire.route = encode_route(*item.route);
  wire.statement = encode_statement(item.statement);
  if (item.begin) wire.__set_opening(encode_statement(*item.begin));
  if (item.pinned.is_set()) wire.__set_transaction(to_signed(item.pinned.number));
  for (const auto& [name, value] : item.session->values) {
    peer::session_value_t each;
    each.name = name;
    each.value = value;
    wire.values.push_back(std::move(each));
  }
  if (item.prepared) {
    peer::prepared_statement_t prepared;
    prepared.is_write = item.prepared->is_write;
    prepared.shape = item.prepared->shape;
    wire.__set_prepared(prepared);
  }
  if (item.session->own_commit) wire.__set_own_commit(encode_point(*item.session->own_commit));
  wire.deadline_ms = to_milliseconds(remaining);
  if (item.data_centre) wire.__set_data_centre(item.data_centre->str());
  return wire;
}

result<work_ptr> decode_request(const peer::statement_request_t& wire, time_point now) {
  auto route = decode_route(wire.route);
  if (!route) return make_error(error_kind::protocol_error, "unknown consistency level");
  auto statement = decode_statement(wire.statement);
  if (!statement) return tl::unexpected<error>(statement.error());
  auto item = std::make_shared<work_item>();
  item->statement = std::move(*statement);
  if (wire.__isset.opening) {
    auto begin = decode_statement(wire.opening);
    if (!begin) return tl::unexpected<error>(begin.error());
    item->begin = std::move(*begin);
  }
  item->route = std::make_shared<const sql::database_route>(std::move(*route));
  item->customer = customer_id{wire.customer};
  auto session = std::make_shared<sql::session_state>();
  for (const auto& each : wire.values) session->values.insert_or_assign(each.name, each.value);
  if (wire.__isset.own_commit) session->own_commit = decode_point(wire.own_commit);
  item->session = std::move(session);
  if (wire.__isset.prepared) item->prepared = {wire.prepared.is_write, wire.prepared.shape};
  item->arrived = now;
  item->deadline = now + milliseconds{wire.deadline_ms};
  if (wire.__isset.data_centre) item->data_centre = data_centre_id{wire.data_centre};
  return item;
}

peer::statement_reply_t encode_reply(const work_result& value, std::uint64_t transaction) {
  peer::statement_reply_t wire;
  if (value.error) wire.__set_error(static_cast<std::int32_t>(*value.error));
  if (!value.reason.empty()) wire.__set_reason(value.reason);
  wire.rows = value.reply.rows;
  wire.signature = value.reply.signature;
  if (value.reply.point) wire.__set_point(encode_point(*value.reply.point));
  if (transaction != 0) wire.__set_transaction(to_signed(transaction));
  if (value.other_data_centre) wire.__set_other_data_centre(value.other_data_centre->str());
  if (value.expected_wait) wire.__set_expected_wait_ms(to_milliseconds(*value.expected_wait));
  return wire;
}

work_result decode_reply(const peer::statement_reply_t& wire, const vm_id& owner) {
  work_result value;
  if (wire.__isset.error) {
    constexpr auto last_error = static_cast<std::int32_t>(sql::caller_error::too_large);
    const bool is_known = wire.error >= 0 && wire.error <= last_error;
    value.error = is_known ? static_cast<sql::caller_error>(wire.error) : sql::caller_error::outcome_unknown;
  }
  value.reason = wire.reason;
  value.reply.rows = wire.rows;
  value.reply.signature = wire.signature;
  if (wire.__isset.point) value.reply.point = decode_point(wire.point);
  if (wire.__isset.transaction) {
    value.transaction.owner = owner;
    value.transaction.number = to_unsigned(wire.transaction);
  }
  if (wire.__isset.other_data_centre) value.other_data_centre = data_centre_id{wire.other_data_centre};
  if (wire.__isset.expected_wait_ms && wire.expected_wait_ms >= 0) {
    value.expected_wait = milliseconds{std::min(wire.expected_wait_ms, max_wait_ms)};
  }
  return value;
}

}  // namespace bulrushlift::entry
