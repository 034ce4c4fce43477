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
#include "sql/session_state.h"

/// @file
/// Connections of this VM to targets. A connection belongs to one customer, because
/// the target is told who connects.

namespace bulrushlift::entry {

enum class connection_use : std::uint8_t {
  opening,
  idle,
  busy,    ///< Runs a batch of a statement outside of a transaction.
  pinned,  ///< Belongs to the transaction of a session.
};
inline constexpr std::size_t connection_use_count = 4;

struct pooled_connection {
  pooled_connection(event_loop& loop, service_id service_name, target_id to, customer_id as)
      : io(loop), service(std::move(service_name)), target(std::move(to)), customer(std::move(as)) {}

  platform::target_connection io;
  service_id service;
  target_id target;
  customer_id customer;
  sql::connection_state state;
  connection_use use = connection_use::opening;
  time_point use_start{};                    ///< Start of the present use.
  std::optional<time_point> batch_deadline;  ///< When the running batch counts as lost.
};

class connection_pool {
 public:
  using connection_ptr = std::shared_ptr<pooled_connection>;
  /// Told when a connection became idle, ended or could not be opened.
  using change_callback = std::function<void(const service_id&)>;

  connection_pool(entry_context& context, change_callback on_change);

  /// @return the idle connection whose session state is nearest to `session`, or null.
  [[nodiscard]] connection_ptr find_idle(const target_id& target, const customer_id& customer,
                                         const sql::session_state& session) const;

  /// @return an idle connection to the target, whoever its customer is, or null.
  [[nodiscard]] connection_ptr find_any_idle(const target_id& target) const;

  /// Starts to open a connection if the limit allows; an idle connection of another
  /// customer is closed for it where that is needed. A connection costs the target a
  /// slot's time, so few are opened at once and none is taken from a customer that has
  /// no more than this one.
  /// @param useful connections outside of transactions that the customer can use at once.
  /// @return false if none is opened.
  bool open(const service_id& service, const target_id& target, const customer_id& customer,
            std::size_t useful = 1);

  /// @return connections to the target that are being opened for the customer.
  [[nodiscard]] std::size_t opening(const target_id& target, const customer_id& customer) const;

  void take(const connection_ptr& connection, connection_use use);
  /// Returns a connection that has no open transaction.
  void release(const connection_ptr& connection);
  /// Closes a connection whose state is not certain.
  void discard(const connection_ptr& connection);

  /// Aborts batches and openings that lasted too long, and closes connections that
  /// have been idle for long or whose target left.
  void on_tick();

  /// @return connections to the target in one use.
  [[nodiscard]] std::size_t count(const target_id& target, connection_use use) const;
  /// @return connections to the target in any use.
  [[nodiscard]] std::size_t count(const target_id& target) const;

 private:
  /// The connections to one target. Statements look for idle connections of one customer
  /// each time a slot becomes free, so these have an index of their own.
  struct target_pool {
    std::list<connection_ptr> all;
    std::map<customer_id, std::vector<connection_ptr>> idle;
    std::array<std::size_t, connection_use_count> counts{};
    time_point open_blocked_until{};  ///< The target was at its limit.
  };

  [[nodiscard]] std::size_t limit_of(const service_id& service) const;
  [[nodiscard]] const target_pool* find(const target_id& target) const;
  /// Changes the use of a connection; all changes go through here.
  void set_use(const connection_ptr& connection, connection_use use);
  void drop_from_idle(target_pool& pool, const connection_ptr& connection);
  bool evict_idle(const target_pool& pool, std::size_t held);
  void on_opened(const connection_ptr& connection, std::optional<sql::target_error> failure);
  void remove(const connection_ptr& connection);
  void close_connections_of_removed_targets();

  entry_context& context_;
  change_callback on_change_;
  std::map<target_id, target_pool> pools_;
};

}  // namespace bulrushlift::entry
