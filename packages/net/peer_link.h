#pragma once

#include <peer_types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "base/error.h"
#include "net/address.h"
#include "net/event_loop.h"

/// @file
/// Multiplexed links between proxies: frames of `peer_protocol` over one TCP
/// connection, with replies matched by correlation id in any order.
///
///     peer_link link{loop, address, {}};
///     link.request(message, std::chrono::seconds{1}, [](result<peer::envelope_t> reply) {});

namespace bulrushlift {

struct peer_link_options {
  duration connect_timeout = std::chrono::seconds{1};
  /// Back-off after a failed attempt: a random span up to the current bound, which
  /// doubles from `first_backoff` to `max_backoff`.
  duration first_backoff = std::chrono::milliseconds{50};
  duration max_backoff = std::chrono::seconds{2};
  /// Unsent bytes above which requests are refused.
  std::size_t queued_bytes = 16U << 20U;
  /// With requests pending and nothing received for this long, the link sends a probe.
  duration probe_after = std::chrono::milliseconds{250};
  /// With nothing received for this long after a probe, the link is closed.
  duration probe_timeout = std::chrono::seconds{1};
  std::uint64_t seed = 1;
};

/// The requesting side of a link. Connects on the first request and reconnects
/// on the first request after the back-off.
///
/// Errors state an outcome: `not_run` if no byte of the request has left or will leave,
/// else `unknown`. No callback is called from within `request` or after the
/// destruction of the link.
class peer_link {
 public:
  using reply_callback = std::function<void(result<peer::envelope_t>)>;

  peer_link(event_loop& loop, net_address address, peer_link_options options);
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  ~peer_link();

  /// Sends a request; its id is chosen by the link.
  /// @param done gets the reply, the error that the peer replied (its kind, message and
  ///   outcome), `peer_unavailable` or `deadline_exceeded`. Late replies are discarded.
  void request(peer::envelope_t message, duration timeout, reply_callback done);

  /// Sends a message that has no reply. It is lost if the link fails.
  void send(peer::envelope_t message);

  [[nodiscard]] bool is_connected() const noexcept;
  [[nodiscard]] std::size_t pending_requests() const noexcept;

 private:
  class state;
  std::shared_ptr<state> state_;
};

namespace internal {
class peer_server_connection;
struct peer_server_state;
}  // namespace internal

/// Replies to one message of a peer. The first reply counts; harmless after the
/// connection is gone.
class peer_responder {
 public:
  peer_responder() = default;
  peer_responder(std::weak_ptr<internal::peer_server_connection> connection, std::int64_t id)
      : connection_(std::move(connection)), id_(id) {}

  /// @param reply its id is replaced by the id of the request.
  void operator()(peer::envelope_t reply) const;

  /// Replies with an error.
  void operator()(const error& failure) const;

 private:
  std::weak_ptr<internal::peer_server_connection> connection_;
  std::int64_t id_ = 0;
};

struct peer_server_limits {
  std::size_t connections = 4'096;
  /// Unsent bytes of one connection, above which it is closed.
  std::size_t queued_bytes = 16U << 20U;
  /// Bytes of incomplete messages of all connections, above which the connection with most of them is closed.
  std::size_t input_bytes = std::size_t{4} << 30U;
  /// Time without progress of an incomplete message, and without a first message.
  duration message_time = std::chrono::seconds{10};
};

/// The answering side of all links to this process.
class peer_server {
 public:
  /// Gets every message but probes, which the server replies to itself.
  using handler = std::function<void(const peer::envelope_t&, peer_responder)>;
  /// Gets the unsent bytes of all connections.
  using queue_callback = std::function<void(std::size_t)>;

  peer_server(event_loop& loop, peer_server_limits limits, handler on_message);
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;
  ~peer_server();

  /// @return the bound address, or `io_error`.
  [[nodiscard]] result<net_address> listen(const net_address& address);

  /// Sets the callback for each change of the unsent bytes.
  void on_queue_change(queue_callback callback);

  [[nodiscard]] std::size_t connection_count() const noexcept;

 private:
  std::shared_ptr<internal::peer_server_state> state_;
};

/// @return whether the message has no content, as the probes of a link.
[[nodiscard]] bool is_probe(const peer::envelope_t& message) noexcept;

/// Conversions between errors and their wire form.
[[nodiscard]] peer::error_t to_wire(const error& failure);
[[nodiscard]] error from_wire(const peer::error_t& failure);

}  // namespace bulrushlift
