#include "fleet/configuration_simulation_fake.h"

// The oracle of the simulated fleet.

namespace bulrushlift {

void configuration_simulation::fail(std::size_t vm, const std::string& what) {
  if (!violation_) violation_ = fmt::format("{}: {}", name(vm).str(), what);
}

void configuration_simulation::check() {
  if (faults_.serve_old) last_stale_service_ = now_;
  for (std::size_t vm = 0; vm < fleet_size; ++vm) {
    const auto state = vms_[vm].controller->freshness_at(now_);
    check_generation(vm);
    if (state == freshness::fresh) {
      check_fresh(vm);
      if (!vms_[vm].fresh_since) vms_[vm].fresh_since = now_;
      vms_[vm].not_fresh_since.reset();
    } else {
      vms_[vm].fresh_since.reset();
      if (!vms_[vm].not_fresh_since) vms_[vm].not_fresh_since = now_;
    }
  }
  for (std::size_t vm = 0; vm < fleet_size; ++vm) {
    const auto state = vms_[vm].controller->freshness_at(now_);
    if (state == freshness::store_down) check_store_down(vm);
    if (state == freshness::isolated) check_isolated(vm);
  }
}

void configuration_simulation::check_generation(std::size_t vm) {
  auto& it = vms_[vm];
  const auto& document = it.controller->in_force();
  const auto generation = document.generation();
  if (generation < it.highest_generation) fail(vm, "the generation decreased");
  it.highest_generation = generation;
  if (generation.value() > promoted_at_.size()) fail(vm, "the generation was never promoted");
  if (generation == generation_id{}) return;
  const auto rate = document.customers().at(0).rate_per_second;
  if (rate != static_cast<double>(generation.value())) fail(vm, "the text is of another generation");
}

void configuration_simulation::check_fresh(std::size_t vm) {
  const auto limit = timing_settings{}.freshness_limit;
  // A store that serves old versions confirms a document that is not the newest; no reader can detect that.
  if (last_stale_service_ && now_ - *last_stale_service_ < limit + detection_time) return;
  const auto generation = vms_[vm].controller->in_force().generation().value();
  if (generation == promoted_at_.size()) return;
  const auto superseded_at = promoted_at_[generation];
  if (now_ - superseded_at > limit) fail(vm, "an old document counts as fresh");
}

bool configuration_simulation::is_link_stable(std::size_t vm, std::size_t peer) {
  return is_linked(vm, peer) && now_ - link(vm, peer).changed > detection_time;
}

void configuration_simulation::check_store_down(std::size_t vm) {
  std::size_t reachable = 1;
  for (std::size_t peer = 0; peer < fleet_size; ++peer) {
    if (peer == vm) continue;
    const bool is_linked_recently = is_linked(vm, peer) || now_ - link(vm, peer).changed < detection_time;
    if (is_linked_recently) ++reachable;
    const auto since = vms_[peer].fresh_since;
    const bool is_long = since && now_ - std::max(*since, *vms_[vm].not_fresh_since) > detection_time;
    if (is_link_stable(vm, peer) && is_long) {
      fail(vm, "served as if the store were down beside a fresh peer");
    }
  }
  if (reachable * 2 <= fleet_size) fail(vm, "served while isolated");
}

void configuration_simulation::check_isolated(std::size_t vm) {
  const auto last_change = std::max({store_changed_, links_changed_, restarted_});
  const bool is_connected =
      std::none_of(links_.begin(), links_.end(), [](const auto& it) { return it.second.is_cut; });
  if (is_connected && faults_.down &&
      now_ - last_change > timing_settings{}.freshness_limit + detection_time) {
    fail(vm, "refused although the store is down for all");
  }
}

}  // namespace bulrushlift
