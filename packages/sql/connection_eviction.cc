#include "sql/connection_eviction.h"

#include <cmath>
#include <tuple>

namespace bulrushlift::sql {
namespace {

// Time after which a use counts half. Several times the interval between the statements of a
// customer that deserves a connection of its own.
constexpr duration demand_half_life = std::chrono::seconds{5};

// Customers below this number of decayed uses are forgotten.
constexpr double min_demand = 0.01;

// A connection must have been idle for this many times the cost of an opening before another
// customer's statement that can wait has it closed.
constexpr int protected_openings = 4;

double decay(duration age) {
  const std::chrono::duration<double> half_lives{age};
  return std::exp2(-half_lives.count() / std::chrono::duration<double>{demand_half_life}.count());
}

/// @return how long a connection must have been idle before the request may have it closed.
duration protected_time(const eviction_request& request) {
  const auto protection = request.opening_time * protected_openings;
  if (request.can_wait <= protection) return duration::zero();
  // The statement for which a connection was opened gets it at once, also ahead of an urgent one.
  return request.is_urgent ? request.opening_time : protection;
}

}  // namespace

void connection_demand::on_used(const customer_id& customer, time_point now) {
  auto& uses = uses_[customer];
  uses = {uses.value * decay(now - uses.at) + 1, now};
  drop_unused(now);
}

double connection_demand::of(const customer_id& customer, time_point now) const {
  const auto it = uses_.find(customer);
  return it == uses_.end() ? 0 : it->second.value * decay(now - it->second.at);
}

void connection_demand::drop_unused(time_point now) {
  if (now - last_drop_ < demand_half_life) return;
  last_drop_ = now;
  std::erase_if(uses_, [now](const auto& each) {
    return each.second.value * decay(now - each.second.at) < min_demand;
  });
}

std::optional<std::size_t> choose_eviction(std::span<const idle_connection> idle,
                                           const eviction_request& request, time_point now) {
  const auto protection = protected_time(request);
  std::optional<std::size_t> chosen;
  // The lowest rank is closed.
  const auto rank = [&](std::size_t index) {
    const auto& each = idle[index];
    return std::tuple{-static_cast<double>(each.customer_connections), each.demand, each.last_use};
  };
  for (std::size_t i = 0; i < idle.size(); ++i) {
    if (request.held > 0 && idle[i].customer_connections <= request.held + 1) continue;
    if (now - idle[i].last_use < protection) continue;
    if (!chosen || rank(i) < rank(*chosen)) chosen = i;
  }
  return chosen;
}

}  // namespace bulrushlift::sql
