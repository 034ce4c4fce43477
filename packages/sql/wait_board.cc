#include "sql/wait_board.h"

#include <algorithm>

namespace bulrushlift::sql {
namespace {

// Statements of a customer count half after each of these periods.
constexpr duration demand_period = std::chrono::seconds{1};
constexpr double forgotten_demand = 0.1;

// Reports of the queues that this VM no longer uses are dropped when there are more than this.
constexpr std::size_t max_reports = 4'096;

double to_unit_interval(std::uint64_t random) {
  constexpr int mantissa_bits = 53;
  return static_cast<double>(random >> (64 - mantissa_bits)) /
         static_cast<double>(std::uint64_t{1} << static_cast<unsigned>(mantissa_bits));
}

}  // namespace

void wait_board::record(const wait_key& key, duration wait, time_point now) {
  if (reports_.size() >= max_reports) {
    std::erase_if(reports_, [now](const auto& each) { return now - each.second.time > report_lifetime; });
  }
  reports_[key] = {std::max(wait, duration::zero()), now};
}

std::optional<known_wait> wait_board::find(const wait_key& key, time_point now) const {
  const auto it = reports_.find(key);
  if (it == reports_.end() || now - it->second.time > report_lifetime) return std::nullopt;
  return known_wait{it->second.wait, now - it->second.time};
}

double wait_board::demand_of(const customer_id& customer, time_point now) {
  while (now - period_start_ >= demand_period) {
    if (demand_.empty()) {
      period_start_ = now;
      break;
    }
    period_start_ += demand_period;
    for (auto& [name, count] : demand_) count /= 2;
    std::erase_if(demand_, [](const auto& each) { return each.second < forgotten_demand; });
    total_demand_ = 0;
    for (const auto& [name, count] : demand_) total_demand_ += count;
  }
  auto& own = demand_[customer];
  own += 1;
  total_demand_ += 1;
  return own * static_cast<double>(demand_.size()) / total_demand_;
}

bool wait_board::admits(std::span<const wait_key> keys, const customer_id& customer, duration allowed,
                        time_point now, std::uint64_t random) {
  const auto demand = demand_of(customer, now);
  std::optional<duration> shortest;
  for (const auto& each : keys) {
    const auto known = find(each, now);
    if (!known || known->age > refusal_lifetime || known->wait <= allowed) return true;
    shortest = shortest ? std::min(*shortest, known->wait) : known->wait;
  }
  if (!shortest) return true;
  // The longer the wait, the smaller the part that is sent; a customer's part shrinks with its demand.
  const auto part = std::chrono::duration<double>{allowed} / std::chrono::duration<double>{*shortest};
  return to_unit_interval(random) < part / std::max(demand, 1.0);
}

}  // namespace bulrushlift::sql
