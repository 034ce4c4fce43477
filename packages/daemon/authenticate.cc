#include "daemon/authenticate.h"

#include <fmt/format.h>

#include <utility>

namespace bulrushlift {

result<customer_id> authenticate(const shared_state& shared, freshness state, caller_request& request) {
  const auto key = std::exchange(request.key, std::nullopt);
  if (state == freshness::no_document) {
    return make_error(error_kind::no_configuration, "this VM has no configuration yet");
  }
  // Access to the route was checked when the transaction began. The transaction id is authenticated for its
  // customer, so the route is not checked again.
  const bool is_in_transaction = !request.transaction.empty();
  const auto* matched_route = is_in_transaction ? nullptr : shared.configuration.find_route(request.route);
  const bool is_open = matched_route == nullptr ? is_in_transaction : matched_route->open;
  const bool is_key_needed = !is_open || key.has_value();
  if (is_key_needed && !may_serve_keys(state)) {
    return make_error(error_kind::configuration_stale,
                      "this VM can't confirm that the key has not been revoked");
  }
  const auto access = is_open ? route_access::open_to_all : route_access::customers_only;
  const std::optional<std::string_view> text = key ? std::optional<std::string_view>{*key} : std::nullopt;
  auto customer = shared.keys.authenticate(text, access);
  if (!customer || is_in_transaction) return customer;
  if (matched_route == nullptr) {
    return make_error(error_kind::no_route,
                      fmt::format("route \"{}\" does not exist in the configuration", request.route.str()));
  }
  if (!shared.configuration.is_allowed(*matched_route, *customer)) {
    return make_error(error_kind::forbidden,
                      fmt::format("the customer has no access to route \"{}\"", request.route.str()));
  }
  return customer;
}

}  // namespace bulrushlift
