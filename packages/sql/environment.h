#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// The configuration that sessions need: databases with their routes, services,
/// customers with keys and rates. Immutable once shared.

namespace bulrushlift::sql {

/// Which commits a read of a route must have seen.
enum class consistency : std::uint8_t {
  primary,            ///< All acknowledged commits.
  bounded_staleness,  ///< Commits acknowledged longer ago than the route's bound.
  read_your_writes,   ///< As bounded staleness, and all commits of the same session.
};

/// How the sessions of one database are served.
struct database_route {
  route_id id;
  service_id service;
  consistency level = consistency::primary;
  duration max_staleness{};      ///< Unused with `consistency::primary`.
  duration statement_timeout{};  ///< Of one statement.
  duration latency_objective{};  ///< Of a whole operation.
  int priority = 0;              ///< 0 is the most urgent.
  bool is_public = false;        ///< Served without a known key.

  friend bool operator==(const database_route&, const database_route&) = default;
};

struct service_options {
  std::uint32_t connection_limit = 0;      ///< Of each target, over all VMs together.
  std::uint32_t synchronous_replicas = 0;  ///< Replicas that confirm a commit before its answer.

  friend bool operator==(const service_options&, const service_options&) = default;
};

struct customer_options {
  double rate_per_second = 0;  ///< Operations, over all VMs together.
  double burst = 0;

  friend bool operator==(const customer_options&, const customer_options&) = default;
};

/// One version of the configuration.
struct environment {
  generation_id generation;
  std::map<std::string, database_route, std::less<>> databases;  ///< By database name.
  std::map<service_id, service_options> services;
  std::map<customer_id, customer_options> customers;
  std::map<std::string, customer_id, std::less<>> keys;
  duration transaction_idle_limit = std::chrono::seconds{3};
  std::size_t message_bytes = std::size_t{1} << 20U;

  friend bool operator==(const environment&, const environment&) = default;

  /// @return the route of a database, or null.
  [[nodiscard]] const database_route* find_database(std::string_view name) const {
    const auto it = databases.find(name);
    return it == databases.end() ? nullptr : &it->second;
  }

  /// @return the customer that holds the key, or nothing.
  [[nodiscard]] std::optional<customer_id> customer_of_key(std::string_view key) const {
    const auto it = keys.find(key);
    if (it == keys.end()) return std::nullopt;
    return it->second;
  }
};

}  // namespace bulrushlift::sql
