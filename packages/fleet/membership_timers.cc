#include <algorithm>
#include <iterator>

#include "fleet/membership_controller.h"

/// @file
/// The timer-driven part of the membership controller: pings, indirect pings,
/// suspicion and death, and the choice of piggybacked updates.

namespace bulrushlift {
namespace {

/// Upper bound of an entry's size in a datagram, in bytes. `fields` covers the state's name and the
/// overhead of the codec.
std::size_t max_wire_size(const member& it) {
  constexpr std::size_t fields = 32;
  return it.vm.str().size() + it.address.size() + it.data_centre.str().size() + fields;
}

}  // namespace

membership_actions membership_controller::on_timer(time_point now, std::uint64_t random) {
  membership_actions actions;
  if (stopped_ || now < next_timer_) return actions;
  random_engine engine{static_cast<random_engine::result_type>(random)};
  const auto half_period = options_.period / 2;
  const bool is_first = next_timer_ == time_point{};
  // After a pause of this process, missing acks say nothing about the peers.
  if (!is_first && now - next_timer_ > half_period) compensate_pause(now - next_timer_);
  if (is_mid_period_) {
    send_indirect_pings(engine, actions);
  } else {
    fail_probes(now, actions);
    start_period(now, engine, actions);
  }
  expire_suspicions(now, actions);
  is_mid_period_ = !is_mid_period_;
  // Counts from `now`: if late timers were caught up with, the next acks would have less time.
  next_timer_ = now + half_period;
  return actions;
}

void membership_controller::compensate_pause(duration pause) {
  probes_.clear();
  for (auto& [vm, it] : peers_) it.suspicion_end += pause;
  is_mid_period_ = false;
}

void membership_controller::start_period(time_point now, random_engine& random, membership_actions& actions) {
  ++periods_;
  std::erase_if(forwarded_, [&](const auto& entry) { return now - entry.second.sent > 2 * options_.period; });
  forget_dead(now);
  if (live_count() <= options_.small_fleet_size) {
    for (auto& [vm, it] : peers_) {
      if (is_pinged(it)) ping(it, now, actions);
    }
  } else {
    ping_next(now, random, actions);
    ping_seeds(now, random, actions);
  }
  if (periods_ % options_.dead_ping_periods != 0) return;
  ping_dead(now, random, actions);
  ping_duplicate_name(actions);
}

void membership_controller::ping_next(time_point now, random_engine& random, membership_actions& actions) {
  // Each member is pinged once in a shuffled round, which bounds the time to detect a death.
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!ping_order_.empty()) {
      const auto it = peers_.find(ping_order_.back());
      ping_order_.pop_back();
      if (it == peers_.end() || !is_pinged(it->second)) continue;
      ping(it->second, now, actions);
      return;
    }
    for (const auto& [vm, it] : peers_) {
      if (is_pinged(it)) ping_order_.push_back(vm);
    }
    std::ranges::shuffle(ping_order_, random);
  }
}

std::vector<membership_controller::peer*> membership_controller::sample(std::size_t count,
                                                                        random_engine& random,
                                                                        bool (*predicate)(const peer&)) {
  std::vector<peer*> all;
  for (auto& [vm, it] : peers_) {
    if (predicate(it)) all.push_back(&it);
  }
  std::vector<peer*> chosen;
  std::ranges::sample(all, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), random);
  return chosen;
}

void membership_controller::ping_seeds(time_point now, random_engine& random, membership_actions& actions) {
  const auto is_new = [](const peer& it) { return !it.is_known; };
  for (auto* it : sample(options_.seeds_per_period, random, is_new)) ping(*it, now, actions);
}

void membership_controller::ping_dead(time_point now, random_engine& random, membership_actions& actions) {
  const auto is_dead = [](const peer& it) { return it.info.state == member_state::dead; };
  for (auto* it : sample(1, random, is_dead)) ping(*it, now, actions);
}

void membership_controller::ping_duplicate_name(membership_actions& actions) {
  if (duplicate_address_.empty()) return;
  actions.emplace_back(send_membership{
      duplicate_address_, make_message(membership_message_kind::ping, ++last_id_, self_.vm, {self_})});
}

