#include "soak/soak_oracle.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace bulrushlift::soak {

void soak_oracle::report(std::string rule, std::string detail) {
  violations_.push_back({std::move(rule), std::move(detail)});
}

std::vector<std::string> soak_oracle::items() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : items_) names.push_back(name);
  return names;
}

void soak_oracle::on_write_sent(const std::string& item, std::uint64_t number) {
  items_[item].outcomes.emplace(number, write_outcome::pending);
}

void soak_oracle::on_write_ended(const std::string& item, std::uint64_t number, write_outcome outcome,
                                 time_point now) {
  auto& state = items_[item];
  state.outcomes[number] = outcome;
  if (outcome == write_outcome::refused && state.committed.contains(number)) {
    report("REFUSED", fmt::format("{} = {} was committed although its caller was told that it was refused",
                                  item, number));
  }
  if (outcome != write_outcome::acknowledged) return;
  if (state.committed.contains(number)) {
    state.acknowledged.push_back({now, number});
  } else if (!state.lost.contains(number)) {
    report("LOST", fmt::format("{} = {} was acknowledged but never committed", item, number));
  }
}

void soak_oracle::on_commit(const std::string& item, std::uint64_t number, const std::string& id) {
  auto& state = items_[item];
  const auto known = state.outcomes.find(number);
  if (known == state.outcomes.end()) {
    report("UNASKED", fmt::format("{} = {} was committed by {}, but no caller sent it", item, number, id));
    return;
  }
  if (known->second == write_outcome::refused) {
    report("REFUSED", fmt::format("{} = {} was committed by {} after it had been refused", item, number, id));
  }
  if (!state.committed.insert(number).second) {
    report("TWICE", fmt::format("{} = {} was committed twice, the last time by {}", item, number, id));
  }
}

void soak_oracle::on_promotion(const std::function<std::uint64_t(const std::string& item)>& number_of) {
  for (auto& [name, state] : items_) {
    const auto held = number_of(name);
    const auto first_lost = state.committed.upper_bound(held);
    state.lost.insert(first_lost, state.committed.end());
    state.committed.erase(first_lost, state.committed.end());
    std::erase_if(state.acknowledged, [held](const acknowledgement& each) { return each.number > held; });
  }
}

std::uint64_t soak_oracle::newest_acknowledged(const std::string& item, time_point when) const {
  const auto it = items_.find(item);
  if (it == items_.end()) return 0;
  std::uint64_t newest = 0;
  for (const auto& each : it->second.acknowledged) {
    if (each.when < when) newest = std::max(newest, each.number);
  }
  return newest;
}

void soak_oracle::on_read(const std::string& item, std::uint64_t number, std::uint64_t minimum,
                          const std::string& id) {
  if (number < minimum) {
    // A promotion during the read may have lost commits that the reader had to see.
    const auto required = std::min(minimum, newest_acknowledged(item, time_point::max()));
    if (number < required) {
      report("STALE",
             fmt::format("{} read {} = {}, but {} had been acknowledged before", id, item, number, required));
    }
  }
  if (number == 0) return;
  const auto state = items_.find(item);
  const bool was_committed = state != items_.end() && (state->second.committed.contains(number) ||
                                                       state->second.lost.contains(number));
  if (!was_committed)
    report("MIXED", fmt::format("{} read {} = {}, which was never committed", id, item, number));
}

}  // namespace bulrushlift::soak
