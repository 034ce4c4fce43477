#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// @file
/// JSON documents that operators, targets and deployments write for the proxies on the operators'
/// platform, with the platform's field names. They follow its pages and are independent of the product.

namespace bulrushlift {

/// Data that a target publishes about itself.
struct target_description {
  std::string service;
  std::string address;
  std::string data_centre;
  std::string state = "ready";  ///< Or "draining".
  bool is_primary = false;
  std::uint64_t sequence = 1;           ///< Rises with each report of the target.
  std::uint64_t cold_remaining_ms = 0;  ///< How much longer it stays slow after its start; 0 leaves it out.
};
[[nodiscard]] nlohmann::json target_document(const target_description& target);

struct customer_description {
  std::string name;
  std::vector<std::string> keys;
};

/// A configuration with one service and three databases: "orders" reads at the primary, "stock" allows
/// reads that are up to `route_staleness_ms` old, and "book" also guarantees that a session reads its own
/// writes.
/// @param synchronous_replicas replicas that must have received a commit before it is acknowledged.
[[nodiscard]] nlohmann::json configuration_document(std::uint64_t version, const std::string& service,
                                                    const std::vector<customer_description>& customers,
                                                    int synchronous_replicas = 0);
inline constexpr int route_staleness_ms = 2'000;

/// Settings of one proxy. Addresses are "IP:port".
struct proxy_description {
  std::string vm;
  std::string data_centre;
  std::string callers;
  std::string readiness;
  std::string peers;
  std::string metrics;
  std::string store;
  std::string promotions;
};
[[nodiscard]] nlohmann::json proxy_settings_document(const proxy_description& proxy);

}  // namespace bulrushlift
