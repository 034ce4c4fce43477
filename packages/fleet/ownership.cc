#include "fleet/ownership.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace bulrushlift {
namespace {

std::vector<vm_id> serving_vms(std::span<const member> members) {
  std::vector<vm_id> vms;
  for (const auto& it : members) {
    if (is_serving(it.state)) vms.push_back(it.vm);
  }
  return vms;
}

}  // namespace

std::optional<service_placement> place_service(const service_id& service, std::span<const member> members) {
  const auto chosen = rendezvous_choose(service.str(), serving_vms(members), 2);
  if (chosen.empty()) return std::nullopt;
  service_placement placement{chosen.front(), std::nullopt};
  if (chosen.size() > 1) placement.standby = chosen.back();
  return placement;
}

std::optional<vm_id> next_owner(const service_id& service, std::span<const member> members,
                                std::span<const vm_id> failed) {
  auto vms = serving_vms(members);
  std::erase_if(vms, [&](const vm_id& vm) { return std::ranges::find(failed, vm) != failed.end(); });
  const auto chosen = rendezvous_choose(service.str(), vms, 1);
  if (chosen.empty()) return std::nullopt;
  return chosen.front();
}

std::vector<ownership_action> ownership_controller::set_services(const std::vector<service_id>& services) {
  std::map<service_id, std::optional<service_placement>> kept;
  std::vector<ownership_action> actions;
  for (const auto& service : services) {
    const auto it = placements_.find(service);
    kept[service] = it == placements_.end() ? std::nullopt : it->second;
  }
  for (const auto& [service, placement] : placements_) {
    if (!kept.contains(service) && is_owned(service))
      actions.emplace_back(give_up_ownership{service, std::nullopt});
  }
  placements_ = std::move(kept);
  auto updates = update();
  std::ranges::move(updates, std::back_inserter(actions));
  return actions;
}

std::vector<ownership_action> ownership_controller::set_members(std::vector<member> members) {
  members_ = std::move(members);
  return update();
}

std::optional<service_placement> ownership_controller::placement(const service_id& service) const {
  const auto it = placements_.find(service);
  if (it == placements_.end()) return std::nullopt;
  return it->second;
}

bool ownership_controller::is_owned(const service_id& service) const {
  const auto placed = placement(service);
  return placed && placed->owner == self_;
}

std::vector<ownership_action> ownership_controller::update() {
  std::vector<ownership_action> actions;
  for (auto& [service, placement] : placements_) {
    auto placed = place_service(service, members_);
    const bool owned_before = placement && placement->owner == self_;
    const bool owned_now = placed && placed->owner == self_;
    placement = std::move(placed);
    if (owned_now && !owned_before) actions.emplace_back(take_ownership{service});
    if (owned_before && !owned_now) {
      auto owner = placement ? std::optional{placement->owner} : std::nullopt;
      actions.emplace_back(give_up_ownership{service, std::move(owner)});
    }
  }
  return actions;
}

}  // namespace bulrushlift
