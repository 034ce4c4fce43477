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
/// Compares the three acknowledgement rules of section 3.3 of the design page on simulated
/// database members in simulated time, and prints one JSON document:
///
/// - at_once: the primary's answer is forwarded immediately. The owner holds a lease, and another
///   controller waits until it has expired before it promotes a replica.
/// - second_member: a write is acknowledged once a second member has it, as in the product.
/// - by_route: every other write follows at_once and the rest second_member; with the lease.

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
constexpr duration write_interval = 2ms;
constexpr duration healthy_duration = 1s;
constexpr duration fault_duration = 6s;
constexpr duration lease_duration = 2s;
/// Time after which the standby takes over ownership from an owner that it can't reach.
constexpr duration suspicion_timeout = 1s;

/// The owner's lease in the platform's store. The store is assumed to be always reachable.
class owner_lease {
 public:
  explicit owner_lease(simulated_group& group) : group_(&group) { renew(); }

  /// Renews the lease while the owner holds it. The owner's local expiry counts from the time of sending.
  void renew() {
    auto& network = group_->network();
    network.after(0, lease_duration / 3, [this] { renew(); });
    if (holder_ != 0) return;
    expires_at_ = network.now() + lease_duration;
    local_expires_at_ = network.clock(0) + lease_duration;
  }

  [[nodiscard]] bool is_valid(std::size_t controller) const {
    if (holder_ != controller) return false;
    return controller != 0 || group_->network().clock(0) < local_expires_at_;
  }

  /// Makes `controller` the holder.
  /// @return how long it has to wait until the previous holder's lease has certainly expired.
  duration acquire(std::size_t controller) {
    if (holder_ == controller) return std::max(duration{}, acquirable_at_ - group_->network().now());
    holder_ = controller;
    // The wait allows for clock rates that are off by 1 % on either side.
    acquirable_at_ = expires_at_ + lease_duration / 50;
    return std::max(duration{}, acquirable_at_ - group_->network().now());
  }

 private:
  simulated_group* group_;
  std::size_t holder_ = 0;
  time_point expires_at_{};
  time_point local_expires_at_{};
  time_point acquirable_at_{};
};

struct measurement {
  std::size_t acknowledged = 0;
  std::size_t lost = 0;
  std::size_t acknowledged_by_old_primary = 0;
  std::vector<double> gaps_ms;
  std::vector<double> latencies_ms;
};

double to_ms(duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

void cut_off(simulated_group& group, const std::vector<node_id>& isolated, const std::vector<node_id>& rest) {
  for (const auto a : isolated) {
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
      group.network().schedule(suspicion_timeout, [&group] { group.set_owner(1, true); });
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

void run_writes(simulated_group& group, rule kind, duration span) {
  const auto end = group.network().now() + span;
  for (int i = 0; group.network().now() < end; ++i) {
    const bool is_at_once = kind == rule::at_once || (kind == rule::by_route && i % 2 == 0);
    for (std::size_t controller = 0; controller < 2; ++controller) {
      if (group.view(controller).is_owner) group.write(controller, 0, false, is_at_once);
    }
    group.advance(write_interval);
  }
}

void collect(simulated_group& group, measurement& totals) {
  std::vector<time_point> times;
  for (const auto& [name, op] : group.operations()) {
    if (op.status != operation::state::acknowledged) continue;
    times.push_back(op.acknowledged_at);
    totals.latencies_ms.push_back(to_ms(op.acknowledged_at - op.sent_at));
  }
  std::sort(times.begin(), times.end());
  duration longest{};
  for (std::size_t i = 1; i < times.size(); ++i) longest = std::max(longest, times[i] - times[i - 1]);
  totals.gaps_ms.push_back(to_ms(longest));
  totals.acknowledged += times.size();
}

/// Pauses the owner once, between the decision to acknowledge a write and the sending of the answer.
class pause_at_answer {
 public:
  explicit pause_at_answer(simulated_group& group) : group_(&group) {}

  /// Arms the pause for the first decision after half of the suspicion timeout.
  void arm() {
    group_->network().schedule(suspicion_timeout / 2, [this] { is_armed_ = true; });
  }

  void on_decision(std::size_t controller) {
    if (!is_armed_ || controller != 0) return;
    is_armed_ = false;
    group_->network().pause(0);
    group_->network().schedule(2 * lease_duration, [this] { group_->network().resume(0); });
  }

 private:
  simulated_group* group_;
  bool is_armed_ = false;
};

void run_once(rule kind, scenario fault, lag replicas, std::uint32_t seed, measurement& totals) {
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
  run_writes(group, kind, healthy_duration + std::chrono::milliseconds{seed * 7 % 100});
  if (fault == scenario::owner_paused_and_cut_off) pause.arm();
  start_fault(group, fault);
  run_writes(group, kind, fault_duration);
  collect(group, totals);
  group.set_gate({gate.may_answer_at_once, {}});
  group.finish();
  totals.lost += group.oracle().lost();
  totals.acknowledged_by_old_primary += group.oracle().old_primary_acknowledgements();
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
  measurement totals;
  for (std::uint32_t seed = 1; seed <= runs; ++seed) run_once(kind, fault, replicas, seed, totals);
  return {{"rule", rule_names[static_cast<std::size_t>(kind)]},
          {"scenario", scenario_names[static_cast<std::size_t>(fault)]},
          {"lag", lag_names[static_cast<std::size_t>(replicas)]},
          {"runs", runs},
          {"acknowledged", totals.acknowledged},
          {"orders_lost", totals.lost},
          {"acknowledged_by_old_primary", totals.acknowledged_by_old_primary},
          {"longest_gap_ms", distribution(totals.gaps_ms)},
          {"write_latency_ms", distribution(totals.latencies_ms)}};
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
