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
  info.number.start = 1;
  return info;
}

target_directory directory_of_three() {
  target_directory directory;
  directory.announce(announcement(first, true), start);
  directory.announce(announcement(second, false), start);
  directory.announce(announcement(third, false), start);
  return directory;
}

template <class Action>
const Action* as(const std::optional<failover_action>& action) {
  return action ? std::get_if<Action>(&*action) : nullptr;
}

TEST_CASE("A healthy primary is left alone") {
  const auto directory = directory_of_three();
  failover_controller failover{{}};

  CHECK_FALSE(failover.on_timer(directory, {0, true, 0}, start + std::chrono::seconds{60}));
}

// Guards against a failover because of one lost answer.
TEST_CASE("One failure long ago does not replace a primary") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.on_failure(first, start);

  CHECK_FALSE(failover.on_timer(directory, {0, true, 0}, start + std::chrono::seconds{5}));
}

TEST_CASE("A primary that stays silent is replaced by the replica that received most") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  for (int i = 0; i < 3; ++i) directory.on_failure(first, start);
  const auto now = start + milliseconds{1'300};

  const auto action = failover.on_timer(directory, {0, true, 0}, now);
  const auto* survey = as<survey_targets>(action);
  REQUIRE(survey != nullptr);
  CHECK(survey->reason == loss_reason::unreachable);
  CHECK(survey->targets == std::vector<target_id>{second, third});

  const auto chosen =
      failover.on_survey({{second, point(7), false}, {third, point(9), false}}, directory, now);
  const auto* claim = as<claim_promotion>(chosen);
  REQUIRE(claim != nullptr);
  CHECK(claim->claim.target == third);

  const auto ordered = failover.on_claim(1, 42, now);
  const auto* order = as<order_promotion>(ordered);
  REQUIRE(order != nullptr);
  CHECK(order->target == third);
  CHECK(order->token == 42);
}

// Guards against a former primary that comes back alone, with commits that a promotion has dropped, and is
// promoted though it has not heard of that promotion.
TEST_CASE("A target that knows only an older term is promoted after a wait for the others") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.on_answer(first, log_point{term_id{2}, log_position{30}}, start);
  for (int i = 0; i < 3; ++i) directory.on_failure(first, start);
  auto now = start + milliseconds{1'300};
  REQUIRE(as<survey_targets>(failover.on_timer(directory, {0, true, 0}, now)) != nullptr);
  const survey_answer former{third, point(69), false, {}, term_id{1}};
  const survey_answer follower{second, point(26), false, {}, term_id{2}};

  SECTION("not at once") {
    CHECK_FALSE(failover.on_survey({former}, directory, now));
    CHECK(failover.is_idle());
  }
  SECTION("not if another one has followed the newest term, though it has received less") {
    const auto claimed = failover.on_survey({former, follower}, directory, now);
    REQUIRE(as<claim_promotion>(claimed) != nullptr);
    CHECK(as<claim_promotion>(claimed)->claim.target == second);
  }
  SECTION("but at last, because the others may be gone for good") {
    CHECK_FALSE(failover.on_survey({former}, directory, now));
    now += std::chrono::seconds{10};
    REQUIRE(as<survey_targets>(failover.on_timer(directory, {0, true, 0}, now)) != nullptr);
    CHECK(as<claim_promotion>(failover.on_survey({former}, directory, now)) != nullptr);
  }
}

TEST_CASE("A leaving primary is replaced at once") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.announce(announcement(first, true, true), start);

  const auto action = failover.on_timer(directory, {0, true, 0}, start);
  const auto* survey = as<survey_targets>(action);
  REQUIRE(survey != nullptr);
  CHECK(survey->reason == loss_reason::leaving);
}

TEST_CASE("VMs that are next in line wait for the owner") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.announce(announcement(first, true, true), start);

  CHECK_FALSE(failover.on_timer(directory, {1, true, 0}, start));
  CHECK(failover.on_timer(directory, {1, true, 0}, start + milliseconds{400}));
}

// Guards against a VM that returns from a partition and repeats a promotion that another VM has just claimed.
TEST_CASE("A claim that is seen during a survey ends it") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.announce(announcement(first, true, true), start);
  REQUIRE(failover.on_timer(directory, {0, true, 0}, start));
  failover.on_claim_seen({second, promotion_phase::ordering, 1}, 7, false, start);

  CHECK_FALSE(failover.on_survey({{third, point(9), false}}, directory, start));
  CHECK(failover.is_idle());
}

