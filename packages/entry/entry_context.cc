#include "entry/entry_context.h"

#include <algorithm>

namespace bulrushlift::entry {

std::vector<data_centre_id> data_centres_of(const service_id& service, const shared_state& shared) {
  std::vector<data_centre_id> found;
  const auto directory = shared.services.find(service);
  if (directory == shared.services.end()) return found;
  for (const auto& [id, target] : directory->second.targets()) found.push_back(target.info.data_centre);
  std::sort(found.begin(), found.end());
  found.erase(std::unique(found.begin(), found.end()), found.end());
  const auto primary = shared.primary_data_centres.find(service);
  if (primary == shared.primary_data_centres.end()) return found;
  const auto it = std::find(found.begin(), found.end(), primary->second);
  if (it != found.end()) std::rotate(found.begin(), it, it + 1);
  return found;
}

std::optional<vm_id> holder_of(const service_id& service, const data_centre_id& data_centre,
                               const shared_state& shared, std::span<const vm_id> failed) {
  if (auto gateway = shared.gateways.gateway(service, data_centre, failed)) return gateway;
  return shared.ownership.first_except(service, failed);
}

std::vector<vm_id> monitors_of(const service_id& service, const shared_state& shared) {
  std::vector<vm_id> monitors;
  const auto add = [&monitors](const std::optional<vm_id>& vm) {
    if (!vm || monitors.size() == sql::monitors_per_service) return;
    if (std::find(monitors.begin(), monitors.end(), *vm) == monitors.end()) monitors.push_back(*vm);
  };
  if (shared.gateways.is_in_use()) {
    for (const auto& each : data_centres_of(service, shared)) add(holder_of(service, each, shared));
  }
  while (monitors.size() < sql::monitors_per_service) {
    const auto next = shared.ownership.first_except(service, monitors);
    if (!next) break;
    monitors.push_back(*next);
  }
  return monitors;
}

std::optional<std::size_t> monitor_rank(const service_id& service, const shared_state& shared,
                                        const vm_id& self) {
  const auto monitors = shared.monitors.find(service);
  if (monitors == shared.monitors.end()) return std::nullopt;
  const auto it = std::find(monitors->second.begin(), monitors->second.end(), self);
  if (it == monitors->second.end()) return std::nullopt;
  return static_cast<std::size_t>(it - monitors->second.begin());
}

sql::service_role role_for(const sql::target_announcement& target, const shared_state& shared,
                           const vm_id& self) {
  if (holder_of(target.service, target.data_centre, shared) == self) return sql::service_role::owner;
  return monitor_rank(target.service, shared, self) ? sql::service_role::monitor : sql::service_role::other;
}

}  // namespace bulrushlift::entry
