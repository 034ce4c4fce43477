#include <catch2/catch.hpp>
#include <chrono>

#include "sql/synchronous_monitor_fake.h"

// The failover of a service whose commits one of two replicas has to confirm.

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a VM that pauses replication, or ends a pause, while another one relies on it.
TEST_CASE("Replication is paused only by the VM that holds the newest claim") {
  monitor vm;
  CHECK(as<survey_targets>(vm.tick())->targets == replicas);
  const auto claim = vm.survey({status_of(second, 5), status_of(third, 7)});

  SECTION("a refused claim leaves nothing to resume") {
    CHECK_FALSE(vm.refuse(claim));
    CHECK(vm.failover.is_idle());
  }
  SECTION("a claim of another VM ends the attempt without a command") {
    REQUIRE(as<fence_targets>(vm.grant(claim, promotion_phase::fencing)) != nullptr);
    vm.see({third, promotion_phase::fencing, vm.claim.attempt + 1});
    CHECK(vm.failover.is_idle());
    CHECK_FALSE(vm.fence({status_of(second, 5, term_id{5}), status_of(third, 7, term_id{5})}));
    CHECK_FALSE(vm.tick(retry_pause));
  }
  SECTION("a survey that another VM's claim overtakes ends without a command") {
    monitor late;
    REQUIRE(late.tick());
    late.see({third, promotion_phase::fencing, 1});
    CHECK_FALSE(late.survey({status_of(second, 5), status_of(third, 7)}));
    CHECK(late.failover.is_idle());
  }
}

// Guards against losing a commit that only the replica which did not answer has.
TEST_CASE("With one synchronous replica both replicas must answer, and receive nothing meanwhile") {
  monitor vm;
  REQUIRE(vm.tick());
  CHECK_FALSE(vm.survey({status_of(second, 9), {third, std::nullopt}}));
  vm.now += retry_pause;

  const auto paused = vm.begin();
  CHECK(paused.targets == replicas);
  CHECK(paused.term == term_id{5});

  const auto again = vm.fence({status_of(second, 9, paused.term)});
  REQUIRE(as<fence_targets>(again) != nullptr);
  CHECK(as<fence_targets>(again)->targets == std::vector<target_id>{third});
  CHECK(as<fence_targets>(again)->term == paused.term);

  SECTION("the answer arrives") {
    const auto whole = vm.fence({status_of(third, 11, paused.term)});
    REQUIRE(as<claim_promotion>(whole) != nullptr);
    CHECK(as<claim_promotion>(whole)->claim.target == third);
  }
  SECTION("the answer stays away, and the leaving primary serves on") {
    vm.now += seconds{2};
    CHECK(vm.is_resumed(vm.fence({})));
  }
}

// Guards against a pause that a target ignores because it knows a newer term.
TEST_CASE("A target that did not take the pause is not counted, and the next pause is above its term") {
  monitor vm;
  const auto paused = vm.begin();
  auto stranger = status_of(third, 11, term_id{8});

  const auto again = vm.fence({status_of(second, 9, paused.term), stranger});

  REQUIRE(as<fence_targets>(again) != nullptr);
  CHECK(as<fence_targets>(again)->targets == replicas);
  CHECK(as<fence_targets>(again)->term == term_id{9});
}

TEST_CASE("Each attempt fences above every pause that a target knows") {
  monitor vm;
  REQUIRE(vm.tick());
  CHECK_FALSE(vm.survey({{second, std::nullopt, false, term_id{8}}}));
  vm.now += retry_pause;

  CHECK(vm.begin().term == term_id{9});
}

TEST_CASE("A promotion that is given up lets the replicas receive again") {
  monitor vm;
  SECTION("after a claim that failed") {
    const auto term = vm.begin().term;
    const auto claim = vm.fence({status_of(second, 9, term), status_of(third, 11, term)});
    CHECK(vm.is_resumed(vm.refuse(claim)));
  }
  SECTION("after a refused order") {
    const auto token = vm.order_third();
    CHECK(vm.is_resumed(vm.end_order(token, order_outcome::refused)));
  }
  CHECK(as<claim_promotion>(vm.failover.on_resume({}, {}, vm.now))->claim.phase == promotion_phase::settled);
}

TEST_CASE("A replica that is missing from the list counts as one that did not answer") {
  monitor vm;
  vm.directory.remove(third, start);
  REQUIRE(vm.tick());

  CHECK_FALSE(vm.survey({status_of(second, 9)}));
}

TEST_CASE("A leaving replica is asked, but not promoted") {
  monitor vm;
  vm.directory.announce(announcement(third, false, true), start);
  const auto term = vm.begin().term;

  SECTION("it has nothing that the other lacks") {
    const auto claim = vm.fence({status_of(second, 11, term), status_of(third, 11, term)});
    vm.grant(claim, promotion_phase::ordering);
    CHECK(vm.claim.target == second);
  }
  SECTION("it alone may have an acknowledged commit") {
    CHECK(vm.is_resumed(vm.fence({status_of(second, 9, term), status_of(third, 11, term)})));
  }
}

