#include "sql/connection_quota.h"

#include <algorithm>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

// A higher limit is a mistake in the configuration; sums of limits stay far from overflow.
constexpr std::size_t max_limit = 1'000'000;

// Part of the owner's room, as a divisor, that a settled owner leaves for its successor.
constexpr std::size_t successor_reserve_divisor = 5;

// Connections per customer, in percent, that are useful to an owner. Some customers run several
// statements at a time.
constexpr std::size_t connections_per_customer_percent = 125;

// First pause before a VM holds more connections again than it had when the target refused one.
constexpr duration first_growth_pause = milliseconds{200};

// Parts of the quota, as divisors, that resting transactions of one customer and of all may hold.
constexpr std::size_t resting_customer_divisor = 4;
constexpr std::size_t resting_total_divisor = 2;

quota_terms bounded(const quota_terms& terms) noexcept {
  return {std::min(terms.limit, max_limit), std::min(terms.customers, max_limit)};
}

/// @return what the owner and its successor may hold together.
std::size_t owners_room(std::size_t limit) noexcept {
  const auto watchers = non_owner_watchers * connection_share(limit, service_role::monitor);
  return limit > watchers ? limit - watchers : std::min<std::size_t>(limit, 1);
}

}  // namespace

std::size_t settled_owner_quota(const quota_terms& terms) noexcept {
  const auto [limit, customers] = bounded(terms);
  const auto half = connection_share(limit, service_role::owner);
  if (customers <= half) return half;
  const auto room = owners_room(limit);
  const auto reserve = std::max<std::size_t>(room / successor_reserve_divisor, 1);
  const auto most = room > reserve ? room - reserve : half;
  const auto useful = customers * connections_per_customer_percent / 100;
  return std::clamp(useful, half, std::max(half, most));
}

std::size_t initial_owner_quota(const quota_terms& terms) noexcept {
  const auto limit = std::min(terms.limit, max_limit);
  const auto half = connection_share(limit, service_role::owner);
  const auto settled = settled_owner_quota(terms);
  const auto room = owners_room(limit);
  const auto left = room > settled ? room - settled : std::min<std::size_t>(limit, 1);
  return std::min(half, left);
}

void connection_quota::set_role(service_role role, time_point now) {
  if (role == role_) return;
  if (role_ == service_role::owner) ownership_end_ = now;
  role_ = role;
  role_start_ = now;
  proven_ = 0;
  growth_pause_ = {};
  growth_blocked_until_ = {};
}

void connection_quota::on_opened(std::size_t held, const quota_terms& terms, time_point now) {
  if (role_ != service_role::owner) return;
  proven_ = std::max(proven_, held + initial_owner_quota(terms));
  const bool has_grown = held > held_at_refusal_ && now >= growth_blocked_until_;
  if (has_grown) growth_pause_ /= 2;
  if (growth_pause_ < first_growth_pause) growth_pause_ = {};
}

void connection_quota::on_refused(std::size_t held, time_point now) {
  held_at_refusal_ = std::max<std::size_t>(held, 1);
  // Connections that were free before need not be free now.
  proven_ = std::min(proven_, held_at_refusal_);
  growth_pause_ = std::clamp(growth_pause_ * 2, first_growth_pause, connection_linger_time);
  growth_blocked_until_ = now + growth_pause_;
  // When the predecessor's connections are gone, the room is free at once.
  const auto linger_end = role_start_ + connection_linger_time;
  if (now < linger_end) growth_blocked_until_ = std::min(growth_blocked_until_, linger_end);
}

void connection_quota::on_reported(std::size_t total, std::size_t held, const quota_terms& terms,
                                   time_point now) {
  const auto limit = std::min(terms.limit, max_limit);
  if (role_ != service_role::owner || total < held || now < growth_blocked_until_) return;
  // The reserve of a successor and the shares of the other VMs stay free.
  const auto kept = limit - std::min(limit, settled_owner_quota(terms));
  const auto used = std::max(total - held, kept) + held;
  if (limit > used) proven_ = std::max(proven_, held + (limit - used));
}

std::size_t connection_quota::owner_quota(const quota_terms& terms, time_point now) const {
  const auto settled = settled_owner_quota(terms);
  const auto initial = initial_owner_quota(terms);
  if (settled == initial) return settled;
  if (now < growth_blocked_until_) return std::min(settled, held_at_refusal_);
  if (now - role_start_ >= connection_linger_time) return settled;
  return std::clamp(proven_, initial, settled);
}

std::size_t connection_quota::allowed(const quota_terms& terms, time_point now) const {
  if (terms.limit == 0) return 0;
  if (role_ != service_role::owner) return connection_share(std::min(terms.limit, max_limit), role_);
  return std::max<std::size_t>(owner_quota(terms, now), 1);
}

std::size_t connection_quota::allowed_idle(const quota_terms& terms, time_point now) const {
  return role_ == service_role::other ? 0 : allowed(terms, now);
}

duration connection_quota::surplus_idle_time(time_point now) const {
  // Long enough for the next statement of the same customer.
  constexpr duration usual = milliseconds{100};
  const bool is_former_owner =
      role_ != service_role::owner && ownership_end_ && now - *ownership_end_ < connection_linger_time;
  return is_former_owner ? duration::zero() : usual;
}

bool may_begin_transaction(const resting_transactions& resting, std::size_t held,
                           std::size_t quota) noexcept {
  if (held < quota || resting.of_customer == 0) return true;
  if (resting.of_customer >= std::max<std::size_t>(quota / resting_customer_divisor, 1)) return false;
  const bool is_half_resting = resting.total >= std::max<std::size_t>(quota / resting_total_divisor, 1);
  return !is_half_resting || resting.of_customer < resting.most_of_one;
}

}  // namespace bulrushlift::sql
