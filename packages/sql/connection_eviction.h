#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// Which idle connection to a target is closed to make room for another customer.
///
/// Load pattern: more customers than connections, with uneven demand. Closing the connection that
/// was unused for the longest time closes those of frequent customers as often as those of rare
/// ones, and each customer takes the connection that another has just paid for. The connections of
/// customers with the lowest demand are closed first, and none that was used within the time that
/// openings cost, unless the statement cannot wait.

namespace bulrushlift::sql {

/// Decaying number of uses of the connections to one target, by customer.
class connection_demand {
 public:
  void on_used(const customer_id& customer, time_point now);

  /// @return uses of the customer's connections, of which each counts half after the half-life.
  [[nodiscard]] double of(const customer_id& customer, time_point now) const;

 private:
  struct decaying_count {
    double value = 0;
    time_point at{};
  };
  /// Forgets the customers without recent uses, now and then.
  void drop_unused(time_point now);

  std::map<customer_id, decaying_count> uses_;
  time_point last_drop_{};
};

/// An idle connection that may be closed.
struct idle_connection {
  customer_id customer;
  time_point last_use{};                 ///< End of its last use, or when it was opened.
  std::size_t customer_connections = 1;  ///< Connections of its customer outside of transactions.
  double demand = 0;                     ///< `connection_demand` of its customer.
};

/// The statement that needs a connection.
struct eviction_request {
  std::size_t held = 0;     ///< Connections that its customer has outside of transactions.
  bool is_urgent = false;   ///< Its route has the most urgent priority.
  duration can_wait{};      ///< Time that it may still wait for a connection.
  duration opening_time{};  ///< Mean time that the target takes to open a connection.
};

/// A customer without a connection may have one of any customer closed; otherwise only customers
/// that have at least two connections more are considered. Customers with several connections lose
/// one first, then those with the lowest demand.
/// @return the index of the connection to close, or nothing.
[[nodiscard]] std::optional<std::size_t> choose_eviction(std::span<const idle_connection> idle,
                                                         const eviction_request& request, time_point now);

}  // namespace bulrushlift::sql
