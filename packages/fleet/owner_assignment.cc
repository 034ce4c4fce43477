#include "fleet/owner_assignment.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/hash.h"

namespace bulrushlift {
namespace {

// Bandwidth, in Mbit/s, that a VM needs for each core that owns services.
constexpr double link_mbps_per_core = 80;

// Accepted range of announced values.
constexpr double min_cores = 0.01;
constexpr double max_cores = 1'024;
constexpr double min_link_mbps = 1;
constexpr double max_link_mbps = 1'000'000;

// Tolerates the rounding of a product of a weight and its reciprocal.
constexpr double rounding = 1e-9;

std::size_t keys_at(double level, double weight) {
  return static_cast<std::size_t>(std::floor(level * weight + rounding));
}

/// @return the smallest number of keys for a VM of weight 1 with which the VMs own all keys together.
double level_for(std::size_t keys, const std::vector<weighted_vm>& vms) {
  // A VM of weight w takes its n-th key at level n / w. The level is the one at which the last key is taken.
  double total = 0;
  for (const auto& each : vms) total += each.weight;
  // With exact shares all keys are owned at this level; rounding down needs at least as much.
  double level = static_cast<double>(keys) / total;
  for (;;) {
    std::size_t owned = 0;
    double next = std::numeric_limits<double>::infinity();
    for (const auto& each : vms) {
      const auto n = keys_at(level, each.weight);
      owned += n;
      next = std::min(next, static_cast<double>(n + 1) / each.weight);
    }
    if (owned >= keys) return level;
    level = next;
  }
}

}  // namespace

double capacity_of(const vm_resources& resources) noexcept {
  const bool is_core_count_known = resources.cores > 0 && std::isfinite(resources.cores);
  const bool is_link_known = resources.link_mbps > 0 && std::isfinite(resources.link_mbps);
  if (!is_core_count_known) return 0;
  const auto cores = std::clamp(resources.cores, min_cores, max_cores);
  if (!is_link_known) return cores;
  const auto link = std::clamp(resources.link_mbps, min_link_mbps, max_link_mbps);
  return std::min(cores, link / link_mbps_per_core);
}

std::vector<weighted_vm> weigh(const std::map<vm_id, vm_resources>& vms) {
  double smallest = std::numeric_limits<double>::infinity();
  double largest = 0;
  for (const auto& [vm, resources] : vms) {
    const auto capacity = capacity_of(resources);
    if (capacity <= 0) continue;
    smallest = std::min(smallest, capacity);
    largest = std::max(largest, capacity);
  }
  std::vector<weighted_vm> weighted;
  weighted.reserve(vms.size());
  for (const auto& [vm, resources] : vms) {
    const auto capacity = capacity_of(resources);
    const auto known = capacity > 0 ? capacity : smallest;
    weighted.push_back({vm, largest > 0 ? known / largest : 1.0});
  }
  return weighted;
}

std::map<std::string, std::vector<vm_id>> assign_by_capacity(const std::vector<std::string>& keys,
                                                             const std::vector<weighted_vm>& vms,
                                                             std::size_t depth) {
  std::map<std::string, std::vector<vm_id>> assigned;
  if (vms.empty() || keys.empty()) return assigned;
  const auto level = level_for(keys.size(), vms);
  std::vector<vm_id> names;
  std::map<vm_id, std::size_t> remaining;
  for (const auto& each : vms) {
    names.push_back(each.vm);
    remaining[each.vm] = keys_at(level, each.weight);
  }
  for (const auto& key : keys) {
    auto order = rendezvous_choose(key, names, names.size());
    const auto owner =
        std::find_if(order.begin(), order.end(), [&](const vm_id& vm) { return remaining[vm] > 0; });
    --remaining[*owner];
    // Moves the owner to the front; the others keep their order.
    std::rotate(order.begin(), owner, owner + 1);
    if (order.size() > depth) order.resize(depth);
    assigned.emplace(key, std::move(order));
  }
  return assigned;
}

}  // namespace bulrushlift
