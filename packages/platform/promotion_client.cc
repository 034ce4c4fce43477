#include "platform/promotion_client.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace bulrushlift::platform {
namespace {

constexpr int http_ok = 200;
constexpr int http_success_end = 300;
constexpr int http_conflict = 409;

http_request request_for(const promotion_order& order) {
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
  if (response->status == http_conflict) return make_error(error_kind::conflict, text);
  return make_error(error_kind::platform_unavailable, text);
}

}  // namespace

void promotion_client::order(const promotion_order& order, duration timeout, const callback& done) {
  auto connection = std::make_shared<http_connection>(loop_);
  auto& opened = *connection;
  // Orders are rare, so each has a connection of its own, which lives until its answer.
  opened.open(address_, timeout,
              [this, connection, request = request_for(order), timeout, done](const result<void>& is_open) {
                if (!is_open) return done(tl::unexpected<error>(is_open.error()));
                connection->send(request, timeout, [this, connection, done](const result<http_response>& r) {
                  loop_.post([connection] {});
                  done(outcome_of(r));
                });
              });
}

}  // namespace bulrushlift::platform
