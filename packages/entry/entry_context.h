#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "base/metrics.h"
#include "entry/entry_settings.h"
#include "fleet/membership_controller.h"
#include "fleet/ownership_table.h"
#include "net/event_loop.h"
#include "platform/documents.h"
#include "sql/environment.h"
#include "sql/target_directory.h"

/// @file
/// What all parts of one proxy share: settings, event loop and the blackboard.

namespace bulrushlift::entry {

/// The blackboard. Each member has one writer, named beside it.
struct entry_board {
  std::shared_ptr<const sql::environment> environment;   ///< `store_adapter`; null until the first one.
  std::map<service_id, sql::target_directory> services;  ///< `store_adapter` and `statement_runner`.
  std::map<vm_id, platform::vm_record> vms;              ///< `store_adapter`.
  std::vector<member> members;                           ///< `membership_port`.
  ownership_table ownership;                             ///< `entry_daemon`; of the configured services.
  bool is_target_list_trusted = false;                   ///< `store_adapter`.
  bool is_draining = false;                              ///< `entry_daemon`.
};

/// @return the VM that holds the target connections of a service: nothing if no VM serves.
[[nodiscard]] inline std::optional<vm_id> owner_of(const service_id& service, const entry_board& board) {
  return board.ownership.owner(service);
}

/// VMs of a service that watch its primary and may replace it: the owner and those next
/// in line, in case the owner cannot reach the store.
inline constexpr std::size_t watchers_per_service = 3;

/// @return this VM's place in the order of owners of a service, 0 for the owner; nothing if
///   it does not watch the service.
[[nodiscard]] inline std::optional<std::size_t> watch_rank(const service_id& service,
                                                           const entry_board& board, const vm_id& self) {
  const auto rank = board.ownership.rank(service, self);
  return rank && *rank < watchers_per_service ? rank : std::nullopt;
}

struct entry_context {
  entry_context(entry_settings values, incarnation_id start, std::uint64_t seed)
      : settings(std::move(values)), incarnation(start), random(seed) {}

  entry_settings settings;
  incarnation_id incarnation;
  event_loop loop;
  std::mt19937_64 random;
  metrics counters;
  entry_board board;
};

}  // namespace bulrushlift::entry
