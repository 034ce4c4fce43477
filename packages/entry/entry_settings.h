#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "net/address.h"

/// @file
/// Settings of a proxy that serves sessions on the operators' platform: JSON with
/// comments, rendered from `deploy/settings.jsonc` at each start.

namespace bulrushlift::entry {

struct entry_settings {
  vm_id vm;
  data_centre_id data_centre;
  net_address caller_listen;
  net_address readiness_listen;
  net_address peer_listen;
  net_address metrics_listen;
  net_address store;                              ///< The platform's metadata store.
  net_address promotions;                         ///< Where promotions are ordered.
  duration drain_time = std::chrono::seconds{5};  ///< From SIGTERM to the kill.
  /// Over which the operators count a customer's rate and burst; zero: no window.
  duration rate_window{};
  log_level level = log_level::info;
  /// Log lines of each event; an engineer needs examples of a refusal, not each of them.
  std::uint32_t log_lines_per_second = 100;

  friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/// @return the settings, or `invalid_settings` with the field that is wrong.
[[nodiscard]] result<entry_settings> parse_entry_settings(std::string_view text);

}  // namespace bulrushlift::entry
