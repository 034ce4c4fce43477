#include "platform/promotion_client.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace bulrushlift::platform {
namespace {

constexpr int http_ok = 200;
constexpr int http_success_end = 300;
constexpr int http_conflict = 409;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;

http_request encode_request(const promotion_order& order) {
  http_request request;
  request.method = "POST";
  request.target = "/promotion";
  request.headers.add("Content-Type", "application/json");
  request.headers.add("X-Duty-Holder", order.ordered_by.str());
  request.headers.add("X-Fencing-Token", fmt::format("{}", order.token));
  request.body = nlohmann::json{{"service", order.service.str()}, {"identifier", order.target.str()}}.dump();
  return request;
}

result<void> outcome_of(const result<http_response>& response) {
  if (!response) return tl::unexpected<error>(response.error());
  if (response->status >= http_ok && response->status < http_success_end) return {};
  const auto text = fmt::format("the platform answered {} to a promotion", response->status);
  const auto failure = [&text](error_kind kind, outcome run) {
    return tl::unexpected<error>(error{kind, text, std::nullopt, run});
  };
  switch (response->status) {
    case http_conflict:
      return failure(error_kind::conflict, outcome::not_run);
    case http_too_many_requests:
    case http_unavailable:
      return failure(error_kind::platform_unavailable, outcome::not_run);
    default:
      return failure(error_kind::platform_unavailable, outcome::unknown);
  }
}

}  // namespace

void promotion_client::order(const promotion_order& order, duration timeout, const callback& done) {
  auto connection = std::make_shared<http_connection>(loop_);
  auto& opened = *connection;
  // Promotions are rare, so each order opens its own connection and keeps it until the response.
  opened.open(
      address_, timeout,
      [this, connection, request = encode_request(order), timeout, done](const result<void>& connected) {
        if (!connected) {
          auto reason = connected.error();
          reason.stated_outcome = outcome::not_run;
          return done(tl::unexpected<error>(std::move(reason)));
        }
        connection->send(request, timeout, [this, connection, done](const result<http_response>& r) {
          loop_.post([connection] {});
          done(outcome_of(r));
        });
      });
}

}  // namespace bulrushlift::platform
