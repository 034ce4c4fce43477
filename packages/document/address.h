#pragma once

#include <string_view>

#include "base/ids.h"

/// @file
/// Socket addresses as they appear in settings and documents.

namespace bulrushlift {

/// An IP number and a port: "10.0.0.1:8080" or "[::1]:8080". Checked where it is parsed.
using network_address = name_id<struct network_address_tag>;

/// @param allow_port_zero whether port 0 (chosen by the kernel) is valid.
/// @return whether `text` is an IP number with a port. Host names are not valid.
[[nodiscard]] bool is_network_address(std::string_view text, bool allow_port_zero = false);

}  // namespace bulrushlift
