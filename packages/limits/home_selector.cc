#include "limits/home_selector.h"

#include <algorithm>

namespace bulrushlift {

void home_selector::set_homes(const std::vector<vm_id>& homes, const budget_share& share) {
  std::vector<home> updated;
  for (const auto& vm : homes) {
    if (vm == self_) continue;
    auto* known = find(vm);
    updated.push_back(known != nullptr ? std::move(*known) : home{.vm = vm});
  }
  homes_ = std::move(updated);
  share_ = share;
}

home_selector::home* home_selector::find(const vm_id& vm) {
  const auto it = std::find_if(homes_.begin(), homes_.end(), [&](const home& each) { return each.vm == vm; });
  return it == homes_.end() ? nullptr : &*it;
}

const home_selector::home* home_selector::find(const vm_id& vm) const {
  const auto it = std::find_if(homes_.begin(), homes_.end(), [&](const home& each) { return each.vm == vm; });
  return it == homes_.end() ? nullptr : &*it;
}

millitokens home_selector::expected_level(const home& each, time_point now) const {
  if (!each.reported_at) return share_.capacity;
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - *each.reported_at);
  // An hour or more fills every bucket; the limit keeps the product small.
  const auto capped_us = std::min<std::int64_t>(elapsed.count(), 3'600'000'000);
  const auto seconds = capped_us / 1'000'000;
  const auto rest_us = capped_us % 1'000'000;
  const auto rate = share_.rate_per_second.value();
  const millitokens accrued{rate * seconds + rate * rest_us / 1'000'000};
  return std::min(share_.capacity, each.level + accrued);
}

millitokens home_selector::expected_level(const vm_id& vm, time_point now) const {
  const auto* each = find(vm);
  return each == nullptr ? millitokens{} : expected_level(*each, now);
}

std::optional<vm_id> home_selector::choose(millitokens needed, time_point now,
                                           const std::set<vm_id>& unreachable, std::uint64_t random) const {
  const home* best = nullptr;
  millitokens best_level;
  for (std::size_t i = 0; i < homes_.size(); ++i) {
    // The random start of the loop decides between home VMs with equal levels.
    const auto& each = homes_[(i + random) % homes_.size()];
    const bool is_pending = each.pending && !each.is_overdue;
    if (is_pending || unreachable.contains(each.vm)) continue;
    const auto level = expected_level(each, now);
    // The first two back-offs after a small loan end early once the home VM is expected to
    // have enough. A longer back-off means that other borrowers take the refill.
    const bool has_enough = each.reported_at && !each.has_failed && level >= needed &&
                            each.pause <= 2 * options_.retry_pause &&
                            now >= *each.reported_at + options_.retry_pause;
    if (each.retry_at > now && !has_enough) continue;
    if (level <= best_level) continue;
    best = &each;
    best_level = level;
  }
  if (best == nullptr) return std::nullopt;
  return best->vm;
}

std::optional<vm_id> home_selector::choose_for_urgent(time_point now, const std::set<vm_id>& unreachable,
                                                      std::uint64_t random) const {
  const home* best = nullptr;
  for (std::size_t i = 0; i < homes_.size(); ++i) {
    const auto& each = homes_[(i + random) % homes_.size()];
    const bool is_pending = each.pending && !each.is_overdue;
    if (is_pending || each.has_failed || unreachable.contains(each.vm)) continue;
    if (each.reported_at && now < *each.reported_at + options_.retry_pause) continue;
    if (best == nullptr || expected_level(each, now) > expected_level(*best, now)) best = &each;
  }
  if (best == nullptr) return std::nullopt;
  return best->vm;
}

void home_selector::on_request_sent(const vm_id& vm, const loan_request& request, millitokens expected,
                                    time_point now) {
  auto* each = find(vm);
  if (each == nullptr) return;
  each->pending = pending_request{request, expected, now};
  each->is_overdue = false;
}

std::optional<home_selector::pending_request> home_selector::on_reply(const vm_id& vm,
                                                                      const loan_reply& reply,
                                                                      time_point now) {
  auto* each = find(vm);
  if (each == nullptr || !each->pending || each->pending->request.id != reply.id) return std::nullopt;
  auto pending = std::move(*each->pending);
  each->pending.reset();
  each->is_overdue = false;
  each->has_failed = false;
  each->level = reply.level;
  each->reported_at = now;
  if (reply.amount >= pending.request.amount) {
    each->pause = duration::zero();
    each->retry_at = now;
  } else {
    // Only a home VM that lent much less than expected has other borrowers. For one whose
    // level was low as expected, the back-off must not keep doubling.
    const bool met_expectation = reply.amount > millitokens{} && reply.amount * 2 >= pending.expected;
    if (met_expectation) each->pause = duration::zero();
    back_off(*each, now);
  }
  return pending;
}

void home_selector::on_request_failed(const vm_id& vm, loan_request_id id, time_point now) {
  auto* each = find(vm);
  if (each == nullptr || !each->pending || each->pending->request.id != id) return;
  each->pending.reset();
  each->has_failed = true;
  back_off(*each, now);
}

void home_selector::expire_requests(time_point now) {
  for (auto& each : homes_) {
    if (!each.pending) continue;
    if (!each.is_overdue && each.pending->sent_at + options_.answer_timeout <= now) {
      each.is_overdue = true;
      each.has_failed = true;
      back_off(each, now);
    }
    if (each.pending->sent_at + options_.loan_lifetime <= now) each.pending.reset();
  }
}

void home_selector::back_off(home& each, time_point now) const {
  each.pause = std::clamp(each.pause * 2, options_.retry_pause, options_.retry_pause_max);
  each.retry_at = now + each.pause;
}

millitokens home_selector::pending_amount() const {
  millitokens sum;
  for (const auto& each : homes_) {
    if (each.pending && !each.is_overdue) sum += each.pending->expected;
  }
  return sum;
}

millitokens home_selector::pending_urgent() const {
  millitokens sum;
  for (const auto& each : homes_) {
    if (each.pending && !each.is_overdue) sum += each.pending->request.urgent;
  }
  return sum;
}

std::optional<time_point> home_selector::next_change(time_point now,
                                                     const std::set<vm_id>& unreachable) const {
  std::optional<time_point> next;
  const auto consider = [&next](time_point when) { next = next ? std::min(*next, when) : when; };
  for (const auto& each : homes_) {
    if (each.pending && !each.is_overdue) {
      consider(each.pending->sent_at + options_.answer_timeout);
    } else if (each.retry_at > now && !unreachable.contains(each.vm)) {
      consider(each.retry_at);
    }
  }
  return next;
}

}  // namespace bulrushlift
