#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/ids.h"
#include "fleet/membership_controller.h"
#include "fleet/owner_assignment.h"

/// @file
/// The gateway of each service in each data centre: the VM that holds the connections to the targets of
/// the service there, and runs the statements that go to them.
///
/// Load pattern: callers, VMs and targets of a service in several data centres. With one owner for each
/// service most statements cross between data centres twice, once to the owner and once to a target. With
/// a gateway in each data centre a read crosses nowhere while the targets there have room, and a write
/// crosses once.
///
///     const auto table = gateway_table::build(services, vms, members);
///     table.gateway(service, target.data_centre);  // where statements for that target are run

namespace bulrushlift {

/// A VM that the store lists.
struct listed_vm {
  data_centre_id data_centre;
  vm_resources resources;

  friend bool operator==(const listed_vm&, const listed_vm&) = default;
};

/// Immutable table of gateways, empty for a fleet that is too small for them.
class gateway_table {
 public:
  /// VMs that the store lists for a data centre from which on it has gateways of its own: two can
  /// replace a lost one. The list and not the living members decide, so that a data centre whose
  /// VMs restart does not change the way of all statements.
  static constexpr std::size_t min_listed_vms = 3;
  /// VMs kept in the order of each gateway: the gateway and those that follow it.
  static constexpr std::size_t depth = 4;

  gateway_table() = default;

  /// Computes the table. Equal input gives equal tables on all VMs.
  /// @param services in any order.
  /// @param vms all VMs that the store lists.
  /// @param members leaving and dead ones are ignored, and those that the store doesn't list.
  [[nodiscard]] static gateway_table build(std::vector<service_id> services,
                                           const std::map<vm_id, listed_vm>& vms,
                                           std::span<const member> members);

  /// @return whether the fleet has gateways: at least two data centres are large enough.
  [[nodiscard]] bool is_in_use() const noexcept { return !data_centres_.empty(); }

  /// @return whether the data centre has gateways of its own.
  [[nodiscard]] bool covers(const data_centre_id& data_centre) const {
    return data_centres_.contains(data_centre);
  }

  /// @param failed VMs that are not considered.
  /// @return the gateway of a service in a data centre; nothing if no VM of the data centre serves or it has
  ///   no gateways.
  [[nodiscard]] std::optional<vm_id> gateway(const service_id& service, const data_centre_id& data_centre,
                                             std::span<const vm_id> failed = {}) const;

  friend bool operator==(const gateway_table&, const gateway_table&) = default;

 private:
  std::map<data_centre_id, std::map<std::string, std::vector<vm_id>>> data_centres_;
};

}  // namespace bulrushlift
