#include "daemon/answer.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace bulrushlift {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;

std::string json_text(std::string_view text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

void add_session(http_response& response, std::string_view session) {
  if (!session.empty()) response.headers.add("Bulrushlift-Session", std::string{session});
}

/// The advice of the error table assumes the outcome of that table. If the stated outcome is unknown, the
/// request may have run, so the caller must resolve it before a retry.
retry_advice retry_of(const error& failure) {
  const bool is_unknown = failure.stated_outcome == outcome::unknown;
  return is_unknown ? retry_advice::resolve : traits_of(failure.kind).retry;
}

}  // namespace

http_response format_reply(const request_id& id, const service_reply& reply, std::string_view session) {
  // The result is copied as JSON text: parsing it again would double the cost of the answer.
  std::string body =
      fmt::format(R"({{"request_id":{},"outcome":"{}")", json_text(id.str()), name_of(reply.final_outcome));
  if (!reply.result.empty()) body += R"(,"result":)" + reply.result;
  if (!reply.transaction.empty()) body += R"(,"transaction":)" + json_text(reply.transaction);
  if (!reply.target.empty()) body += R"(,"target":)" + json_text(reply.target.str());
  if (reply.point) {
    body +=
        fmt::format(R"(,"term":{},"position":{})", reply.point->term.value(), reply.point->position.value());
  }
  body += '}';
  auto response = json_response(status_ok, std::move(body));
  add_session(response, session);
  return response;
}

http_response format_error(const request_id& id, const error& failure, std::string_view session) {
  const auto& traits = traits_of(failure.kind);
  json body{{"kind", traits.name},
            {"message", failure.message},
            {"outcome", name_of(failure.request_outcome())},
            {"retry", name_of(retry_of(failure))}};
  if (failure.retry_after) body["retry_after_ms"] = failure.retry_after->count();
  const json whole{{"request_id", id.str()}, {"error", std::move(body)}};
  auto response =
      json_response(traits.http_status, whole.dump(-1, ' ', false, json::error_handler_t::replace));
  add_session(response, session);
  return response;
}

}  // namespace bulrushlift
