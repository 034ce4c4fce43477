#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

/// @file
/// An IP address with a port. Host names are not resolved: processes find each
/// other by IP number.
///
///     auto listen = parse_address("127.0.0.1:0");   // port 0: the kernel chooses

namespace bulrushlift {

/// An IPv4 or IPv6 address with a port.
struct net_address {
  std::string ip;
  std::uint16_t port = 0;

  /// @return "127.0.0.1:80" or "[::1]:80".
  [[nodiscard]] std::string str() const;

  friend bool operator==(const net_address&, const net_address&) = default;
  friend auto operator<=>(const net_address&, const net_address&) = default;
};

/// @param text "ip:port" or "[ipv6]:port".
/// @return the address, or `bad_request` with a message that names the wrong part.
[[nodiscard]] result<net_address> parse_address(std::string_view text);

}  // namespace bulrushlift
