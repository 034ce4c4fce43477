#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "base/error.h"
#include "net/address.h"
#include "net/event_loop.h"

/// @file
/// A UDP socket on an event loop.

namespace bulrushlift {

class datagram_socket {
 public:
  using handler = std::function<void(const net_address& from, std::string_view bytes)>;

  datagram_socket(event_loop& loop, handler on_datagram);
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;
  ~datagram_socket();

  /// @param address port 0 binds a port that the kernel chooses.
  /// @return the bound address, or `io_error`.
  [[nodiscard]] result<net_address> open(const net_address& address);

  /// Sends one datagram. Datagrams that the kernel does not take are lost.
  void send(const net_address& to, std::string_view bytes);

 private:
  class socket_handler;
  std::shared_ptr<socket_handler> handler_;
};

}  // namespace bulrushlift
