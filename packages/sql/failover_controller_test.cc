#include "sql/failover_controller.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::seconds{100}};
const target_id first{"t1"};
const target_id second{"t2"};
const target_id third{"t3"};

log_point point(std::uint64_t position) { return {term_id{1}, log_position{position}}; }

target_announcement announcement(const target_id& target, bool is_primary, bool is_leaving = false) {
  target_announcement info;
  info.target = target;
  info.service = service_id{"orders"};
  info.address = "10.0.0.1:1";
  info.is_primary = is_primary;
  info.is_leaving = is_leaving;
  info.start = 1;
  return info;
}

service_board board_of_three() {
  service_board board;
  board.announce(announcement(first, true), start);
  board.announce(announcement(second, false), start);
  board.announce(announcement(third, false), start);
  return board;
}

template <class Action>
const Action* as(const std::optional<failover_action>& action) {
  return action ? std::get_if<Action>(&*action) : nullptr;
}

TEST_CASE("A healthy primary is left alone") {
  const auto board = board_of_three();
  failover_controller failover{{}};

  CHECK_FALSE(failover.on_timer(board, 0, true, start + std::chrono::seconds{60}));
}

// Guards against a failover for one lost answer.
TEST_CASE("One failure long ago does not replace a primary") {
  auto board = board_of_three();
  failover_controller failover{{}};
  board.on_failure(first, start);

  CHECK_FALSE(failover.on_timer(board, 0, true, start + std::chrono::seconds{5}));
}

TEST_CASE("A primary that stays silent is replaced by the replica that received most") {
  auto board = board_of_three();
  failover_controller failover{{}};
  for (int i = 0; i < 3; ++i) board.on_failure(first, start);
  const auto now = start + milliseconds{1'300};

  const auto action = failover.on_timer(board, 0, true, now);
  const auto* survey = as<survey_targets>(action);
  REQUIRE(survey != nullptr);
  CHECK(survey->reason == loss_reason::unreachable);
  CHECK(survey->targets == std::vector<target_id>{second, third});

  const auto chosen = failover.on_survey({{second, point(7), false}, {third, point(9), false}}, board, now);
  const auto* claim = as<claim_promotion>(chosen);
  REQUIRE(claim != nullptr);
  CHECK(claim->target == third);

  const auto ordered = failover.on_claim(42, now);
  const auto* order = as<order_promotion>(ordered);
  REQUIRE(order != nullptr);
  CHECK(order->target == third);
  CHECK(order->token == 42);
}

TEST_CASE("A leaving primary is replaced at once") {
  auto board = board_of_three();
  failover_controller failover{{}};
  board.announce(announcement(first, true, true), start);

  const auto action = failover.on_timer(board, 0, true, start);
  const auto* survey = as<survey_targets>(action);
  REQUIRE(survey != nullptr);
  CHECK(survey->reason == loss_reason::leaving);
}

TEST_CASE("VMs that are next in line wait for the owner") {
  auto board = board_of_three();
  failover_controller failover{{}};
  board.announce(announcement(first, true, true), start);

  CHECK_FALSE(failover.on_timer(board, 1, true, start));
  CHECK(failover.on_timer(board, 1, true, start + milliseconds{400}));
}

// Guards against a VM that was cut off and promotes again what another VM has just replaced.
TEST_CASE("A claim that is seen during a survey ends it") {
  auto board = board_of_three();
  failover_controller failover{{}};
  board.announce(announcement(first, true, true), start);
  REQUIRE(failover.on_timer(board, 0, true, start));
  failover.on_claim_seen(second, start);

  CHECK_FALSE(failover.on_survey({{third, point(9), false}}, board, start));
  CHECK(failover.is_idle());
}

TEST_CASE("A claim for a target that is gone does not hold up the next one") {
  auto board = board_of_three();
  failover_controller failover{{}};
  board.announce(announcement(first, true, true), start);
  failover.on_claim_seen(second, start);
  CHECK_FALSE(failover.on_timer(board, 0, true, start));

  board.remove(second, start);
  CHECK(failover.on_timer(board, 0, true, start));
}

TEST_CASE("A claim that failed is followed by a new survey") {
  auto board = board_of_three();
  failover_controller failover{{}};
  board.announce(announcement(first, true, true), start);
  REQUIRE(failover.on_timer(board, 0, true, start));
  REQUIRE(failover.on_survey({{second, point(1), false}}, board, start));

  CHECK_FALSE(failover.on_claim(std::nullopt, start));
  CHECK(as<survey_targets>(failover.on_timer(board, 0, true, start)) != nullptr);
}

TEST_CASE("Nothing is promoted while the list of targets is not trusted") {
  auto board = board_of_three();
  failover_controller failover{{}};
  board.remove(first, start);

  CHECK_FALSE(failover.on_timer(board, 0, false, start + std::chrono::seconds{5}));
  CHECK(failover.on_timer(board, 0, true, start + std::chrono::seconds{5}));
}

TEST_CASE("A survey that finds a primary promotes nothing") {
  auto board = board_of_three();
  failover_controller failover{{}};
  board.on_read_only(first, start);
  REQUIRE(failover.on_timer(board, 0, true, start + milliseconds{900}));

  CHECK_FALSE(failover.on_survey({{second, point(5), true}}, board, start + milliseconds{900}));
}

}  // namespace
}  // namespace bulrushlift::sql
