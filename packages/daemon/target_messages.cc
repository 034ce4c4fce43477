#include "daemon/target_messages.h"

#include <fmt/format.h>

#include <charconv>

namespace bulrushlift {
namespace {

using nlohmann::json;

constexpr int first_error_status = 400;

std::uint64_t read_number(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string read_text(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

std::optional<std::uint64_t> read_id(const json& body) {
  const auto text = read_text(body, "id");
  std::uint64_t id = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id);
  if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return id;
}

std::string path_of(operation op) { return fmt::format("/v1/{}", name_of(op)); }

/// Maps an error kind of a target to the kind for the caller. Kinds not listed here keep their name; unknown
/// ones become `protocol_error`.
error_kind kind_of(std::string_view target_kind) {
  if (target_kind == "not_primary") return error_kind::wrong_term;
  if (target_kind == "behind") return error_kind::position_unavailable;
  if (target_kind == "busy" || target_kind == "too_many_connections") return error_kind::overloaded;
  if (target_kind == "unknown_transaction") return error_kind::transaction_lost;
  return error_kind_from_name(target_kind).value_or(error_kind::protocol_error);
}

}  // namespace

http_request make_target_request(target_message message, std::uint64_t id) {
  message.body["id"] = std::to_string(id);
  http_request request;
  request.method = "POST";
  request.target = std::move(message.path);
  request.headers.add("Content-Type", "application/json");
  request.body = message.body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

result<target_answer> read_target_answer(const http_response& response) {
  target_answer answer;
  answer.body = json::parse(response.body, nullptr, false);
  if (!answer.body.is_object())
    return make_error(error_kind::protocol_error, "the answer of the target is not a JSON object");
  answer.id = read_id(answer.body);
  answer.term = term_id{read_number(answer.body, "term")};
  if (const auto point = answer.body.find("point"); point != answer.body.end())
    answer.point = read_point(*point);
  if (const auto value = answer.body.find("result"); value != answer.body.end()) {
    answer.result = value->dump(-1, ' ', false, json::error_handler_t::replace);
  }
  answer.outcome = read_text(answer.body, "outcome");
  if (response.status < first_error_status) return answer;
  const auto failure = answer.body.find("error");
  if (failure == answer.body.end() || !failure->is_object()) {
    return make_error(
        error_kind::protocol_error,
        fmt::format("the target answered HTTP status {} without an error object", response.status));
  }
  answer.error_kind = read_text(*failure, "kind");
  answer.error_message = read_text(*failure, "message");
  if (answer.error_kind.empty()) {
    return make_error(
        error_kind::protocol_error,
        fmt::format("the target answered HTTP status {} without an error kind", response.status));
  }
  return answer;
}

target_message make_message(const service_request& request, std::optional<term_id> term,
                            const std::string& transaction, std::chrono::milliseconds time_left) {
  target_message message;
  message.path = path_of(request.op);
  auto& body = message.body;
  body["customer"] = request.customer.str();
  if (term) body["term"] = term->value();
  if (!transaction.empty()) body["transaction"] = transaction;
  if (!request.idempotency_key.empty()) body["idempotency_key"] = request.idempotency_key;
  if (request.op != operation::execute) return message;
  body["kind"] = request.is_read ? "read" : "write";
  body["statement"] = request.statement;
  body["deadline_ms"] = time_left.count();
  if (request.required_point) {
    body["min_point"] = {{"term", request.required_point->term.value()},
                         {"position", request.required_point->position.value()}};
  }
  return message;
}

error error_of(const target_answer& answer) {
  return {kind_of(answer.error_kind), fmt::format("{}: {}", answer.error_kind, answer.error_message),
          std::nullopt, outcome::not_run};
}

std::optional<log_point> read_point(const json& value) {
  if (!value.is_object()) return std::nullopt;
  const auto term = value.find("term");
  const auto position = value.find("position");
  if (term == value.end() || position == value.end()) return std::nullopt;
  if (!term->is_number_unsigned() || !position->is_number_unsigned()) return std::nullopt;
  return log_point{term_id{term->get<std::uint64_t>()}, log_position{position->get<std::uint64_t>()}};
}

}  // namespace bulrushlift
