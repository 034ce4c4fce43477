#include "fleet/ownership_table.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace bulrushlift {

ownership_table ownership_table::build(std::vector<service_id> services, std::span<const member> members) {
  std::vector<vm_id> vms;
  for (const auto& each : members) {
    if (is_serving(each.state)) vms.push_back(each.vm);
  }
  ownership_table table;
  if (vms.empty()) return table;
  std::sort(services.begin(), services.end());
  const std::size_t max_owned = (services.size() + vms.size() - 1) / vms.size();
  std::map<vm_id, std::size_t> owned;
  for (const auto& service : services) {
    auto order = rendezvous_choose(service.str(), vms, vms.size());
    const auto owner =
        std::find_if(order.begin(), order.end(), [&](const vm_id& vm) { return owned[vm] < max_owned; });
    ++owned[*owner];
    // Moves the owner to the front; the others keep their order.
    std::rotate(order.begin(), owner, owner + 1);
    if (order.size() > depth) order.resize(depth);
    table.order_.emplace(service, std::move(order));
  }
  return table;
}

std::optional<vm_id> ownership_table::owner(const service_id& service) const {
  return first_except(service, {});
}

std::optional<std::size_t> ownership_table::rank(const service_id& service, const vm_id& vm) const {
  const auto it = order_.find(service);
  if (it == order_.end()) return std::nullopt;
  const auto position = std::find(it->second.begin(), it->second.end(), vm);
  if (position == it->second.end()) return std::nullopt;
  return static_cast<std::size_t>(position - it->second.begin());
}

std::optional<vm_id> ownership_table::first_except(const service_id& service,
                                                   std::span<const vm_id> failed) const {
  const auto it = order_.find(service);
  if (it == order_.end()) return std::nullopt;
  const auto position = std::find_if(it->second.begin(), it->second.end(), [&](const vm_id& vm) {
    return std::find(failed.begin(), failed.end(), vm) == failed.end();
  });
  if (position == it->second.end()) return std::nullopt;
  return *position;
}

}  // namespace bulrushlift
