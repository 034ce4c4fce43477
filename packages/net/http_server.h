#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "base/error.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "net/http_message.h"

/// @file
/// An HTTP/1.1 server on an event loop.
///
///     http_server server{loop, {}, [](const http_request& request, const http_responder& respond) {
///       respond(json_response(200, "{}"));
///     }};
///     auto address = server.listen({"127.0.0.1", 0});   // the bound address

namespace bulrushlift {

/// Bounds of one server. A caller that exceeds one gets an error or is disconnected.
struct http_limits {
  std::uint32_t head_bytes = 16U << 10U;
  std::uint64_t body_bytes = 1U << 20U;
  std::size_t connections = 20'000;
  /// Whether a new connection at that limit replaces the one that has made no progress for the longest time
  /// and waits for no answer. Otherwise the new one is closed.
  bool replaces_idle = false;
  /// Requests of one connection that may wait for their answers; reading pauses there.
  std::size_t pipelined_requests = 16;
  /// Unsent answer bytes of one connection, above which it is closed.
  std::size_t queued_bytes = 4U << 20U;
  /// Unsent answer bytes of one connection, above which no further request of it is handled.
  std::size_t unsent_bytes = 4U << 20U;
  /// Time without a request and without an answer that waits or is being sent.
  duration idle_time = std::chrono::seconds{120};
  /// Time from the first byte of a request to its last byte.
  duration request_time = std::chrono::seconds{10};
  /// Time from the acceptance of a connection for which a request is expected while the server shuts down.
  duration first_request_time = std::chrono::milliseconds{500};
  /// Time without progress of an answer that is being sent.
  duration send_time = std::chrono::seconds{10};
};

namespace internal {
class server_connection;
struct server_state;
}  // namespace internal

/// Answers one request. Copies answer the same request; the first answer counts.
/// Harmless after the connection or the server is gone.
class http_responder {
 public:
  http_responder() = default;
  http_responder(std::weak_ptr<internal::server_connection> connection, std::uint64_t sequence)
      : connection_(std::move(connection)), sequence_(sequence) {}

  void operator()(http_response response) const;

  /// @return whether the caller is still connected and waits for this answer.
  [[nodiscard]] bool is_awaited() const;

 private:
  std::weak_ptr<internal::server_connection> connection_;
  std::uint64_t sequence_ = 0;
};

/// Accepts connections and passes on whole requests. Answers leave in the order
/// of the requests. The handler must answer each request at some time.
class http_server {
 public:
  using handler = std::function<void(const http_request&, http_responder)>;
  using close_callback = std::function<void(http_connection_id)>;

  http_server(event_loop& loop, http_limits limits, handler on_request);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  /// @param address port 0 binds a port that the kernel chooses.
  /// @return the bound address, or `io_error`.
  [[nodiscard]] result<net_address> listen(const net_address& address);

  /// Called once for each connection when it is closed by either side.
  void on_close(close_callback callback);

  /// Accepts no more connections after those that wait or are being opened; open connections continue.
  void stop_listening();
  /// @return whether connections are still accepted after `stop_listening`.
  [[nodiscard]] bool is_stopping() const noexcept;

  /// From now on, each answer closes its connection, and idle connections are closed. A new connection has
  /// `first_request_time` to send its request.
  void close_after_answers();

  [[nodiscard]] std::size_t connection_count() const noexcept;
  /// @return unsent bytes of answers on all connections.
  [[nodiscard]] std::size_t queued_bytes() const noexcept;
  /// @return requests that were passed to the handler and are not answered.
  [[nodiscard]] std::size_t pending_requests() const noexcept;
  /// Reads what has arrived on the connections that have not sent a request yet.
  /// @return the number of those that are younger than `first_request_time` or have sent a part of a request.
  [[nodiscard]] std::size_t expected_requests();

 private:
  std::shared_ptr<internal::server_state> state_;
};

}  // namespace bulrushlift
