#include "daemon/relay_messages.h"

#include <fmt/format.h>

#include "net/peer_link.h"

namespace bulrushlift {
namespace {

peer::log_point_t point_to_wire(const log_point& point) {
  peer::log_point_t wire;
  wire.term = static_cast<std::int64_t>(point.term.value());
  wire.position = static_cast<std::int64_t>(point.position.value());
  return wire;
}

log_point point_from_wire(const peer::log_point_t& wire) {
  return {term_id{static_cast<std::uint64_t>(wire.term)},
          log_position{static_cast<std::uint64_t>(wire.position)}};
}

}  // namespace

peer::relay_request_t to_wire(const service_request& request, std::chrono::milliseconds time_left) {
  peer::relay_request_t wire;
  wire.request_id = request.id.str();
  wire.customer = request.customer.str();
  wire.route = request.route.str();
  wire.operation = std::string{name_of(request.op)};
  if (request.op == operation::execute) {
    wire.__set_kind(request.is_read ? "read" : "write");
    wire.__set_statement(request.statement);
    wire.__set_idempotent(request.is_idempotent);
  }
  if (request.max_age) wire.__set_max_age_ms(request.max_age->count());
  if (!request.idempotency_key.empty()) wire.__set_idempotency_key(request.idempotency_key);
  if (!request.transaction.empty()) wire.__set_transaction(request.transaction);
  if (request.required_point) wire.__set_required_point(point_to_wire(*request.required_point));
  wire.deadline_ms = time_left.count();
  wire.generation = static_cast<std::int64_t>(request.generation.value());
  return wire;
}

result<service_request> from_wire(const peer::relay_request_t& wire, time_point now) {
  const auto op = operation_from_name(wire.operation);
  if (!op) {
    return make_error(error_kind::protocol_error, fmt::format("unknown operation \"{}\"", wire.operation));
  }
  service_request request;
  request.id = request_id{wire.request_id};
  request.op = *op;
  request.customer = customer_id{wire.customer};
  request.route = route_id{wire.route};
  request.is_read = wire.kind == "read";
  request.statement = wire.statement;
  if (wire.__isset.max_age_ms) request.max_age = std::chrono::milliseconds{wire.max_age_ms};
  request.is_idempotent = wire.__isset.idempotent && wire.idempotent;
  request.idempotency_key = wire.idempotency_key;
  request.transaction = wire.transaction;
  if (wire.__isset.required_point) request.required_point = point_from_wire(wire.required_point);
  request.generation = generation_id{static_cast<std::uint64_t>(wire.generation)};
  request.deadline = now + std::chrono::milliseconds{wire.deadline_ms};
  return request;
}

peer::relay_reply_t to_wire(const result<service_reply>& reply) {
  peer::relay_reply_t wire;
  if (!reply) {
    wire.__set_error(to_wire(reply.error()));
    return wire;
  }
  if (!reply->result.empty()) wire.__set_result(reply->result);
  if (reply->point) wire.__set_point(point_to_wire(*reply->point));
  if (!reply->target.empty()) wire.__set_target(reply->target.str());
  if (!reply->transaction.empty()) wire.__set_transaction(reply->transaction);
  wire.__set_outcome(std::string{name_of(reply->final_outcome)});
  return wire;
}

result<service_reply> from_wire(const peer::relay_reply_t& wire) {
  if (wire.__isset.error) return tl::unexpected<error>(from_wire(wire.error));
  service_reply reply;
  reply.result = wire.result;
  if (wire.__isset.point) reply.point = point_from_wire(wire.point);
  reply.target = target_id{wire.target};
  reply.transaction = wire.transaction;
  reply.final_outcome = outcome_from_name(wire.outcome).value_or(outcome::unknown);
  return reply;
}

}  // namespace bulrushlift
