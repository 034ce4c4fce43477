#pragma once

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "sql/failover_controller.h"

/// @file
/// One VM that monitors a service whose commits one of two replicas has to confirm, for tests that play the
/// store, the targets and the platform by hand.

namespace bulrushlift::sql {

inline const time_point start{std::chrono::seconds{100}};
inline const target_id first{"t1"};
inline const target_id second{"t2"};
inline const target_id third{"t3"};
inline const std::vector<target_id> replicas{second, third};
inline const failover_view owner{0, true, 1};

inline constexpr auto retry_pause = std::chrono::milliseconds{250};
inline constexpr auto claim_timeout = std::chrono::milliseconds{3'300};
inline constexpr auto late_command_time = std::chrono::seconds{15};

inline log_point point(std::uint64_t position) { return {term_id{4}, log_position{position}}; }

inline target_announcement announcement(const target_id& target, bool is_primary, bool is_leaving) {
  target_announcement info;
  info.target = target;
  info.service = service_id{"orders"};
  info.address = "10.0.0.1:1";
  info.is_primary = is_primary;
  info.is_leaving = is_leaving;
  info.number.start = 1;
  return info;
}

inline survey_answer status_of(const target_id& target, std::uint64_t position, term_id fence = {}) {
  return {target, point(position), false, fence, term_id{4}};
}

inline std::vector<target_id> targets_of(const std::vector<pending_effect>& effects) {
  std::vector<target_id> targets;
  for (const auto& each : effects) targets.push_back(each.target);
  return targets;
}

template <class Action>
const Action* as(const std::optional<failover_action>& action) {
  return action ? std::get_if<Action>(&*action) : nullptr;
}

/// One VM, whose primary leaves.
struct monitor {
  monitor() {
    directory.announce(announcement(first, true, true), start);
    directory.announce(announcement(second, false, false), start);
    directory.announce(announcement(third, false, false), start);
    directory.on_answer(first, log_point{term_id{4}, log_position{9}}, start);
  }

  std::optional<failover_action> tick(duration pause = {}) {
    now += pause;
    return failover.on_timer(directory, owner, now);
  }
  std::optional<failover_action> survey(const std::vector<survey_answer>& answers) {
    return failover.on_survey(answers, directory, now);
  }
  std::optional<failover_action> fence(const std::vector<survey_answer>& answers) {
    return failover.on_fence(answers, directory, now);
  }
  /// The store takes the claim and gives it the next version.
  std::optional<failover_action> grant(const std::optional<failover_action>& action, promotion_phase phase) {
    const auto* written = as<claim_promotion>(action);
    REQUIRE(written != nullptr);
    CHECK(written->claim.phase == phase);
    claim = written->claim;
    return failover.on_claim(claim.attempt, ++version, now);
  }
  /// The store refuses the claim, or does not answer.
  std::optional<failover_action> refuse(const std::optional<failover_action>& action) {
    const auto* written = as<claim_promotion>(action);
    REQUIRE(written != nullptr);
    return failover.on_claim(written->claim.attempt, std::nullopt, now);
  }
  void see(const promotion_claim& other) { failover.on_claim_seen(other, ++version, false, now); }
  /// Surveys the replicas and claims the fence.
  /// @return the command to pause replication.
  fence_targets begin() {
    REQUIRE(as<survey_targets>(tick()) != nullptr);
    const auto paused = grant(survey({status_of(second, 5), status_of(third, 7)}), promotion_phase::fencing);
    REQUIRE(as<fence_targets>(paused) != nullptr);
    return *as<fence_targets>(paused);
  }
  /// Runs an attempt until the third target is ordered.
  /// @return the token of the order.
  std::uint64_t order_third() {
    const auto term = begin().term;
    const auto ordered =
        grant(fence({status_of(second, 9, term), status_of(third, 11, term)}), promotion_phase::ordering);
    REQUIRE(as<order_promotion>(ordered) != nullptr);
    CHECK(as<order_promotion>(ordered)->target == third);
    CHECK(as<order_promotion>(ordered)->token == version);
    return version;
  }
  std::optional<failover_action> end_order(std::uint64_t token, order_outcome outcome) {
    return failover.on_order(token, outcome, now);
  }
  /// Grants the claim to resume.
  /// @return whether the replicas are told to resume.
  bool is_resumed(const std::optional<failover_action>& action) {
    const auto resumed = grant(action, promotion_phase::resuming);
    return as<resume_targets>(resumed) != nullptr && as<resume_targets>(resumed)->targets == replicas;
  }

  target_directory directory;
  failover_controller failover{{}};
  time_point now = start;
  std::uint64_t version = 10;
  promotion_claim claim;  ///< The newest claim that the store has taken.
};

}  // namespace bulrushlift::sql