// Guards against two VMs that order promotions in turn, because the target of the first one is leaving or
// gone.
TEST_CASE("A VM leaves a service to the one that claimed last for 3 s") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.announce(announcement(first, true, true), start);
  failover.on_claim_seen({second, promotion_phase::ordering, 1}, 7, false, start);
  SECTION("the target stays") {}
  SECTION("the target leaves") { directory.announce(announcement(second, true, true), start); }
  SECTION("the target is gone") { directory.remove(second, start); }

  CHECK_FALSE(failover.on_timer(directory, {0, true, 0}, start));
  CHECK_FALSE(failover.on_timer(directory, {0, true, 0}, start + milliseconds{3'000}));
  CHECK(failover.on_timer(directory, {0, true, 0}, start + milliseconds{3'300}));
}

TEST_CASE("A VM goes on at once if the target of its own claim is gone") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.announce(announcement(first, true, true), start);
  failover.on_claim_seen({second, promotion_phase::ordering, 1}, 7, true, start);
  directory.remove(second, start);

  CHECK(failover.on_timer(directory, {0, true, 0}, start));
}

// Guards against a leaving primary that gets statements too long because each lost answer of the platform
// costs the wait for a claim.
TEST_CASE("An order without an answer is followed by the next one at once") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.announce(announcement(first, true, true), start);
  REQUIRE(failover.on_timer(directory, {0, true, 0}, start));
  REQUIRE(failover.on_survey({{second, point(1), false}}, directory, start));
  REQUIRE(failover.on_claim(1, 7, start));
  const auto now = start + milliseconds{1'200};
  CHECK_FALSE(failover.on_order(7, order_outcome::unknown, now));

  CHECK(as<survey_targets>(failover.on_timer(directory, {0, true, 0}, now)) != nullptr);
}

// Guards against a VM that cannot reach the platform and keeps the others from ordering.
TEST_CASE("A VM whose orders are refused in a row leaves the service to the others for some time") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.announce(announcement(first, true, true), start);
  auto now = start;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    REQUIRE(as<survey_targets>(failover.on_timer(directory, {0, true, 0}, now)) != nullptr);
    REQUIRE(failover.on_survey({{second, point(1), false}}, directory, now));
    REQUIRE(failover.on_claim(i, i, now));
    CHECK_FALSE(failover.on_order(i, order_outcome::refused, now));
    now += milliseconds{250};
  }

  CHECK_FALSE(failover.on_timer(directory, {0, true, 0}, now + milliseconds{4'000}));
  CHECK(failover.on_timer(directory, {0, true, 0}, now + milliseconds{4'250}));
}

// Guards against rapid surveys, which take slots of the targets, while a VM cannot reach the store.
TEST_CASE("A claim that failed is followed by a new survey after a pause") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.announce(announcement(first, true, true), start);
  REQUIRE(failover.on_timer(directory, {0, true, 0}, start));
  REQUIRE(failover.on_survey({{second, point(1), false}}, directory, start));

  CHECK_FALSE(failover.on_claim(1, std::nullopt, start));
  CHECK_FALSE(failover.on_timer(directory, {0, true, 0}, start + milliseconds{200}));
  CHECK(as<survey_targets>(failover.on_timer(directory, {0, true, 0}, start + milliseconds{250})) != nullptr);
}

TEST_CASE("Nothing is promoted while the list of targets is not trusted") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.remove(first, start);

  CHECK_FALSE(failover.on_timer(directory, {0, false, 0}, start + std::chrono::seconds{5}));
  CHECK(failover.on_timer(directory, {0, true, 0}, start + std::chrono::seconds{5}));
}

TEST_CASE("A survey that finds a primary promotes nothing") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  directory.on_read_only(first, start);
  REQUIRE(failover.on_timer(directory, {0, true, 0}, start + milliseconds{900}));

  CHECK_FALSE(failover.on_survey({{second, point(5), true}}, directory, start + milliseconds{900}));
}

}  // namespace
}  // namespace bulrushlift::sql
