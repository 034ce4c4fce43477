#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "database/simulated_group_fake.h"

/// @file
/// Compares the three acknowledgement rules of section 3.3 on the member models in simulated
/// time and prints one JSON document:
///
/// - at_once: the primary's answer is passed on at once; the owner holds a lease that another
///   promoter waits out;
/// - second_member: the rule of the product;
/// - by_route: every other write at once, the rest by a second member; with the lease.

namespace bulrushlift::simulation {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

enum class rule { at_once, second_member, by_route };
constexpr std::array rules{rule::at_once, rule::second_member, rule::by_route};
constexpr std::array<std::string_view, 3> rule_names{"at_once", "second_member", "by_route"};

enum class scenario {
  none,
  primary_crash,
  primary_isolated,
  owner_with_primary_cut_off,
  owner_paused_and_cut_off
};
constexpr std::array scenarios{scenario::none, scenario::primary_crash, scenario::primary_isolated,
                               scenario::owner_with_primary_cut_off, scenario::owner_paused_and_cut_off};
constexpr std::array<std::string_view, 5> scenario_names{
    "none", "primary_crash", "primary_isolated", "owner_with_primary_cut_off", "owner_paused_and_cut_off"};

enum class lag { none, one_replica, both_replicas };
constexpr std::array lags{lag::none, lag::one_replica, lag::both_replicas};
constexpr std::array<std::string_view, 3> lag_names{"none", "one_replica_100ms", "both_replicas_100ms"};

constexpr std::uint32_t runs = 20;
constexpr duration write_pause = 2ms;
constexpr duration healthy_time = 1s;
constexpr duration fault_time = 6s;
constexpr duration lease_time = 2s;
/// Time after which the standby takes over the ownership of an owner that it can't reach.
constexpr duration suspicion_time = 1s;

/// The lease of the owner in the platform's store, which is taken to be always reachable.
class owner_lease {
 public:
  explicit owner_lease(simulated_group& group) : group_(&group) { renew(); }

  /// The owner renews while it runs; its own view counts from the time of sending.
  void renew() {
    auto& network = group_->network();
    network.after(0, lease_time / 3, [this] { renew(); });
    if (holder_ != 0) return;
    until_ = network.now() + lease_time;
    local_until_ = network.clock(0) + lease_time;
  }

  [[nodiscard]] bool is_valid(std::size_t controller) const {
    if (holder_ != controller) return false;
    return controller != 0 || group_->network().clock(0) < local_until_;
  }

  /// @return how long another promoter has to wait; it becomes the holder.
  duration acquire(std::size_t controller) {
    if (holder_ == controller) return std::max(duration{}, usable_from_ - group_->network().now());
    holder_ = controller;
    // The wait covers clock rates that are off by 1 % on either side.
    usable_from_ = until_ + lease_time / 50;
    return std::max(duration{}, usable_from_ - group_->network().now());
  }

