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
/// The connections to one target: carries out what its pool controller decides.

namespace bulrushlift {

/// Receives what happens on the connections of one target.
class target_observer {
 public:
  virtual ~target_observer() = default;
  /// The request of `ticket` ended, with an answer or because its connection failed.
  virtual void on_request_end(ticket_id ticket, const result<target_answer>& answer) = 0;
  /// A connection with an open transaction and no request is gone.
  virtual void on_binding_lost(const target_id& target, connection_id connection) = 0;
  /// A new connection was refused.
  virtual void on_connection_refused(const target_id& target) = 0;
  virtual void on_capacity_freed(const target_id& target) = 0;
};

/// Control connections for each target, which count towards the owner's half of its limit.
inline constexpr std::uint32_t control_connections = 3;

class target_connections {
 public:
  target_connections(daemon_context& context, const target& configured, target_observer& observer);
  target_connections(const target_connections&) = delete;
  target_connections& operator=(const target_connections&) = delete;
  ~target_connections();

  /// Applies a new document or another set of leaving targets.
  void configure(const target& configured, bool is_leaving);

  /// Sends a request on an idle connection. The end follows by the observer.
  /// @return the connection, or why nothing was sent.
  [[nodiscard]] result<connection_id> start_request(ticket_id ticket, pool_use use, target_message message,
                                                    time_point deadline);
  /// Sends a request of a transaction on its connection.
  [[nodiscard]] result<connection_id> start_bound_request(connection_id connection, ticket_id ticket,
                                                          target_message message, time_point deadline);
  void release(connection_id connection);
  void discard(connection_id connection);

  [[nodiscard]] const pool_view& view() const noexcept { return view_; }
  [[nodiscard]] const net_address& address() const noexcept { return address_; }
  [[nodiscard]] const target_id& name() const noexcept { return name_; }

 private:
  struct target_channel {
    std::unique_ptr<http_connection> http;
    correlation_id correlation;  ///< Of the request or probe in flight.
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
  /// Of the pool after its last event; counting it takes a pass over all connections.
  pool_view view_;
  std::map<connection_id, target_channel> channels_;
  std::map<ticket_id, unsent_message> unsent_;
  /// The answer that an event of the pool is about.
  const target_answer* current_answer_ = nullptr;
  /// Why the last connection failed, for the caller.
  error last_failure_;
  scoped_timer timer_;
};

}  // namespace bulrushlift
