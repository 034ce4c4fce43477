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
/// The owner of each service and the VMs that follow it, computed once for each change of the
/// members or services.
///
/// Load pattern: few services on many small VMs. With rendezvous weights alone, one of 30 VMs
/// can own three of eight services, and its processor limits all three. In this table no VM
/// owns more than its share of the services, rounded up: an even one, or one in proportion to the
/// capacities that the VMs announce.
///
///     const auto table = ownership_table::build(services, members);
///     const auto owner = table.first_except(service, unreachable);

namespace bulrushlift {

/// Immutable table of owners.
class ownership_table {
 public:
  /// VMs listed for each service: the owner and those that follow it.
  static constexpr std::size_t depth = 6;

  ownership_table() = default;

  /// Computes the table. Equal sets of services and members give equal tables on all VMs.
  /// @param services in any order.
  /// @param members in any order; leaving and dead ones are ignored.
  /// @param resources what the VMs announced; VMs that are missing count as of unknown capacity.
  [[nodiscard]] static ownership_table build(std::vector<service_id> services,
                                             std::span<const member> members,
                                             const std::map<vm_id, vm_resources>& resources = {});

  /// @return the owner of a service, or nothing if the service is unknown or no member serves.
  [[nodiscard]] std::optional<vm_id> owner(const service_id& service) const;

  /// @return the VM's position in the order of a service, 0 for the owner, or nothing if the VM
  ///   is not among the first `depth`.
  [[nodiscard]] std::optional<std::size_t> rank(const service_id& service, const vm_id& vm) const;

  /// @return the first VM in the order of a service that is not in `failed`, or nothing.
  [[nodiscard]] std::optional<vm_id> first_except(const service_id& service,
                                                  std::span<const vm_id> failed) const;

  friend bool operator==(const ownership_table&, const ownership_table&) = default;

 private:
  std::map<std::string, std::vector<vm_id>> order_;  ///< At most `depth` VMs for each service.
};

}  // namespace bulrushlift
