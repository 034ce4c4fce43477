#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"

/// @file
/// A TCP proxy on loopback that injects network faults into the connections through it.
///
///     fault_proxy proxy{loop, *parse_address("127.0.0.1:4711")};
///     proxy.set_delay(milliseconds{50});   // callers connect to proxy.address()

namespace bulrushlift {

class fault_proxy {
 public:
  fault_proxy(event_loop& loop, net_address destination);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  [[nodiscard]] const net_address& address() const noexcept { return address_; }

  /// Delays each chunk of bytes by `delay`, in both directions, on connections accepted after this call.
  void set_delay(duration delay) noexcept { delay_ = delay; }
  /// While set, discards all bytes from the destination; bytes to the destination are still forwarded.
  void set_answers_lost(bool is_lost) noexcept { are_answers_lost_ = is_lost; }
  /// While set, closes new connections immediately after they are accepted.
  void set_refusing(bool is_refusing) noexcept { is_refusing_ = is_refusing; }
  /// Keeps the open connections open but discards all their further bytes in both directions.
  /// Connections accepted later are not affected.
  void blackhole_connections();
  /// Closes all open connections. Connections accepted later are not affected.
  void close_connections();

 private:
  class connection;

  void accept(int handle);
  void remove(connection& closed);

  event_loop& loop_;
  net_address destination_;
  net_address address_;
  tcp_listener listener_;
  std::map<std::uint64_t, std::shared_ptr<connection>> connections_;
  std::uint64_t last_connection_ = 0;
  duration delay_{};
  bool are_answers_lost_ = false;
  bool is_refusing_ = false;
};

}  // namespace bulrushlift
