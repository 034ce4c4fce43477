#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"

/// @file
/// Assigns keys, such as services, to VMs in proportion to what the VMs can carry.
///
/// Load pattern: a fleet of a few large VMs and many small ones, which differ several times in
/// processor and link. With even shares a small VM that owns a service limits all callers of that
/// service, while the large VMs are idle.
///
///     const auto order = assign_by_capacity({"ledger-1", "ledger-2"}, weigh(resources), 6);
///     order.at("ledger-1").front();  // the owner

namespace bulrushlift {

/// What a VM announces about itself. A value of 0 means that it is not known.
struct vm_resources {
  double cores = 0;      ///< Cores that its process may keep busy.
  double link_mbps = 0;  ///< Bandwidth of its network link, in Mbit/s.

  friend bool operator==(const vm_resources&, const vm_resources&) = default;
};

/// A VM with its capacity for owning services, relative to those of the other VMs.
struct weighted_vm {
  vm_id vm;
  double weight = 1;  ///< Above 0.

  friend bool operator==(const weighted_vm&, const weighted_vm&) = default;
};

/// @return the capacity of a VM in cores, as limited by its link; 0 if it announced nothing. Values
///   out of a sensible range are brought into it.
[[nodiscard]] double capacity_of(const vm_resources& resources) noexcept;

/// Weighs VMs by their capacity. VMs of unknown capacity count as the smallest known one; if none is
/// known, all weigh the same.
[[nodiscard]] std::vector<weighted_vm> weigh(const std::map<vm_id, vm_resources>& vms);

/// Orders the VMs for each key. The first one is the owner: the VM with the highest rendezvous weight
/// that has not reached its share of the keys, which is proportional to its capacity and the smallest
/// one that leaves no key without an owner. The others follow by rendezvous weight.
/// @param keys sorted, without duplicates.
/// @param vms in any order.
/// @param depth VMs listed for each key at most.
/// @return for each key at least one VM, unless there is no VM at all. Equal input gives equal results
///   on all VMs.
[[nodiscard]] std::map<std::string, std::vector<vm_id>> assign_by_capacity(
    const std::vector<std::string>& keys, const std::vector<weighted_vm>& vms, std::size_t depth);

}  // namespace bulrushlift
