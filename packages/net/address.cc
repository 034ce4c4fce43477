#include "net/address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

namespace bulrushlift {
namespace {

bool is_ip(const std::string& text, int family) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

}  // namespace

std::string net_address::str() const {
  return ip.find(':') == std::string::npos ? fmt::format("{}:{}", ip, port)
                                           : fmt::format("[{}]:{}", ip, port);
}

result<net_address> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return make_error(error_kind::bad_request, fmt::format("address \"{}\" has no port", text));
  }
  const auto digits = text.substr(colon + 1);
  net_address address;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
  if (ec != std::errc{} || digits.empty() || end != digits.data() + digits.size()) {
    return make_error(error_kind::bad_request, fmt::format("address \"{}\" has no valid port", text));
  }
  auto host = text.substr(0, colon);
  const bool is_bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (is_bracketed) host = host.substr(1, host.size() - 2);
  address.ip = std::string{host};
  if (!is_ip(address.ip, is_bracketed ? AF_INET6 : AF_INET)) {
    return make_error(error_kind::bad_request, fmt::format("address \"{}\" has no valid IP number", text));
  }
  return address;
}

}  // namespace bulrushlift
