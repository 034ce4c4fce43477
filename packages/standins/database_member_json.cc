#include "standins/database_member_json.h"

#include <chrono>

namespace bulrushlift::standin {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// @return the value of an optional text field, or an empty string if it is absent.
std::string text_or_empty(const json& body, const char* name) { return body.value(name, std::string{}); }

term_id read_term(const json& body) { return term_id{body.at("term").get<std::uint64_t>()}; }

log_entry read_entry(const json& value) {
  log_entry entry;
  entry.point = read_point(value.at("point"));
  entry.kind = entry_kind_from_name(value.at("kind").get<std::string>()).value_or(entry_kind::barrier);
  entry.request = value.at("request").get<std::string>();
  entry.customer = customer_id{value.at("customer").get<std::string>()};
  entry.idempotency_key = value.at("idempotency_key").get<std::string>();
  entry.statements = value.at("statements").get<std::vector<std::string>>();
  entry.changes = value.at("changes").get<key_values>();
  entry.rows = value.at("rows").get<statement_rows>();
  return entry;
}

}  // namespace

json to_json(const log_point& point) {
  return {{"term", point.term.value()}, {"position", point.position.value()}};
}

json to_json(const member_status& status) {
  return {{"service", status.service.str()},
          {"target", status.target.str()},
          {"role", status.role == member_role::primary ? "primary" : "replica"},
          {"term", status.term.value()},
          {"point", to_json(status.point)},
          {"primary", status.primary.str()},
          {"primary_contact_ms", duration_cast<milliseconds>(status.primary_contact).count()},
          {"slots", status.slots},
          {"slots_used", status.slots_used}};
}

json to_json(const statement_rows& rows) {
  auto value = json::object();
  for (const auto& [key, text] : rows) value[key] = text;
  return value;
}

json to_json(const log_entry& entry) {
  return {{"point", to_json(entry.point)},
          {"kind", name_of(entry.kind)},
          {"request", entry.request},
          {"customer", entry.customer.str()},
          {"idempotency_key", entry.idempotency_key},
          {"statements", entry.statements},
          {"changes", entry.changes},
          {"rows", entry.rows}};
}

json to_json(const pull_request& request) {
  auto boundaries = json::array();
  for (const auto& point : request.boundaries) boundaries.push_back(to_json(point));
  return {{"replica", request.replica.str()},
          {"term", request.term.value()},
          {"primary", request.primary.str()},
          {"boundaries", boundaries},
          {"minimum_age_ns", duration_cast<nanoseconds>(request.minimum_age).count()}};
}

json to_json(const pull_answer& answer) {
  auto entries = json::array();
  for (const auto& entry : answer.entries) entries.push_back(to_json(entry));
  return {{"term", answer.term.value()}, {"primary", answer.primary.str()}, {"entries", entries}};
}

json to_json(const member_error& failure, const std::string& id) {
  json body{{"id", id},
            {"error", {{"kind", traits_of(failure.kind).name}, {"message", failure.message}}},
            {"term", failure.term.value()}};
  if (failure.point != log_point{}) body["point"] = to_json(failure.point);
  return body;
}

log_point read_point(const json& value) {
  return {read_term(value), log_position{value.at("position").get<std::uint64_t>()}};
}

execute_request read_execute(const json& body) {
  execute_request request;
  request.id = body.at("id").get<std::string>();
  request.customer = customer_id{body.at("customer").get<std::string>()};
  request.is_write = body.at("kind").get<std::string>() == "write";
  request.text = body.at("statement").get<std::string>();
  if (body.contains("term")) request.term = read_term(body);
  request.idempotency_key = text_or_empty(body, "idempotency_key");
  request.transaction = text_or_empty(body, "transaction");
  if (body.contains("min_point")) request.min_point = read_point(body.at("min_point"));
  return request;
}

transaction_request read_transaction(const json& body) {
  return {body.at("id").get<std::string>(), customer_id{body.at("customer").get<std::string>()},
          read_term(body), body.at("transaction").get<std::string>()};
}

resolve_request read_resolve(const json& body) {
  return {body.at("id").get<std::string>(), customer_id{body.at("customer").get<std::string>()},
          read_term(body), body.at("idempotency_key").get<std::string>()};
}

pull_request read_pull(const json& body) {
  pull_request request;
  request.replica = target_id{body.at("replica").get<std::string>()};
  request.term = read_term(body);
  request.primary = target_id{body.at("primary").get<std::string>()};
  for (const auto& point : body.at("boundaries")) request.boundaries.push_back(read_point(point));
  request.minimum_age = nanoseconds{body.at("minimum_age_ns").get<std::int64_t>()};
  return request;
}

pull_answer read_pull_answer(const json& body) {
  pull_answer answer{read_term(body), target_id{body.at("primary").get<std::string>()}, {}};
  for (const auto& entry : body.at("entries")) answer.entries.push_back(read_entry(entry));
  return answer;
}

}  // namespace bulrushlift::standin
