#include "fleet/watch_delegation.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace bulrushlift {
namespace {

// A return that lasted this long was a good one; the next pause is the shortest again.
constexpr duration lasting_return = std::chrono::seconds{30};

}  // namespace

std::vector<vm_id> choose_watchers(const data_centre_id& data_centre, std::span<const member> members) {
  std::vector<vm_id> serving;
  for (const auto& each : members) {
    if (each.data_centre == data_centre && is_serving(each.state)) serving.push_back(each.vm);
  }
  if (serving.size() < min_delegating_members) return {};
  return rendezvous_choose(fmt::format("watch/{}", data_centre.str()), serving, watchers_per_data_centre);
}

watch_delegation::watch_delegation(vm_id self, data_centre_id data_centre, watch_delegation_options options,
                                   std::uint64_t seed)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      options_(options),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U))) {}

std::optional<watch_source_change> watch_delegation::set_members(std::span<const member> members,
                                                                 time_point now) {
  watchers_ = choose_watchers(data_centre_, members);
  is_watcher_ = is_chosen(self_);
  if (!source_) return std::nullopt;
  if (watchers_.empty()) return change_source(std::nullopt, "the data centre is small", now);
  if (is_watcher_) return change_source(std::nullopt, "this VM watches for others", now);
  if (!is_chosen(*source_)) return change_source(preferred(), "another VM watches", now);
  return std::nullopt;
}

void watch_delegation::on_confirmed(time_point at) {
  if (!confirmed_at_ || at > *confirmed_at_) confirmed_at_ = at;
}

void watch_delegation::on_followed(const vm_id& watcher, time_point now) {
  if (source_ != watcher) return;
  searching_since_.reset();
  if (now - following_since_ >= lasting_return) return_pause_ = duration::zero();
}

void watch_delegation::on_follow_failed(const vm_id& watcher, time_point now) {
  if (source_ != watcher) return;
  if (!searching_since_) {
    searching_since_ = now;
    std::uniform_int_distribution<duration::rep> choose{0, options_.search_time.count() / 2};
    search_limit_ = options_.search_time + duration{choose(random_)};
  }
  if (!watchers_.empty()) source_ = other_than(watcher);
}

std::optional<watch_source_change> watch_delegation::on_probe_succeeded(const vm_id& watcher,
                                                                        time_point now) {
  if (source_ || is_watcher_ || !is_chosen(watcher)) return std::nullopt;
  return change_source(watcher, "it watches the store", now);
}

watch_tick_result watch_delegation::on_tick(time_point now) {
  if (watchers_.empty() || is_watcher_ || !confirmed_at_) return {};
  if (source_) {
    const bool is_old = !is_young(*confirmed_at_, now);
    const bool is_lost = searching_since_ && now - *searching_since_ >= search_limit_;
    if (!is_old && !is_lost) return {};
    lengthen_return_pause(now);
    return {change_source(std::nullopt,
                          is_lost ? "no watching VM answers" : "no VM has confirmed it recently", now),
            std::nullopt};
  }
  if (now < next_probe_) return {};
  next_probe_ = now + options_.probe_interval;
  // The two are asked in turn, because either may be the one that works.
  last_probed_ = last_probed_ ? other_than(*last_probed_) : preferred();
  return {std::nullopt, last_probed_};
}

std::optional<watch_source_change> watch_delegation::change_source(std::optional<vm_id> watcher,
                                                                   std::string_view reason, time_point now) {
  source_ = std::move(watcher);
  searching_since_.reset();
  last_probed_.reset();
  if (source_) following_since_ = now;
  return watch_source_change{source_, reason, confirmed_at_ ? now - *confirmed_at_ : duration::zero()};
}

void watch_delegation::lengthen_return_pause(time_point now) {
  return_pause_ = std::clamp(return_pause_ * 2, options_.min_return_pause, options_.max_return_pause);
  std::uniform_int_distribution<duration::rep> choose{0, return_pause_.count() / 4};
  next_probe_ = now + return_pause_ + duration{choose(random_)};
}

bool watch_delegation::is_chosen(const vm_id& vm) const {
  return std::find(watchers_.begin(), watchers_.end(), vm) != watchers_.end();
}

// The followers share the watching VMs evenly.
const vm_id& watch_delegation::preferred() const {
  return watchers_.at(rendezvous_weight("watcher", self_.str()) % watchers_.size());
}

const vm_id& watch_delegation::other_than(const vm_id& vm) const {
  for (const auto& each : watchers_) {
    if (each != vm) return each;
  }
  return watchers_.front();
}

}  // namespace bulrushlift
