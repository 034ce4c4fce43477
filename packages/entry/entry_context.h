#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "base/metrics.h"
#include "entry/drain_schedule.h"
#include "entry/entry_settings.h"
#include "fleet/confirmation_monitor.h"
#include "fleet/membership_controller.h"
#include "fleet/ownership_table.h"
#include "net/event_loop.h"
#include "net/resource_budget.h"
#include "platform/documents.h"
#include "sql/environment.h"
#include "sql/target_directory.h"

/// @file
/// State that all components of one proxy share: settings, event loop, metrics, and what is known
/// about the configuration, the targets and the VMs.

namespace bulrushlift::entry {

/// What the proxy knows at present. The component that writes a member is named beside it; all
/// components read.
struct shared_state {
  shared_state(duration configuration_bound, std::uint64_t seed) : confirmations(configuration_bound, seed) {}

  std::shared_ptr<const sql::environment> environment;   ///< `store_adapter`; null until the first one.
  confirmation_monitor confirmations;                    ///< `store_adapter`.
  std::map<service_id, sql::target_directory> services;  ///< `store_adapter` and `statement_runner`.
  std::map<vm_id, platform::vm_record> vms;              ///< `store_adapter`.
  std::vector<member> members;                           ///< `membership_adapter`.
  ownership_table ownership;                             ///< `entry_daemon`; covers the configured services.
  bool is_target_list_trusted = false;                   ///< `store_adapter`.
  drain_phase drain = drain_phase::none;                 ///< `entry_daemon`.
  std::optional<time_point> last_deadline;  ///< `entry_daemon`; latest deadline of a statement of a session.
};

/// @return the VM that holds the target connections of a service; nothing if no VM can own it.
[[nodiscard]] inline std::optional<vm_id> owner_of(const service_id& service, const shared_state& shared) {
  return shared.ownership.owner(service);
}

/// Number of VMs that monitor the primary of a service and may start a failover: the owner and the
/// VMs that follow it in the order of owners, in case the owner cannot reach the store.
inline constexpr std::size_t monitors_per_service = 3;

/// @return the rank of VM `self` in the order of owners of a service, 0 for the owner; nothing if
///   that VM does not monitor the primary of the service.
[[nodiscard]] inline std::optional<std::size_t> monitor_rank(const service_id& service,
                                                             const shared_state& shared, const vm_id& self) {
  const auto rank = shared.ownership.rank(service, self);
  return rank && *rank < monitors_per_service ? rank : std::nullopt;
}

struct entry_context {
  entry_context(entry_settings values, incarnation_id start, std::uint64_t seed)
      : settings(std::move(values)),
        incarnation(start),
        random(seed),
        shared(settings.configuration_bound, seed),
        resources({settings.capacity.memory_bytes, settings.capacity.descriptors}, settings.caller_times) {}

  entry_settings settings;
  incarnation_id incarnation;
  event_loop loop;
  std::mt19937_64 random;
  metrics counters;
  shared_state shared;
  resource_budget resources;  ///< What callers may use; counted by the components that hold it.
};

}  // namespace bulrushlift::entry