 private:
  simulated_group* group_;
  std::size_t holder_ = 0;
  time_point until_{};
  time_point local_until_{};
  time_point usable_from_{};
};

struct measurement {
  std::size_t acknowledged = 0;
  std::size_t lost = 0;
  std::size_t old_primary = 0;
  std::vector<double> gaps_ms;
  std::vector<double> latencies_ms;
};

double to_ms(duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

void cut_off(simulated_group& group, const std::vector<node_id>& side, const std::vector<node_id>& rest) {
  for (const auto a : side) {
    for (const auto b : rest) {
      group.network().cut(a, b);
      group.network().cut(b, a);
    }
  }
}

void start_fault(simulated_group& group, scenario kind) {
  const auto primary = group.member_node(0);
  const std::vector<node_id> replicas{group.member_node(1), group.member_node(2)};
  switch (kind) {
    case scenario::none:
      return;
    case scenario::primary_crash:
      return group.crash_node(primary);
    case scenario::primary_isolated:
      return cut_off(group, {primary}, replicas);
    case scenario::owner_paused_and_cut_off:
    case scenario::owner_with_primary_cut_off:
      cut_off(group, {0, primary}, {1, replicas[0], replicas[1]});
      group.network().schedule(suspicion_time, [&group] { group.set_owner(1, true); });
      return;
  }
}

simulated_group_options make_options(std::uint32_t seed) {
  simulated_group_options options;
  options.seed = seed;
  options.clock_permille = {seed % 2 == 0 ? 10 : -10, seed % 2 == 0 ? -10 : 10};
  return options;
}

void set_lag(simulated_group& group, lag replicas) {
  if (replicas != lag::none) group.member(1).set_replication_lag(100ms);
  if (replicas == lag::both_replicas) group.member(2).set_replication_lag(100ms);
}

void write_for(simulated_group& group, rule kind, duration span) {
  const auto end = group.network().now() + span;
  for (int i = 0; group.network().now() < end; ++i) {
    const bool is_at_once = kind == rule::at_once || (kind == rule::by_route && i % 2 == 0);
    for (std::size_t controller = 0; controller < 2; ++controller) {
      if (group.view(controller).is_owner) group.write(controller, 0, false, is_at_once);
    }
    group.advance(write_pause);
  }
}

void collect(simulated_group& group, measurement& sum) {
  std::vector<time_point> times;
  for (const auto& [name, op] : group.operations()) {
    if (op.status != operation::state::acknowledged) continue;
    times.push_back(op.acknowledged_at);
    sum.latencies_ms.push_back(to_ms(op.acknowledged_at - op.sent_at));
  }
  std::sort(times.begin(), times.end());
  duration longest{};
  for (std::size_t i = 1; i < times.size(); ++i) longest = std::max(longest, times[i] - times[i - 1]);
  sum.gaps_ms.push_back(to_ms(longest));
  sum.acknowledged += times.size();
}

/// Pauses the owner once, between its decision to acknowledge a write and the answer.
class pause_at_answer {
 public:
  explicit pause_at_answer(simulated_group& group) : group_(&group) {}

  /// The pause strikes at the first decision after half of the suspicion time.
  void arm() {
    group_->network().schedule(suspicion_time / 2, [this] { is_armed_ = true; });
  }

  void on_decision(std::size_t controller) {
    if (!is_armed_ || controller != 0) return;
    is_armed_ = false;
    group_->network().pause(0);
    group_->network().schedule(2 * lease_time, [this] { group_->network().resume(0); });
  }

 private:
  simulated_group* group_;
  bool is_armed_ = false;
};

void run_once(rule kind, scenario fault, lag replicas, std::uint32_t seed, measurement& sum) {
  simulated_group group{make_options(seed)};
  owner_lease lease{group};
  pause_at_answer pause{group};
  group.set_hook([&](std::size_t controller, const group_action& action) {
    if (std::holds_alternative<acknowledge_write>(action)) pause.on_decision(controller);
  });
  acknowledgement_gate gate;
  gate.may_answer_at_once = [&](std::size_t controller) {
    const bool is_valid = lease.is_valid(controller);
    if (is_valid) pause.on_decision(controller);
    return is_valid;
  };
  if (kind != rule::second_member) {
    gate.delay_of = [&](std::size_t controller, const group_action& action) {
      return std::holds_alternative<fence_target>(action) ? lease.acquire(controller) : duration{};
    };
  }
  group.set_gate(gate);
  group.set_owner(1, false);
  group.advance(300ms);
  set_lag(group, replicas);
  write_for(group, kind, healthy_time + std::chrono::milliseconds{seed * 7 % 100});
  if (fault == scenario::owner_paused_and_cut_off) pause.arm();
  start_fault(group, fault);
  write_for(group, kind, fault_time);
  collect(group, sum);
  group.set_gate({gate.may_answer_at_once, {}});
  group.finish();
  sum.lost += group.oracle().lost();
  sum.old_primary += group.oracle().old_primary_acknowledgements();
}

json distribution(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    return values.empty() ? 0.0
                          : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
  };
  return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"max", at(1.0)}};
}

json measure(rule kind, scenario fault, lag replicas) {
  measurement sum;
  for (std::uint32_t seed = 1; seed <= runs; ++seed) run_once(kind, fault, replicas, seed, sum);
  return {{"rule", rule_names[static_cast<std::size_t>(kind)]},
          {"scenario", scenario_names[static_cast<std::size_t>(fault)]},
          {"lag", lag_names[static_cast<std::size_t>(replicas)]},
          {"runs", runs},
          {"acknowledged", sum.acknowledged},
          {"orders_lost", sum.lost},
          {"acknowledged_by_old_primary", sum.old_primary},
          {"longest_gap_ms", distribution(sum.gaps_ms)},
          {"write_latency_ms", distribution(sum.latencies_ms)}};
}

}  // namespace
}  // namespace bulrushlift::simulation

int main() {
  using namespace bulrushlift::simulation;
  auto rows = nlohmann::json::array();
  for (const auto fault : scenarios) {
    for (const auto replicas : lags) {
      for (const auto kind : rules) rows.push_back(measure(kind, fault, replicas));
    }
  }
  const nlohmann::json document{{"benchmark", "acknowledgement"}, {"simulated_time", true}, {"rows", rows}};
  std::puts(document.dump(2).c_str());
  return 0;
}
