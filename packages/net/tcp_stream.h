#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "net/address.h"
#include "net/event_loop.h"

/// @file
/// A non-blocking TCP connection and a listener on an event loop.

class ACE_INET_Addr;

namespace bulrushlift {

/// Receives the events of one stream. It may destroy the stream in any of them.
class tcp_stream_observer {
 public:
  virtual ~tcp_stream_observer() = default;
  virtual void on_connected() {}
  virtual void on_bytes(std::string_view bytes) = 0;
  /// Bytes left the queue; `tcp_stream::queued_bytes` is smaller than before.
  virtual void on_progress() {}
  /// The peer closed the connection, or it failed. Called once, last.
  virtual void on_closed(const error& reason) = 0;
};

/// A connection. The destructor closes it without further events.
class tcp_stream {
 public:
  tcp_stream(event_loop& loop, tcp_stream_observer& observer);
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;
  ~tcp_stream();

  /// Starts to connect; `on_connected` or `on_closed` follows from the loop.
  void connect(const net_address& address);

  /// Takes over a connected descriptor.
  [[nodiscard]] bool adopt(int handle);

  /// Sends what the kernel takes and queues the rest.
  void write(std::string_view bytes);

  /// Stops or resumes `on_bytes`.
  void pause_reading(bool is_paused);

  /// Sets how many bytes `on_bytes` gets at most.
  void set_read_limit(std::size_t bytes);

  /// Passes on bytes that have arrived but were not read yet. Call before closing an idle connection.
  void read_available();

  /// Tells the peer that nothing follows. Call when no bytes are queued.
  void shutdown_write();

  void close();

  [[nodiscard]] bool is_open() const noexcept;
  [[nodiscard]] bool is_connected() const noexcept;
  [[nodiscard]] std::size_t queued_bytes() const noexcept;
  /// Bytes that the kernel has taken since the connection was made.
  [[nodiscard]] std::uint64_t sent_bytes() const noexcept;

 private:
  class io_handler;
  std::shared_ptr<io_handler> handler_;
};

/// Accepts connections.
class tcp_listener {
 public:
  using accept_callback = std::function<void(int handle)>;

  /// @param on_accept gets a connected non-blocking descriptor and owns it.
  tcp_listener(event_loop& loop, accept_callback on_accept);
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  ~tcp_listener();

  [[nodiscard]] result<net_address> listen(const net_address& address);
  /// Lets no further connection begin, accepts those that wait or are being opened, whose callers may have
  /// sent requests, and then closes. If the kernel cannot keep connections from beginning, closes at once.
  void stop();
  /// @return whether `stop` was called and the listener has not closed yet.
  [[nodiscard]] bool is_stopping() const noexcept;
  void close();

 private:
  class accept_handler;
  std::shared_ptr<accept_handler> handler_;
};

namespace internal {
[[nodiscard]] ACE_INET_Addr to_ace(const net_address& address);
[[nodiscard]] net_address from_ace(const ACE_INET_Addr& address);
}  // namespace internal

}  // namespace bulrushlift