// Guards against commits that replicas receive while an order without an answer may still take effect.
TEST_CASE("An order without an answer keeps the pause until a newer order is accepted") {
  monitor vm;
  const auto token = vm.order_third();
  CHECK_FALSE(vm.end_order(token, order_outcome::unknown));

  REQUIRE(as<survey_targets>(vm.tick()) != nullptr);
  CHECK_FALSE(vm.survey({status_of(second, 9)}));
  REQUIRE(as<survey_targets>(vm.tick(retry_pause)) != nullptr);
  const auto paused =
      vm.grant(vm.survey({status_of(second, 11), status_of(third, 11)}), promotion_phase::fencing);
  CHECK(targets_of(vm.claim.unresolved) == std::vector<target_id>{third});
  const auto term = as<fence_targets>(paused)->term;
  const auto ordered = vm.grant(vm.fence({status_of(second, 11, term), status_of(third, 11, term)}),
                                promotion_phase::ordering);
  CHECK(as<order_promotion>(ordered)->target == third);
  CHECK(as<order_promotion>(ordered)->token > token);

  // The answer to the first order says nothing of the second one.
  CHECK_FALSE(vm.end_order(token, order_outcome::refused));
  CHECK_FALSE(vm.end_order(vm.version, order_outcome::accepted));

  vm.directory.announce(announcement(third, true, false), vm.now);
  vm.grant(vm.tick(), promotion_phase::settled);
  CHECK(vm.claim.unresolved.empty());
}

// Guards against a pause that ends between the answer of the platform and the promotion.
TEST_CASE("An accepted order keeps the pause until its target is the primary") {
  monitor vm;
  const auto token = vm.order_third();
  CHECK_FALSE(vm.end_order(token, order_outcome::accepted));

  REQUIRE(as<survey_targets>(vm.tick(milliseconds{1'500})) != nullptr);
  CHECK_FALSE(vm.survey({status_of(second, 9)}));
}

// Guards against a VM that takes over from one whose order may still take effect, and promotes another target
// or resumes replication.
TEST_CASE("A VM that takes over goes on with the order of its predecessor") {
  monitor vm;
  vm.directory.announce(announcement(first, true, false), start);
  const auto source = GENERATE(Catch::Generators::as<std::string>{}, "its claim", "a claim in between",
                               "a claim that the store has lost");
  CAPTURE(source);
  if (source == "its claim") vm.see({third, promotion_phase::ordering, 3});
  if (source == "a claim in between")
    vm.see({second, promotion_phase::fencing, 4, {{third, late_command_time}}});
  if (source == "a claim that the store has lost") {
    vm.see({third, promotion_phase::ordering, 3});
    vm.see({second, promotion_phase::settled, 1});
  }
  CHECK_FALSE(vm.tick(milliseconds{100}));
  CHECK(as<survey_targets>(vm.tick(claim_timeout))->reason == loss_reason::unfinished);
  const auto paused =
      vm.grant(vm.survey({status_of(second, 9), status_of(third, 9)}), promotion_phase::fencing);
  const auto term = as<fence_targets>(paused)->term;

  SECTION("it orders the same target") {
    vm.grant(vm.fence({status_of(second, 9, term), status_of(third, 9, term)}), promotion_phase::ordering);
    CHECK(vm.claim.target == third);
  }
  SECTION("it does not resume replication") {
    vm.now += seconds{2};
    CHECK_FALSE(vm.fence({status_of(second, 9, term)}));
    CHECK(vm.failover.is_idle());
  }
}

// Guards against replicas that stay paused for good because the VM that paused them is gone.
TEST_CASE("A fence that another VM left behind is ended") {
  monitor vm;
  vm.directory.announce(announcement(first, true, false), start);
  vm.see({third, promotion_phase::fencing, 3});
  CHECK_FALSE(vm.tick(milliseconds{100}));

  CHECK(vm.is_resumed(vm.tick(claim_timeout)));
  vm.grant(vm.failover.on_resume({}, {}, vm.now), promotion_phase::settled);
  CHECK(vm.claim.attempt == 5);
  CHECK_FALSE(vm.tick(claim_timeout));
}

// Guards against an answer of the store to an earlier claim that is taken for the newest one's.
TEST_CASE("The answer to an earlier claim has no effect") {
  monitor vm;
  REQUIRE(vm.tick());
  REQUIRE(vm.survey({status_of(second, 5), status_of(third, 7)}));

  CHECK_FALSE(vm.failover.on_claim(0, 11, vm.now));
  CHECK(as<fence_targets>(vm.failover.on_claim(1, 11, vm.now)) != nullptr);
}

}  // namespace
}  // namespace bulrushlift::sql
