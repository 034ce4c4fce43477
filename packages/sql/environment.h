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
/// The configuration that sessions use: routes by database name, services, and
/// customers with their keys and rates. Immutable once it is shared.

namespace bulrushlift::sql {

/// Which commits a read must see.
enum class consistency : std::uint8_t {
  primary,            ///< All acknowledged commits; the primary serves the read.
  bounded_staleness,  ///< All commits that were acknowledged longer ago than the route's `max_staleness`.
  read_your_writes,   ///< As `bounded_staleness`, plus all commits of the same session.
};

using region_id = name_id<struct region_tag>;
using region_set = std::set<region_id>;

/// How the proxy serves the sessions of one database.
struct database_route {
  route_id id;
  service_id service;
  consistency level = consistency::primary;
  duration max_staleness{};      ///< Unused with `consistency::primary`.
  duration statement_timeout{};  ///< Time limit of one statement.
  duration latency_objective{};  ///< Latency objective of a whole operation.
  int priority = 0;              ///< 0 is the most urgent.
  bool is_public = false;        ///< Sessions without a known key are served too.
  region_set home_regions{};     ///< Regions where statements may run; empty for anywhere.

  friend bool operator==(const database_route&, const database_route&) = default;
};

/// Limits of one service.
struct service_options {
  std::uint32_t connection_limit = 0;      ///< Connections that each target accepts from all VMs together.
  std::uint32_t synchronous_replicas = 0;  ///< Replicas that must confirm a commit before it is acknowledged.

  friend bool operator==(const service_options&, const service_options&) = default;
};

/// Rate limit and home regions of one customer.
struct customer_options {
  double rate_per_second = 0;  ///< Operations per second over all VMs together.
  double burst = 0;            ///< Operations that may be sent at once.
  region_set home_regions{};   ///< Regions where its statements may run; empty for anywhere.

  friend bool operator==(const customer_options&, const customer_options&) = default;
};

/// One version of the configuration.
struct environment {
  generation_id generation;
  std::map<std::string, database_route, std::less<>> databases;  ///< By database name.
  std::map<service_id, service_options> services;
  std::map<customer_id, customer_options> customers;
  std::map<std::string, customer_id, std::less<>> keys;  ///< Customer by access key.
  duration transaction_idle_limit = std::chrono::seconds{3};
  std::size_t message_bytes = std::size_t{1} << 20U;

  friend bool operator==(const environment&, const environment&) = default;

  /// @return the route of the database `name`, or null if there is none.
  [[nodiscard]] const database_route* find_database(std::string_view name) const {
    const auto it = databases.find(name);
    return it == databases.end() ? nullptr : &it->second;
  }

  /// @return the customer to which the key belongs, or nothing for an unknown key.
  [[nodiscard]] std::optional<customer_id> customer_of_key(std::string_view key) const {
    const auto it = keys.find(key);
    if (it == keys.end()) return std::nullopt;
    return it->second;
  }
};

}  // namespace bulrushlift::sql
