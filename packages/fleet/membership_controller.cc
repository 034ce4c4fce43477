#include "fleet/membership_controller.h"

#include <algorithm>
#include <array>
#include <bit>
#include <iterator>

namespace bulrushlift {
namespace {

constexpr std::array state_names{std::pair{member_state::alive, std::string_view{"alive"}},
                                 std::pair{member_state::suspect, std::string_view{"suspect"}},
                                 std::pair{member_state::leaving, std::string_view{"leaving"}},
                                 std::pair{member_state::dead, std::string_view{"dead"}}};

std::uint32_t bit_width_of(std::size_t n) noexcept { return static_cast<std::uint32_t>(std::bit_width(n)); }

}  // namespace

std::string_view name_of(member_state value) noexcept {
  return state_names[static_cast<std::size_t>(value)].second;
}

std::optional<member_state> member_state_from_name(std::string_view name) noexcept {
  for (const auto& [state, text] : state_names) {
    if (text == name) return state;
  }
  return std::nullopt;
}

bool is_newer(const member& update, const member& known) noexcept {
  if (update.incarnation != known.incarnation) return update.incarnation > known.incarnation;
  return update.state > known.state;
}

membership_controller::membership_controller(member self, membership_options options)
    : self_(std::move(self)), options_(options) {}

membership_actions membership_controller::set_seeds(const std::vector<member_seed>& seeds, time_point now) {
  for (auto& [vm, it] : peers_) it.is_seed = false;
  duplicate_address_.clear();
  for (const auto& seed : seeds) {
    if (seed.vm == self_.vm) {
      if (seed.address != self_.address) duplicate_address_ = seed.address;
      continue;
    }
    const auto [entry, is_new] = peers_.try_emplace(seed.vm);
    auto& it = entry->second;
    it.is_seed = true;
    if (is_new) it.seed_since = now;
    if (it.is_known) continue;
    it.info = {seed.vm, seed.address, seed.data_centre, incarnation_id{}, member_state::alive};
    it.state_since = now;
  }
  std::erase_if(peers_, [](const auto& entry) { return !entry.second.is_seed && !entry.second.is_known; });
  return {};
}

membership_actions membership_controller::on_message(const membership_message& message,
                                                     const std::string& from, time_point now,
                                                     std::uint64_t /*random*/) {
  membership_actions actions;
  if (stopped_) return actions;
  if (message.sender == self_.vm) {
    on_duplicate_name(message, from, actions);
    return actions;
  }
  for (const auto& update : message.updates) merge(update, now, actions);
  if (stopped_) return actions;
  switch (message.kind) {
    case membership_message_kind::ping: {
      const auto known = peers_.find(message.sender);
      // If the sender is an older process of its VM, the ack tells it that it has a successor.
      const bool is_old = known != peers_.end() && known->second.info.incarnation > message.incarnation;
      auto updates = choose_updates(message.sender, is_old);
      actions.emplace_back(send_membership{
          from, make_message(membership_message_kind::ack, message.id, self_.vm, std::move(updates))});
      break;
    }
    case membership_message_kind::indirect_ping:
      forward_ping(message, from, now, actions);
      break;
    case membership_message_kind::ack:
      on_ack(message, now, actions);
      break;
  }
  return actions;
}

void membership_controller::on_duplicate_name(const membership_message& message, const std::string& from,
                                              membership_actions& actions) {
  merge_about_self({message.sender, from, {}, message.incarnation, member_state::alive}, actions);
  const bool is_older = message.incarnation < self_.incarnation;
  if (!is_older || message.kind != membership_message_kind::ping) return;
  actions.emplace_back(
      send_membership{from, make_message(membership_message_kind::ack, message.id, self_.vm, {self_})});
}

membership_actions membership_controller::on_leave(const vm_id& sender, incarnation_id incarnation,
                                                   time_point now) {
  membership_actions actions;
  const auto it = peers_.find(sender);
  if (stopped_ || it == peers_.end()) return actions;
  auto update = it->second.info;
  update.incarnation = incarnation;
  update.state = member_state::leaving;
  merge(update, now, actions);
  return actions;
}

membership_actions membership_controller::leave(time_point /*now*/) {
  membership_actions actions;
  if (stopped_ || self_.state == member_state::leaving) return actions;
  self_.state = member_state::leaving;
  actions.emplace_back(member_changed{self_});
  for (const auto& [vm, it] : peers_) {
    if (it.is_known && is_serving(it.info.state)) {
      actions.emplace_back(send_leave{it.info.address, self_.incarnation});
    }
  }
  return actions;
}

void membership_controller::merge(const member& update, time_point now, membership_actions& actions) {
  if (update.vm == self_.vm) {
    merge_about_self(update, actions);
    return;
  }
  const auto known = peers_.find(update.vm);
  if (known == peers_.end()) {
    // Only serving members are added; otherwise old updates about forgotten dead members would circulate
    // for ever.
    if (is_serving(update.state)) apply(peers_[update.vm], update, now, actions);
    return;
  }
  auto& it = known->second;
  if (it.is_known && !is_newer(update, it.info) && !options_.skips_incarnation_check) return;
  if (options_.skips_incarnation_check && it.is_known && update == it.info) return;
  auto accepted = update;
  // Others may have lost contact with a member that still answers this VM. It becomes suspect, which gives
  // it time to refute.
  const bool answers = it.last_ack && now - *it.last_ack < suspicion_time();
  if (update.state == member_state::dead && answers && it.info.state != member_state::leaving) {
    accepted.state = member_state::suspect;
    if (it.info.incarnation == update.incarnation && it.info.state == member_state::suspect) return;
  }
  apply(it, accepted, now, actions);
}

void membership_controller::merge_about_self(const member& update, membership_actions& actions) {
  if (update.incarnation > self_.incarnation) {
    if (options_.ignores_successor) return;
    if (!stopped_) actions.emplace_back(stop_instance{update.incarnation});
    stopped_ = true;
    return;
  }
  if (update.incarnation < self_.incarnation || update.state <= self_.state) return;
  self_.incarnation = self_.incarnation.next();
}

void membership_controller::apply(peer& it, const member& update, time_point now,
                                  membership_actions& actions) {
  const bool is_restarted = it.is_known && update.incarnation > it.info.incarnation;
  if (is_restarted && update.address != it.info.address) it.last_ack.reset();
  it.info = update;
  it.is_known = true;
  set_state(it, update.state, now, actions);
}

void membership_controller::set_state(peer& it, member_state state, time_point now,
                                      membership_actions& actions) {
  it.info.state = state;
  it.state_since = now;
  if (state == member_state::suspect) it.suspicion_end = now + suspicion_time();
  reset_transmissions(it);
  actions.emplace_back(member_changed{it.info});
}

void membership_controller::reset_transmissions(peer& it) {
  pending_updates_.erase({it.transmissions, it.info.vm});
  it.transmissions = 0;
  pending_updates_.emplace(0, it.info.vm);
}

void membership_controller::on_ack(const membership_message& message, time_point now,
                                   membership_actions& actions) {
  if (const auto it = probes_.find(message.id); it != probes_.end() && it->second.target == message.subject) {
    if (const auto known = peers_.find(message.subject); known != peers_.end()) known->second.last_ack = now;
    probes_.erase(it);
    return;
  }
  const auto it = forwarded_.find(message.id);
  if (it == forwarded_.end() || it->second.subject != message.sender) return;
  auto updates = choose_updates(vm_id{}, false);
  actions.emplace_back(send_membership{it->second.requester_address,
                                       make_message(membership_message_kind::ack, it->second.requester_id,
                                                    it->second.subject, std::move(updates))});
  forwarded_.erase(it);
}

void membership_controller::forward_ping(const membership_message& request, const std::string& from,
                                         time_point now, membership_actions& actions) {
  const auto it = peers_.find(request.subject);
  if (it == peers_.end()) return;
  const auto id = ++last_id_;
  forwarded_[id] = {from, request.id, request.subject, now};
  auto updates = choose_updates(request.subject, false);
  actions.emplace_back(
      send_membership{it->second.info.address,
                      make_message(membership_message_kind::ping, id, request.subject, std::move(updates))});
}

membership_message membership_controller::make_message(membership_message_kind kind, std::uint64_t id,
                                                       const vm_id& subject,
                                                       std::vector<member> updates) const {
  return {kind, id, self_.vm, self_.incarnation, subject, std::move(updates)};
}

std::vector<member> membership_controller::members() const {
  std::vector<member> known{self_};
  for (const auto& [vm, it] : peers_) {
    if (it.is_known) known.push_back(it.info);
  }
  std::ranges::sort(known, {}, &member::vm);
  return known;
}

bool membership_controller::is_presumed(const peer& it, time_point now) const noexcept {
  return it.is_seed && !it.is_known && now - it.seed_since < options_.presumption_time;
}

std::vector<member> membership_controller::possible_members(time_point now) const {
  auto possible = members();
  for (const auto& [vm, it] : peers_) {
    if (is_presumed(it, now)) possible.push_back(it.info);
  }
  std::ranges::sort(possible, {}, &member::vm);
  return possible;
}

bool membership_controller::has_presumed_members(time_point now) const {
  return std::ranges::any_of(peers_, [&](const auto& entry) { return is_presumed(entry.second, now); });
}

std::vector<member> membership_controller::serving_members() const {
  auto known = members();
  std::erase_if(known, [](const member& it) { return !is_serving(it.state); });
  return known;
}

std::size_t membership_controller::live_count() const noexcept {
  const auto n = std::ranges::count_if(peers_, [](const auto& entry) { return is_pinged(entry.second); });
  return static_cast<std::size_t>(n) + 1;
}

bool membership_controller::is_pinged(const peer& it) noexcept { return it.info.state != member_state::dead; }

duration membership_controller::suspicion_time() const noexcept {
  const auto n = live_count();
  const auto periods = n <= options_.small_fleet_size ? 0 : bit_width_of(n);
  return std::max(options_.min_suspicion_periods, periods) * options_.period;
}

std::uint32_t membership_controller::transmission_limit() const noexcept {
  return 3 * bit_width_of(peers_.size() + 1);
}

std::size_t membership_controller::memory_bytes() const noexcept {
  // A tree node has three pointers and a colour besides its value.
  constexpr std::size_t node = 4 * sizeof(void*);
  std::size_t bytes = sizeof(*this) + ping_order_.capacity() * sizeof(vm_id);
  for (const auto& [vm, it] : peers_) {
    bytes += node + sizeof(vm) + sizeof(it) + it.info.address.capacity() + it.info.vm.str().capacity();
  }
  bytes += pending_updates_.size() * (node + sizeof(std::pair<std::uint32_t, vm_id>));
  bytes += probes_.size() * (node + sizeof(probe)) + forwarded_.size() * (node + sizeof(forwarded_probe));
  return bytes;
}

}  // namespace bulrushlift
