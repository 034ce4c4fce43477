#include "document/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace bulrushlift {
namespace {

bool is_port(std::string_view text, bool allow_zero) {
  std::uint16_t port = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (ec != std::errc{} || end != text.data() + text.size()) return false;
  return allow_zero || port > 0;
}

bool is_ip(int family, std::string_view text) {
  in6_addr parsed{};
  return inet_pton(family, std::string{text}.c_str(), &parsed) == 1;
}

}  // namespace

bool is_network_address(std::string_view text, bool allow_port_zero) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) return false;
  if (!is_port(text.substr(colon + 1), allow_port_zero)) return false;
  const auto host = text.substr(0, colon);
  if (!host.starts_with('[')) return is_ip(AF_INET, host);
  return host.ends_with(']') && is_ip(AF_INET6, host.substr(1, host.size() - 2));
}

}  // namespace bulrushlift
