#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "base/metrics.h"
#include "entry/drain_schedule.h"
#include "entry/entry_settings.h"
#include "fleet/confirmation_monitor.h"
#include "fleet/gateway_table.h"
#include "fleet/membership_controller.h"
#include "fleet/ownership_table.h"
#include "net/event_loop.h"
#include "net/resource_budget.h"
#include "platform/documents.h"
#include "sql/cold_pacer.h"
#include "sql/connection_share.h"
#include "sql/environment.h"
#include "sql/evacuation_set.h"
#include "sql/promotion_claim.h"
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
  gateway_table gateways;                                ///< `entry_daemon`; covers the configured services.
  /// `statement_runner`; data centre of the last known primary of each service.
  std::map<service_id, data_centre_id> primary_data_centres;
  /// `entry_daemon`; monitors of the primary of each service, first to start a failover first. As
  /// `monitors_of` gave them at the last tick.
  std::map<service_id, std::vector<vm_id>> monitors;
  sql::evacuation_set evacuations;          ///< `evacuation_adapter`.
  bool is_evacuation_pending = false;       ///< `entry_daemon`; no statement is sent before the set is known.
  sql::cold_pacer cold{{}};                 ///< `entry_daemon` and `statement_runner`.
  bool is_target_list_trusted = false;      ///< `store_adapter`.
  drain_phase drain = drain_phase::none;    ///< `entry_daemon`.
  std::optional<time_point> last_deadline;  ///< `entry_daemon`; latest deadline of a statement of a session.
};

/// @return the data centres with targets of a service, that of the primary or the last known one first.
[[nodiscard]] std::vector<data_centre_id> data_centres_of(const service_id& service,
                                                          const shared_state& shared);

/// @return the VM that holds the connections to the targets of a service in a data centre: its gateway
///   there, or the owner of the service if the data centre has none.
[[nodiscard]] std::optional<vm_id> holder_of(const service_id& service, const data_centre_id& data_centre,
                                             const shared_state& shared, std::span<const vm_id> failed = {});

/// @return the VMs that monitor the primary of a service, in the order in which they start a failover.
///   With gateways these are the gateways, that of the primary's data centre first, because their
///   statements show first that the primary is lost.
[[nodiscard]] std::vector<vm_id> monitors_of(const service_id& service, const shared_state& shared);

/// @return the rank of VM `self` among the monitors of a service, 0 for the first; nothing if it does not
///   monitor the primary.
[[nodiscard]] std::optional<std::size_t> monitor_rank(const service_id& service, const shared_state& shared,
                                                      const vm_id& self);

/// @return what VM `self` does for a target.
[[nodiscard]] sql::service_role role_for(const sql::target_announcement& target, const shared_state& shared,
                                         const vm_id& self);

struct entry_context {
  entry_context(entry_settings values, incarnation_id start, std::uint64_t seed)
      : settings(std::move(values)),
        incarnation(start),
        random(seed),
        shared(settings.configuration_bound, seed),
        resources({settings.capacity.memory_bytes, settings.capacity.descriptors}, settings.caller_times) {
    shared.cold = sql::cold_pacer{settings.cold};
    shared.is_evacuation_pending = settings.evacuation_bound > duration::zero();
  }

  entry_settings settings;
  incarnation_id incarnation;
  event_loop loop;
  std::mt19937_64 random;
  metrics counters;
  shared_state shared;
  resource_budget resources;  ///< What callers may use; counted by the components that hold it.
};

}  // namespace bulrushlift::entry
