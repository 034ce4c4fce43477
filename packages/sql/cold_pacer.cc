#include "sql/cold_pacer.h"

#include <algorithm>
#include <chrono>

namespace bulrushlift::sql {
namespace {

// VMs that may take themselves for the owner of a service at the same time.
constexpr double max_senders = 2;

// Evenly spaced at a rate r, up to r + 1 statements begin within one second.
constexpr double spacing_excess = 1;

double rate_of(const cold_allowance& allowance) {
  const auto limit = allowance.per_second * allowance.overage + allowance.slack;
  return std::max(0.0, std::min(allowance.per_second, limit / max_senders - spacing_excess));
}

}  // namespace

cold_pacer::cold_pacer(const cold_allowance& allowance)
    : is_limited_(allowance.per_second > 0), rate_(rate_of(allowance)) {
  if (rate_ > 0) interval_ = std::chrono::duration_cast<duration>(std::chrono::duration<double>{1.0 / rate_});
}

void cold_pacer::on_report(const target_id& target, const report_number& number, duration remaining,
                           time_point now) {
  if (!is_limited_) return;
  const auto it = targets_.find(target);
  if (it != targets_.end() && it->second.number == number) return;
  if (remaining <= duration::zero()) {
    targets_.erase(target);
    return;
  }
  const bool is_same_process = it != targets_.end() && it->second.number.start == number.start;
  // The first statement waits for one interval too.
  const auto next_send = is_same_process ? it->second.next_send : now + interval_;
  targets_.insert_or_assign(target, cold_target{number, now + remaining, next_send});
}

bool cold_pacer::is_cold(const target_id& target, time_point now) const {
  const auto it = targets_.find(target);
  return it != targets_.end() && now < it->second.cold_until;
}

bool cold_pacer::can_send(const target_id& target, bool is_owner, time_point now) const {
  const auto it = targets_.find(target);
  if (it == targets_.end() || now >= it->second.cold_until) return true;
  return is_owner && rate_ > 0 && now >= it->second.next_send;
}

std::optional<time_point> cold_pacer::reserve(const target_id& target, time_point now) {
  const auto it = targets_.find(target);
  if (it == targets_.end() || now >= it->second.cold_until) return now;
  if (rate_ <= 0) return std::nullopt;
  const auto at = std::max(now, it->second.next_send);
  it->second.next_send = at + interval_;
  return at;
}

}  // namespace bulrushlift::sql
