#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/ids.h"
#include "fleet/membership_controller.h"

/// @file
/// The VMs of each service in the order in which they own it, worked out once for each
/// change of the members or services.
///
/// Load pattern: few services on many small VMs. By rendezvous weight alone one of 30 VMs
/// can own three of eight services, and its processor becomes the limit of all three. Here
/// no VM owns more than an even share, rounded up.
///
///     const auto table = ownership_table::build(services, members);
///     if (table.rank(service, self) == 0) { /* this VM is the owner */ }

namespace bulrushlift {

class ownership_table {
 public:
  /// VMs that are kept for each service: the owner and those next in line.
  static constexpr std::size_t depth = 6;

  ownership_table() = default;

  /// @param services in any order; equal sets give equal tables on all VMs.
  /// @param members as known; leaving and dead ones do not count.
  [[nodiscard]] static ownership_table build(std::vector<service_id> services,
                                             std::span<const member> members);

  /// @return the owner of a service, or nothing for an unknown service or without members.
  [[nodiscard]] std::optional<vm_id> owner(const service_id& service) const;

  /// @return the place of a VM in the order of a service, 0 for the owner; nothing if it is
  ///   not among the first `depth`.
  [[nodiscard]] std::optional<std::size_t> rank(const service_id& service, const vm_id& vm) const;

  /// @return the first VM in the order that is not in `failed`.
  [[nodiscard]] std::optional<vm_id> first_except(const service_id& service,
                                                  std::span<const vm_id> failed) const;

  friend bool operator==(const ownership_table&, const ownership_table&) = default;

 private:
  std::map<service_id, std::vector<vm_id>> order_;
};

}  // namespace bulrushlift
