#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "base/error.h"
#include "daemon/context.h"
#include "daemon/target_messages.h"
#include "database/pool_controller.h"
#include "net/address.h"
#include "net/http_client.h"

/// @file
/// The connection pool of one target: carries out the decisions of its pool controller.

namespace bulrushlift {

/// Receives the events of the connections to one target.
class target_observer {
 public:
  virtual ~target_observer() = default;
  /// The request with this ticket ended: with an answer, at its deadline, or because its connection failed.
  virtual void on_request_end(ticket_id ticket, const result<target_answer>& answer) = 0;
  /// A connection was lost that was bound to an open transaction and had no request in flight.
  virtual void on_binding_lost(const target_id& target, connection_id connection) = 0;
  /// A new connection to the target could not be opened.
  virtual void on_connection_refused(const target_id& target) = 0;
  /// A connection or a slot became free.
  virtual void on_capacity_freed(const target_id& target) = 0;
};

/// Control connections from an owner to each target. An owner may use half of the connection limit of a
/// target; the control connections count towards that half.
inline constexpr std::uint32_t control_connections = 3;

/// Sends requests to one target over a pool of connections.
class target_connections {
 public:
  target_connections(daemon_context& context, const target& configured, target_observer& observer);
  target_connections(const target_connections&) = delete;
  target_connections& operator=(const target_connections&) = delete;
  ~target_connections();

  /// Applies the limits of the target in a new document and whether the target is leaving.
  void configure(const target& configured, bool is_leaving);

  /// Sends a request on an idle connection. Its end is reported to the observer.
  /// @param use whether the connection stays bound to a transaction after the request.
  /// @return the connection that is used; the error if nothing was sent, `overloaded` if no slot or no
  ///   connection is free, `target_unavailable` if the target is leaving.
  [[nodiscard]] result<connection_id> start_request(ticket_id ticket, pool_use use, target_message message,
                                                    time_point deadline);
  /// Sends a request of a transaction on the connection that is bound to it. Its end is reported to the
  /// observer.
  [[nodiscard]] result<connection_id> start_bound_request(connection_id connection, ticket_id ticket,
                                                          target_message message, time_point deadline);
  /// Returns a bound connection to the pool after its transaction has ended.
  void release(connection_id connection);
  /// Closes a bound connection. A request in flight on it fails.
  void discard(connection_id connection);

  [[nodiscard]] const pool_view& view() const noexcept { return view_; }
  [[nodiscard]] const net_address& address() const noexcept { return address_; }
  [[nodiscard]] const target_id& name() const noexcept { return name_; }

 private:
  struct target_channel {
    std::unique_ptr<http_connection> http;
    correlation_id correlation;  ///< Id of the request or probe in flight.
    bool is_probe = false;
  };

  struct unsent_message {
    target_message message;
    time_point deadline;
  };

  void perform(const pool_actions& actions);
  void run(const open_connection& action);
  void run(const close_connection& action);
  void run(const send_request& action);
  void run(const send_probe& action);
  void run(const deliver_answer& action);
  void run(const discard_answer& action);
  void run(const fail_request& action);
  void run(const binding_lost& action);
  void run(const capacity_free& action);

  void on_response(connection_id connection, const result<http_response>& response);
  void drop_answer();
  void rearm();
  [[nodiscard]] time_point now() const { return context_.loop.now(); }
  [[nodiscard]] std::uint64_t random() { return context_.random(); }

  daemon_context& context_;
  target_id name_;
  net_address address_;
  pool_controller pool_;
  target_observer& observer_;
  /// View of the pool after its last event, kept because computing it visits all connections.
  pool_view view_;
  std::map<connection_id, target_channel> channels_;
  std::map<ticket_id, unsent_message> unsent_;
  /// The answer that the pool controller is handling; null outside of on_response.
  const target_answer* current_answer_ = nullptr;
  /// Why a connection last failed, for the error of its request.
  error last_failure_;
  scoped_timer timer_;
};

}  // namespace bulrushlift