void membership_controller::ping(peer& target, time_point now, membership_actions& actions) {
  const auto id = ++last_id_;
  probes_[id] = {target.info.vm, now};
  auto updates = choose_updates(target.info.vm, target.info.state != member_state::alive);
  actions.emplace_back(
      send_membership{target.info.address,
                      make_message(membership_message_kind::ping, id, target.info.vm, std::move(updates))});
}

void membership_controller::send_indirect_pings(random_engine& random, membership_actions& actions) {
  for (const auto& [id, waiting] : probes_) {
    const auto target = peers_.find(waiting.target);
    if (target == peers_.end() || !target->second.is_known) continue;
    if (!is_serving(target->second.info.state)) continue;
    const auto is_helper = [](const peer& it) { return it.is_known && it.info.state == member_state::alive; };
    // One more than needed, since the target itself may be in the sample.
    auto helpers = sample(options_.indirect_pings + 1, random, is_helper);
    std::erase_if(helpers, [&vm = waiting.target](const peer* it) { return it->info.vm == vm; });
    if (helpers.size() > options_.indirect_pings) helpers.pop_back();
    for (const auto* helper : helpers) {
      auto updates = choose_updates(helper->info.vm, false);
      actions.emplace_back(send_membership{
          helper->info.address,
          make_message(membership_message_kind::indirect_ping, id, waiting.target, std::move(updates))});
    }
  }
}

void membership_controller::fail_probes(time_point now, membership_actions& actions) {
  const auto failed = std::move(probes_);
  probes_.clear();
  for (const auto& [id, waiting] : failed) {
    const auto it = peers_.find(waiting.target);
    if (it == peers_.end() || !it->second.is_known) continue;
    if (it->second.info.state == member_state::alive)
      set_state(it->second, member_state::suspect, now, actions);
    // A leaving member owns no services, so it needs no time to refute.
    if (it->second.info.state == member_state::leaving)
      set_state(it->second, member_state::dead, now, actions);
  }
}

void membership_controller::expire_suspicions(time_point now, membership_actions& actions) {
  for (auto& [vm, it] : peers_) {
    const bool is_over = it.info.state == member_state::suspect && now >= it.suspicion_end;
    if (is_over) set_state(it, member_state::dead, now, actions);
  }
}

void membership_controller::forget_dead(time_point now) {
  std::erase_if(peers_, [&](const auto& entry) {
    const auto& it = entry.second;
    const bool is_old =
        !it.is_seed && it.info.state == member_state::dead && now - it.state_since > options_.dead_retention;
    if (is_old) pending_updates_.erase({it.transmissions, entry.first});
    return is_old;
  });
}

std::vector<member> membership_controller::choose_updates(const vm_id& to, bool always_include_receiver) {
  std::vector<member> chosen;
  std::size_t bytes = 0;
  const auto add = [&](const member& entry) {
    if (chosen.size() >= options_.updates_per_datagram) return false;
    if (bytes + max_wire_size(entry) > options_.max_update_bytes) return false;
    bytes += max_wire_size(entry);
    chosen.push_back(entry);
    return true;
  };
  add(self_);
  const auto receiver = peers_.find(to);
  const bool includes_receiver =
      receiver != peers_.end() && receiver->second.is_known &&
      (always_include_receiver || receiver->second.info.state != member_state::alive);
  if (includes_receiver) add(receiver->second.info);

  std::vector<peer*> sent;
  for (const auto& [transmissions, vm] : pending_updates_) {
    auto& it = peers_.at(vm);
    if (vm == to) continue;
    if (!add(it.info)) break;
    sent.push_back(&it);
  }
  for (auto* it : sent) {
    pending_updates_.erase({it->transmissions, it->info.vm});
    ++it->transmissions;
    if (it->transmissions < transmission_limit()) pending_updates_.emplace(it->transmissions, it->info.vm);
  }

  auto next = peers_.upper_bound(last_refreshed_);
  for (std::size_t i = 0; i < std::min(options_.anti_entropy_entries, peers_.size()); ++i) {
    if (next == peers_.end()) next = peers_.begin();
    last_refreshed_ = next->first;
    const bool is_included = std::ranges::find(chosen, next->first, &member::vm) != chosen.end();
    if (next->second.is_known && next->first != to && !is_included && !add(next->second.info)) break;
    ++next;
  }
  return chosen;
}

}  // namespace bulrushlift
