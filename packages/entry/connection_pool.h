#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "entry/entry_context.h"
#include "platform/target_connection.h"
#include "sql/connection_eviction.h"
#include "sql/connection_quota.h"
#include "sql/session_state.h"

/// @file
/// Pool of this VM's connections to targets. Each connection belongs to one customer, because the
/// customer's name is sent to the target when the connection is opened.

namespace bulrushlift::entry {

enum class connection_use : std::uint8_t {
  opening,
  idle,
  busy,    ///< Runs a batch outside of a session's transaction.
  pinned,  ///< Reserved for the transaction of a session.
};
inline constexpr std::size_t connection_use_count = 4;

/// A connection of the pool.
struct pooled_connection {
  pooled_connection(event_loop& loop, service_id service_name, target_id to, customer_id as)
      : pooled_connection(loop, nullptr, std::move(service_name), std::move(to), std::move(as)) {}
  pooled_connection(event_loop& loop, resource_budget* budget, service_id service_name, target_id to,
                    customer_id as)
      : io(loop, budget, as),
        service(std::move(service_name)),
        target(std::move(to)),
        customer(std::move(as)) {}

  platform::target_connection io;
  service_id service;
  target_id target;
  customer_id customer;
  sql::connection_state state;
  connection_use use = connection_use::opening;
  bool is_ending = false;                    ///< No further statement may be sent on it.
  time_point use_start{};                    ///< Start of the current use.
  std::optional<time_point> batch_deadline;  ///< When the running batch or opening is aborted.
};

/// The statement for which a connection is opened.
struct connection_request {
  std::size_t max_useful = 1;  ///< Connections outside of transactions that the customer can use at once.
  bool is_urgent = false;      ///< Its route has the most urgent priority.
  duration can_wait{};  ///< Time that it may still wait; zero if it cannot, and nothing is protected then.
};

class connection_pool {
 public:
  using connection_ptr = std::shared_ptr<pooled_connection>;
  /// Called when a connection to a target of the service became idle, was closed or could not be
  /// opened.
  using change_callback = std::function<void(const service_id&)>;

  connection_pool(entry_context& context, change_callback on_change);

  /// @return the customer's idle connection to the target that needs the fewest setup commands for
  ///   `session`, or null.
  [[nodiscard]] connection_ptr find_idle(const target_id& target, const customer_id& customer,
                                         const sql::session_state& session) const;

  /// @return an idle connection to the target, of any customer, or null.
  [[nodiscard]] connection_ptr find_any_idle(const target_id& target) const;

  /// Starts to open a connection if this VM's quota (`sql::connection_quota`) allows it. At the
  /// quota, closes an idle connection to make room (`sql::choose_eviction`). Opening occupies a
  /// slot of the target, so few connections are opened at a time.
  /// @return whether a connection is being opened.
  bool open(const service_id& service, const target_id& target, const customer_id& customer,
            const connection_request& request = {});

  /// @return whether the customer may begin another transaction on the target.
  [[nodiscard]] bool may_begin_transaction(const target_id& target, const customer_id& customer) const;

  /// @return the number of connections to the target that are being opened for the customer.
  [[nodiscard]] std::size_t opening(const target_id& target, const customer_id& customer) const;

  /// Marks an idle connection as used.
  void take(const connection_ptr& connection, connection_use use);
  /// Returns a connection without an open transaction to the pool.
  void release(const connection_ptr& connection);
  /// Closes a connection, for example because its session state is unknown.
  void discard(const connection_ptr& connection);

  /// Closes the connections to a target on which no statement runs, also those that are being opened, because
  /// nothing may be sent to it any more. Call periodically.
  /// @param ends_transactions whether those of open transactions are closed too, which rolls them back. One
  ///   on which a statement runs is closed after it.
  void close_unused(const target_id& target, bool ends_transactions);

  /// Aborts batches and openings that are past their deadline, and closes idle connections that
  /// were not used for a long time, exceed the connection limit, or lead to a removed target.
  void on_tick();

  /// @return the number of connections to the target in the given use.
  [[nodiscard]] std::size_t count(const target_id& target, connection_use use) const;
  /// @return the number of connections to the target in any use.
  [[nodiscard]] std::size_t count(const target_id& target) const;

 private:
  /// The connections to one target. Idle connections are also indexed by customer, because they
  /// are looked up each time that a slot becomes free.
  struct target_pool {
    service_id service;
    std::list<connection_ptr> all;
    std::map<customer_id, std::vector<connection_ptr>> idle;
    std::array<std::size_t, connection_use_count> counts{};
    time_point open_blocked_until{};  ///< Set while the target refuses connections.
    sql::connection_quota quota;
    sql::connection_demand demand;
    duration opening_time{};  ///< Decaying mean of the time in which a connection is opened.
  };

  /// @return what the configuration says about the connections to a target of the service.
  [[nodiscard]] sql::quota_terms quota_terms(const service_id& service) const;
  /// @return what this VM does for the target; that of no role if the target is not listed.
  [[nodiscard]] sql::service_role role_for_target(const service_id& service, const target_id& target) const;
  [[nodiscard]] const target_pool* find(const target_id& target) const;
  /// Changes the use of a connection and updates the counts and the index of idle connections.
  void set_use(const connection_ptr& connection, connection_use use);
  void drop_from_idle(target_pool& pool, const connection_ptr& connection);
  /// Closes an idle connection for the request, if one may be closed.
  /// @param held connections that the customer has outside of transactions.
  bool evict_idle(const target_pool& pool, std::size_t held, const connection_request& request);
  void on_accepted(const connection_ptr& connection);
  void on_refused(const connection_ptr& connection, sql::target_error reason);
  void on_opened(const connection_ptr& connection, std::optional<sql::target_error> failure);
  void remove(const connection_ptr& connection);
  void close_connections_of_removed_targets();

  entry_context& context_;
  change_callback on_change_;
  std::map<target_id, target_pool> pools_;
};

}  // namespace bulrushlift::entry
