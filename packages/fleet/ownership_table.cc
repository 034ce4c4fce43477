#include "fleet/ownership_table.h"

#include <algorithm>

namespace bulrushlift {

ownership_table ownership_table::build(std::vector<service_id> services, std::span<const member> members,
                                       const std::map<vm_id, vm_resources>& resources) {
  std::map<vm_id, vm_resources> serving;
  for (const auto& each : members) {
    if (!is_serving(each.state)) continue;
    const auto it = resources.find(each.vm);
    serving.emplace(each.vm, it == resources.end() ? vm_resources{} : it->second);
  }
  std::sort(services.begin(), services.end());
  std::vector<std::string> keys;
  keys.reserve(services.size());
  for (const auto& each : services) keys.push_back(each.str());
  ownership_table table;
  table.order_ = assign_by_capacity(keys, weigh(serving), depth);
  return table;
}

std::optional<vm_id> ownership_table::owner(const service_id& service) const {
  return first_except(service, {});
}

std::optional<std::size_t> ownership_table::rank(const service_id& service, const vm_id& vm) const {
  const auto it = order_.find(service.str());
  if (it == order_.end()) return std::nullopt;
  const auto position = std::find(it->second.begin(), it->second.end(), vm);
  if (position == it->second.end()) return std::nullopt;
  return static_cast<std::size_t>(position - it->second.begin());
}

std::optional<vm_id> ownership_table::first_except(const service_id& service,
                                                   std::span<const vm_id> failed) const {
  const auto it = order_.find(service.str());
  if (it == order_.end()) return std::nullopt;
  const auto position = std::find_if(it->second.begin(), it->second.end(), [&](const vm_id& vm) {
    return std::find(failed.begin(), failed.end(), vm) == failed.end();
  });
  if (position == it->second.end()) return std::nullopt;
  return *position;
}

}  // namespace bulrushlift
