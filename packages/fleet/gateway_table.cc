#include "fleet/gateway_table.h"

#include <algorithm>
#include <utility>

namespace bulrushlift {

gateway_table gateway_table::build(std::vector<service_id> services, const std::map<vm_id, listed_vm>& vms,
                                   std::span<const member> members) {
  std::map<data_centre_id, std::size_t> listed;
  for (const auto& [vm, each] : vms) ++listed[each.data_centre];
  std::erase_if(listed, [](const auto& each) { return each.second < min_listed_vms; });
  gateway_table table;
  if (listed.size() < 2) return table;

  std::map<data_centre_id, std::map<vm_id, vm_resources>> serving;
  for (const auto& each : members) {
    const auto it = vms.find(each.vm);
    if (is_serving(each.state) && it != vms.end()) {
      serving[it->second.data_centre].emplace(each.vm, it->second.resources);
    }
  }
  std::sort(services.begin(), services.end());
  std::vector<std::string> keys;
  keys.reserve(services.size());
  for (const auto& each : services) keys.push_back(each.str());
  for (const auto& [data_centre, count] : listed) {
    table.data_centres_[data_centre] = assign_by_capacity(keys, weigh(serving[data_centre]), depth);
  }
  return table;
}

std::optional<vm_id> gateway_table::gateway(const service_id& service, const data_centre_id& data_centre,
                                            std::span<const vm_id> failed) const {
  const auto centre = data_centres_.find(data_centre);
  if (centre == data_centres_.end()) return std::nullopt;
  const auto order = centre->second.find(service.str());
  if (order == centre->second.end()) return std::nullopt;
  const auto it = std::find_if(order->second.begin(), order->second.end(), [&](const vm_id& vm) {
    return std::find(failed.begin(), failed.end(), vm) == failed.end();
  });
  if (it == order->second.end()) return std::nullopt;
  return *it;
}

}  // namespace bulrushlift
