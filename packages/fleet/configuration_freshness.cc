#include <algorithm>

#include "fleet/configuration_controller.h"

// Whether the document in force may serve requests.

namespace bulrushlift {

std::string_view name_of(freshness value) noexcept {
  switch (value) {
    case freshness::no_document:
      return "no_document";
    case freshness::fresh:
      return "fresh";
    case freshness::store_down:
      return "store_down";
    case freshness::isolated:
      break;
  }
  return "isolated";
}

bool configuration_controller::is_recent(time_point now, std::optional<time_point> confirmed_at) const {
  return confirmed_at && now - *confirmed_at < timing_.freshness_limit;
}

bool configuration_controller::is_reachable(const vm_id& peer) const {
  return std::any_of(members_.begin(), members_.end(),
                     [&peer](const auto& it) { return it.alive && it.name == peer; });
}

bool configuration_controller::is_store_down_for_majority(time_point now) const {
  for (const auto& [name, state] : peers_) {
    if (is_recent(now, state.confirmed_at)) return false;
    // A key may be revoked in a generation that this VM has heard of but does not have.
    if (state.generation > document_.generation()) return false;
  }
  const auto& named = document_.vms();
  const auto reachable =
      std::count_if(named.begin(), named.end(), [this](const vm& it) { return is_reachable(it.name); });
  return static_cast<std::size_t>(reachable) * 2 > named.size();
}

freshness configuration_controller::freshness_at(time_point now) const {
  if (document_.generation() == generation_id{}) return freshness::no_document;
  if (is_recent(now, confirmed_at_)) return freshness::fresh;
  const bool within_outage = confirmed_at_ && now - *confirmed_at_ < timing_.outage_limit;
  if (within_outage && is_store_down_for_majority(now)) return freshness::store_down;
  return mutation_.serves_when_isolated ? freshness::store_down : freshness::isolated;
}

}  // namespace bulrushlift
