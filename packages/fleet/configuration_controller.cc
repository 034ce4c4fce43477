#include "fleet/configuration_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.h"
#include "document/production_record.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t watchers_per_data_centre = 2;
/// A call whose answer is later than expected by this margin is overdue; the store is then read without a
/// watch on another connection. For a slow store the margin grows up to `max_margin`.
constexpr milliseconds min_watch_margin{500};
constexpr milliseconds min_read_margin{1'000};
constexpr milliseconds max_margin{2'000};
constexpr milliseconds peer_timeout{1'000};
/// The answer to an overdue call is still used within this time, since a slow store may answer late.
constexpr seconds call_lifetime{30};
constexpr std::size_t max_store_calls = 4;
/// The platform's list is delayed, and readers may see different versions of it. A target counts as leaving
/// for this time after a list named it, so that an older list does not bring it new work.
constexpr seconds leaving_retention{30};
constexpr milliseconds list_interval{2'000};
/// Interval at which a VM that does not watch asks a watcher of its data centre. Once half of the freshness
/// limit has passed without a confirmation, it asks any watcher, and more often.
constexpr milliseconds ask_interval{1'000};
constexpr milliseconds ask_interval_when_nearly_stale{500};

bool contains(const std::vector<vm_id>& names, const vm_id& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::vector<vm_id> choose_watchers(const data_centre_id& data_centre,
                                   const std::vector<configuration_member>& members) {
  std::vector<vm_id> candidates;
  for (const auto& it : members) {
    if (it.alive && it.data_centre == data_centre) candidates.push_back(it.name);
  }
  return rendezvous_choose(data_centre.str(), candidates, watchers_per_data_centre);
}

configuration_controller::configuration_controller(const settings& configured, std::uint64_t seed,
                                                   configuration_mutation mutation)
    : self_(configured.vm),
      data_centre_(configured.data_centre),
      environment_(configured.environment),
      timing_(configured.timing),
      mutation_(mutation),
      pacer_({configured.limits.platform_calls_per_second, configured.limits.platform_calls_burst,
              milliseconds{100}, configured.timing.platform_backoff},
             seed),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U))) {
  members_changed({});
}

configuration_actions configuration_controller::tick(time_point now) {
  configuration_actions actions;
  expire_calls(now);
  start_store_calls(now, actions);
  start_list(now, actions);
  start_peer_calls(now, actions);
  return actions;
}

void configuration_controller::members_changed(std::vector<configuration_member> members) {
  members_ = std::move(members);
  const auto self =
      std::find_if(members_.begin(), members_.end(), [this](const auto& it) { return it.name == self_; });
  if (self == members_.end()) {
    members_.push_back({self_, data_centre_, true});
  } else {
    self->alive = true;
  }
  std::erase_if(peers_, [this](const auto& entry) { return !is_reachable(entry.first); });
}

bool configuration_controller::is_watcher() const {
  return contains(choose_watchers(data_centre_, members_), self_);
}

bool configuration_controller::is_store_call_running() const {
  return std::any_of(store_calls_.begin(), store_calls_.end(),
                     [](const auto& entry) { return !entry.second.is_overdue; });
}

milliseconds configuration_controller::watch_wait_time() const {
  // Before an answer the last confirmation is two calls old. A tenth of the limit is left for the network.
  const auto max_wait = std::chrono::floor<milliseconds>(timing_.freshness_limit * 9 / 20 - store_latency_);
  return std::clamp(max_wait, milliseconds{0}, timing_.watch_timeout);
}

duration configuration_controller::answer_timeout(const store_call& call) const {
  const duration min_margin = call.watch ? min_watch_margin : min_read_margin;
  return call.wait + std::clamp<duration>(store_latency_ * 2, min_margin, max_margin);
}

void configuration_controller::expire_calls(time_point now) {
  for (auto& [id, call] : store_calls_) {
    if (call.is_overdue || now - call.sent_at < answer_timeout(call)) continue;
    call.is_overdue = true;
    needs_plain_read_ = true;
    // After an unanswered watch the plain read follows at once: new connections may still work.
    if (!call.watch) pacer_.failed(now);
  }
  std::erase_if(store_calls_, [now](const auto& it) { return now - it.second.sent_at > call_lifetime; });
  std::erase_if(list_calls_, [now](const auto& it) { return now - it.second > call_lifetime; });
  std::erase_if(peer_calls_, [now](const auto& it) { return now - it.second.sent_at > peer_timeout; });
}

void configuration_controller::start_store_calls(time_point now, configuration_actions& actions) {
  // Without a document every VM reads the store, so that a restarted VM need not wait for its peers.
  if (!is_watcher() && document_.generation() != generation_id{}) {
    // By the time that this VM watches again, the store may have come back from an older copy.
    needs_plain_read_ = true;
    return;
  }
  if (is_store_call_running() || !pacer_.try_call(now)) return;
  if (store_calls_.size() >= max_store_calls) store_calls_.erase(store_calls_.begin());
  const bool watch = store_version_.has_value() && !needs_plain_read_;
  const auto call = next_call();
  const auto wait = watch ? watch_wait_time() : milliseconds{0};
  store_calls_.emplace(call, store_call{now, watch, wait, false, document_.generation()});
  read_store action{call, production_path(environment_), std::nullopt, wait};
  if (watch) action.watch_after = store_version_;
  actions.emplace_back(std::move(action));
}

void configuration_controller::start_list(time_point now, configuration_actions& actions) {
  if (!is_watcher() || now < next_list_ || !pacer_.try_call(now)) return;
  next_list_ = now + list_interval;
  const auto call = next_call();
  list_calls_.emplace(call, now);
  actions.emplace_back(list_vms{call});
}

std::vector<vm_id> configuration_controller::peers_to_ask(time_point now) const {
  const bool is_nearly_stale = !confirmed_at_ || now - *confirmed_at_ > timing_.freshness_limit / 2;
  if (!is_nearly_stale) {
    if (is_watcher()) return {};
    return choose_watchers(data_centre_, members_);
  }
  std::vector<vm_id> peers;
  for (const auto& it : members_) {
    if (it.alive && it.name != self_ && contains(choose_watchers(it.data_centre, members_), it.name)) {
      peers.push_back(it.name);
    }
  }
  return peers;
}

void configuration_controller::start_peer_calls(time_point now, configuration_actions& actions) {
  if (now < next_ask_) return;
  const auto peers = peers_to_ask(now);
  const bool is_nearly_stale = !confirmed_at_ || now - *confirmed_at_ > timing_.freshness_limit / 2;
  next_ask_ = now + (is_nearly_stale ? ask_interval_when_nearly_stale : ask_interval);
  if (peers.empty()) return;
  std::uniform_int_distribution<std::size_t> choose{0, peers.size() - 1};
  ask(now, peers[choose(random_)], actions);
}

void configuration_controller::ask(time_point now, const vm_id& peer, configuration_actions& actions) {
  const auto call = next_call();
  peer_calls_.emplace(call, peer_call{peer, now});
  actions.emplace_back(ask_peer{call, peer, document_.generation()});
}

configuration_actions configuration_controller::store_answered(time_point now, configuration_call call,
                                                               const store_answer& answer) {
  configuration_actions actions;
  const auto entry = store_calls_.extract(call);
  if (entry.empty()) return actions;
  auto sent = entry.mapped();
  const bool changed = sent.watch && std::holds_alternative<store_object>(answer);
  // A watch that found a change ended early, so its duration says nothing about the store's latency.
  if (!changed) store_latency_ = std::max<duration>(now - sent.sent_at - sent.wait, duration{0});
  if (mutation_.counts_age_from_answer) sent.sent_at = now;
  if (const auto* object = std::get_if<store_object>(&answer)) {
    apply_object(now, sent, *object, actions);
  } else if (std::holds_alternative<store_unchanged>(answer) && sent.watch) {
    pacer_.succeeded();
    needs_plain_read_ = false;
    // The watch confirms the generation at its start; a peer may have sent a higher one since.
    if (sent.generation == document_.generation()) confirm(sent.sent_at);
  } else {
    pacer_.failed(now);
  }
  start_store_calls(now, actions);
  return actions;
}

void configuration_controller::apply_object(time_point now, const store_call& call,
                                            const store_object& object, configuration_actions& actions) {
  const auto record = parse_production_record(object.value);
  if (!record) {
    pacer_.failed(now);
    actions.emplace_back(reject_document{document_.generation(), "store", record.error()});
    return;
  }
  const auto current = document_.generation();
  const bool same = record->generation == current && record->text == text_;
  if (!same && !accept(record->generation, record->text, "store", call.sent_at, actions)) {
    pacer_.failed(now);
    if (record->generation <= current) actions.emplace_back(publish_generation{current});
    return;
  }
  pacer_.succeeded();
  needs_plain_read_ = false;
  store_version_ = object.version;
  if (same) confirm(call.sent_at);
}

void configuration_controller::store_failed(time_point now, configuration_call call) {
  const bool known = store_calls_.erase(call) + list_calls_.erase(call) > 0;
  if (!known) return;
  pacer_.failed(now);
  // A store that was away may come back from an older copy, in which the next changes get versions that a
  // watch from `store_version_` takes for known.
  if (!mutation_.keeps_version_after_failure) needs_plain_read_ = true;
}

bool configuration_controller::accept(generation_id generation, std::string_view text,
                                      const std::string& source, std::optional<time_point> confirmed_at,
                                      configuration_actions& actions) {
  if (generation <= document_.generation() && !mutation_.accepts_lower_generation) {
    actions.emplace_back(reject_document{
        generation, source, {error_kind::conflict, "the generation is not above the one in force"}});
    return false;
  }
  auto parsed = parse_document(text, generation);
  if (!parsed) {
    actions.emplace_back(reject_document{generation, source, parsed.error()});
    return false;
  }
  document_ = *std::move(parsed);
  text_ = text;
  confirmed_at_ = confirmed_at;
  // The version belongs to the previous document; the next call reads without a watch.
  store_version_.reset();
  actions.emplace_back(apply_document{document_, source});
  publish_leaving(actions);
  return true;
}

void configuration_controller::confirm(std::optional<time_point> at) {
  if (at && (!confirmed_at_ || *at > *confirmed_at_)) confirmed_at_ = at;
}

void configuration_controller::record_peer(const vm_id& peer, generation_id generation,
                                           std::optional<time_point> confirmed_at) {
  auto& state = peers_[peer];
  if (generation != state.generation) state = {generation, std::nullopt};
  if (confirmed_at && (!state.confirmed_at || *confirmed_at > *state.confirmed_at)) {
    state.confirmed_at = confirmed_at;
  }
}

configuration_actions configuration_controller::peer_reported(time_point now, const vm_id& peer,
                                                              const configuration_status& status,
                                                              std::optional<time_point> asked_at) {
  configuration_actions actions;
  std::optional<time_point> confirmed_at;
  if (asked_at && status.confirmed_age) confirmed_at = *asked_at - *status.confirmed_age;
  record_peer(peer, status.generation, confirmed_at);
  if (status.generation == document_.generation()) confirm(confirmed_at);
  const bool asked = std::any_of(peer_calls_.begin(), peer_calls_.end(),
                                 [&peer](const auto& entry) { return entry.second.peer == peer; });
  if (status.generation > document_.generation() && !asked) ask(now, peer, actions);
  return actions;
}

configuration_actions configuration_controller::peer_answered(time_point now, configuration_call call,
                                                              const peer_document& answer) {
  configuration_actions actions;
  const auto entry = peer_calls_.extract(call);
  if (entry.empty()) return actions;
  const auto& [peer, sent_at] = entry.mapped();
  std::optional<time_point> confirmed_at;
  if (answer.status.confirmed_age) confirmed_at = sent_at - *answer.status.confirmed_age;
  record_peer(peer, answer.status.generation, confirmed_at);
  const auto peer_generation = answer.status.generation;
  if (peer_generation == document_.generation()) {
    confirm(confirmed_at);
  } else if (peer_generation > document_.generation() && !answer.text.empty()) {
    accept(peer_generation, answer.text, peer.str(), confirmed_at, actions);
  }
  for (const auto& it : answer.leaving_targets) listed_leaving_.emplace(it, now);
  update_leaving(now, answer.leaving_targets, actions);
  return actions;
}

void configuration_controller::peer_failed(time_point /*now*/, configuration_call call) {
  peer_calls_.erase(call);
}

configuration_actions configuration_controller::vms_listed(time_point now, configuration_call call,
                                                           const std::vector<platform_vm>& vms) {
  configuration_actions actions;
  if (list_calls_.erase(call) == 0) return actions;
  pacer_.succeeded();
  std::vector<target_id> named;
  for (const auto& service : document_.services()) {
    for (const auto& target : service.targets) {
      const auto is_leaving = [&target](const platform_vm& it) {
        return it.leaving && (it.name == target.name.str() || it.address == target.address);
      };
      if (std::any_of(vms.begin(), vms.end(), is_leaving)) named.push_back(target.name);
    }
  }
  for (const auto& it : named) listed_leaving_.insert_or_assign(it, now);
  update_leaving(now, named, actions);
  return actions;
}

void configuration_controller::update_leaving(time_point now, const std::vector<target_id>& named,
                                              configuration_actions& actions) {
  std::erase_if(listed_leaving_, [&](const auto& entry) {
    return now - entry.second > leaving_retention &&
           std::find(named.begin(), named.end(), entry.first) == named.end();
  });
  publish_leaving(actions);
}

void configuration_controller::publish_leaving(configuration_actions& actions) {
  auto leaving = leaving_targets();
  if (leaving == published_leaving_) return;
  published_leaving_ = leaving;
  actions.emplace_back(apply_leaving_targets{std::move(leaving)});
}

std::vector<target_id> configuration_controller::leaving_targets() const {
  std::vector<target_id> leaving;
  for (const auto& service : document_.services()) {
    for (const auto& target : service.targets) {
      if (target.leaving || listed_leaving_.contains(target.name)) leaving.push_back(target.name);
    }
  }
  std::sort(leaving.begin(), leaving.end());
  return leaving;
}

configuration_status configuration_controller::status_at(time_point now) const {
  configuration_status status{document_.generation(), std::nullopt};
  if (confirmed_at_) status.confirmed_age = now - *confirmed_at_;
  return status;
}

peer_document configuration_controller::answer_peer(time_point now, generation_id generation) const {
  peer_document answer{status_at(now), {}, leaving_targets()};
  if (document_.generation() > generation) answer.text = text_;
  return answer;
}

configuration_call configuration_controller::next_call() noexcept {
  last_call_ = last_call_.next();
  return last_call_;
}

}  // namespace bulrushlift
