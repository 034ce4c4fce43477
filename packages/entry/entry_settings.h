#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "net/address.h"
#include "net/resource_budget.h"
#include "sql/cold_pacer.h"
#include "sql/overflow_controller.h"

/// @file
/// Settings of a proxy that serves sessions on the operators' platform. The settings file is JSON
/// with comments and is rendered from `deploy/settings.jsonc` at each start.

namespace bulrushlift::entry {

/// What one VM has. A value of 0 means that it is not known.
struct vm_capacity {
  double cores = 0;      ///< Cores that the process may keep busy; a part of one core is usual.
  double link_mbps = 0;  ///< Bandwidth of the VM's network link, in Mbit/s.
  std::uint64_t memory_bytes = 0;
  std::uint64_t descriptors = 0;  ///< Open files and sockets that the process may have.

  friend bool operator==(const vm_capacity&, const vm_capacity&) = default;
};

struct entry_settings {
  vm_id vm;
  data_centre_id data_centre;
  net_address caller_listen;
  net_address readiness_listen;
  net_address peer_listen;
  net_address metrics_listen;
  net_address store;                              ///< The platform's metadata store.
  net_address promotions;                         ///< The platform's API that performs promotions.
  duration drain_time = std::chrono::seconds{5};  ///< Time from SIGTERM to SIGKILL.
  /// Length of the window in which the operators measure a customer's rate and burst; zero if they
  /// use none.
  duration rate_window{};
  /// Excess over that limit that the operators tolerate: a part of the limit, and operations.
  double rate_overage = 0;
  double rate_slack = 0;
  /// Within this time of its confirmation a configuration must be in force on all VMs.
  duration configuration_bound = std::chrono::seconds{3};
  /// Interval of the reports that a target makes to the store.
  duration target_report_interval = std::chrono::milliseconds{1'200};
  /// Nothing is sent to a target later than this after the store has confirmed that it is leaving; zero for
  /// no such bound.
  duration target_drain_bound = std::chrono::seconds{7};
  /// The whole system starts for the first time: no VM can have left a promotion half-way.
  bool is_first_start = true;
  /// Within this time of its confirmation an evacuation is in force on all VMs; zero if none are watched.
  duration evacuation_bound{};
  sql::cold_allowance cold;  ///< What a cold target may get from all VMs together.
  vm_capacity capacity;
  caller_time_limits caller_times;
  /// What it costs to run a read in another data centre; reads stay in their own if it is not set.
  std::optional<sql::overflow_settings> crossing;
  log_level level = log_level::info;
  /// Maximum number of log lines per second of each event. Examples of a frequent event, such as a
  /// refusal, are enough for an investigation.
  std::uint32_t log_lines_per_second = 100;

  /// @return how long a leaving primary gets work after this VM heard of it; zero for no limit. Reports of
  ///   targets reach a VM, and statements a target, within a second or so.
  [[nodiscard]] duration target_drain_time() const {
    if (target_drain_bound == duration::zero()) return {};
    constexpr duration report_delay = std::chrono::milliseconds{1'500};
    return std::max<duration>(target_drain_bound - report_delay, std::chrono::milliseconds{1});
  }

  friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/// @param text the content of the settings file.
/// @return the settings, or `invalid_settings` with the name of the invalid field in the message.
[[nodiscard]] result<entry_settings> parse_entry_settings(std::string_view text);

}  // namespace bulrushlift::entry
