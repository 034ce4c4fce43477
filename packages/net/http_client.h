#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "base/clock.h"
#include "base/error.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "net/http_message.h"

/// @file
/// One HTTP/1.1 client connection with keep-alive.
///
///     http_connection connection{loop};
///     connection.open(address, std::chrono::seconds{1}, [&](result<void> opened) {
///       connection.send({.method = "POST", .target = "/v1/execute", .body = text},
///                       std::chrono::seconds{1}, [](result<http_response> answer) {});
///     });

namespace bulrushlift {

struct http_client_limits {
  std::uint32_t head_bytes = 16U << 10U;
  std::uint64_t body_bytes = 4U << 20U;
  /// Longest pause within a response. If set, the timeout of a request ends with the first byte of its
  /// response, so that a large response may take as long as a slow network needs.
  std::optional<duration> receive_pause = std::nullopt;
};

/// A connection that carries one request at a time and is closed on timeout.
///
/// Errors of `send` state an outcome: `not_run` if no byte of the request may
/// have left, else `unknown`. Callbacks may destroy the connection. No callback
/// is called after the destruction or from within `open` or `send`.
class http_connection {
 public:
  using open_callback = std::function<void(result<void>)>;
  using response_callback = std::function<void(result<http_response>)>;
  using close_callback = std::function<void(const error&)>;

  explicit http_connection(event_loop& loop, http_client_limits limits = {});
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
  ~http_connection();

  /// Connects. Call once.
  /// @param done gets `target_unavailable` if the connection is refused or not made in time.
  void open(const net_address& address, duration timeout, open_callback done);

  /// Sends a request and waits for the whole response.
  /// @param timeout after it the connection is closed and `done` gets `deadline_exceeded`; see also
  ///   `http_client_limits::receive_pause`.
  /// @param done gets `target_unavailable` if the connection ends first, `protocol_error`
  ///   for a malformed response, and `internal_error` with `not_run` while another request
  ///   is in flight or the connection is not open.
  void send(const http_request& request, duration timeout, response_callback done);

  /// Closes the connection. A waiting request ends with `target_unavailable`.
  void close();

  /// Called once when an open connection is closed while no request waits.
  void on_close(close_callback callback);

  [[nodiscard]] bool is_open() const noexcept;
  [[nodiscard]] bool is_busy() const noexcept;

  /// @return whether the response of the current request has arrived in part.
  [[nodiscard]] bool is_receiving() const noexcept;

  /// @return whether a byte of the last request may have left.
  [[nodiscard]] bool may_have_left() const noexcept;

 private:
  class state;
  std::shared_ptr<state> state_;
};

}  // namespace bulrushlift
