#include <catch2/catch.hpp>
#include <chrono>

#include "sql/fencing_token.h"
#include "sql/synchronous_monitor_fake.h"

// Commands to resume replication, and how long they may take effect: in a service whose commits one of two
// replicas has to confirm.

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against writes that wait for as long as the platform does not answer an order: the ordered target
// may receive, because it leads with what it confirms.
TEST_CASE("The target of an order alone receives again while the order is under way") {
  monitor vm;
  const auto token = vm.order_third();
  const std::vector<target_id> chosen{third};

  SECTION("before the platform has answered") {
    const auto resumed = vm.tick();
    REQUIRE(as<resume_targets>(resumed) != nullptr);
    CHECK(as<resume_targets>(resumed)->targets == chosen);
    CHECK_FALSE(vm.failover.on_resume({}, {}, vm.now));
    CHECK_FALSE(vm.tick());
  }
  SECTION("once more if it was busy") {
    REQUIRE(as<resume_targets>(vm.tick()) != nullptr);
    CHECK_FALSE(vm.failover.on_resume(chosen, {}, vm.now));
    CHECK(as<resume_targets>(vm.tick())->targets == chosen);
  }
  SECTION("until the accepted order has taken effect") {
    CHECK_FALSE(vm.end_order(token, order_outcome::accepted));
    CHECK(as<resume_targets>(vm.tick())->targets == chosen);
  }
  SECTION("not if another VM has claimed since") {
    vm.see({third, promotion_phase::fencing, vm.claim.attempt + 1, {{third, late_command_time}}});
    CHECK_FALSE(vm.tick());
  }
}

// Guards against a second order of another target while the target of the first one may receive again.
TEST_CASE("No other target is promoted while a command to resume may reach the target of an earlier order") {
  monitor vm;
  const auto token = vm.order_third();
  REQUIRE(as<resume_targets>(vm.tick()) != nullptr);
  CHECK_FALSE(vm.failover.on_resume({third}, {third}, vm.now));
  REQUIRE(vm.is_resumed(vm.end_order(token, order_outcome::refused)));
  vm.grant(vm.failover.on_resume({}, {}, vm.now), promotion_phase::settled);
  REQUIRE(as<survey_targets>(vm.tick(retry_pause)) != nullptr);
  const auto paused =
      vm.grant(vm.survey({status_of(second, 12), status_of(third, 12)}), promotion_phase::fencing);
  const auto term = as<fence_targets>(paused)->term;

  SECTION("the attempt ends if another one is newer") {
    CHECK(vm.is_resumed(vm.fence({status_of(second, 13, term), status_of(third, 12, term)})));
  }
  SECTION("the same target goes before its equals") {
    vm.grant(vm.fence({status_of(third, 12, term), status_of(second, 12, term)}), promotion_phase::ordering);
    CHECK(vm.claim.target == third);
  }
}

// Guards against a VM that counts the time of a late command from the first claim that told of one, though
// later claims tell of another.
TEST_CASE("A claim says for how long a command to resume may still reach a target") {
  monitor vm;
  vm.see({second, promotion_phase::settled, 3, {}, {{second, seconds{1}}}});
  vm.now += seconds{4};
  vm.see({second, promotion_phase::settled, 4, {}, {{second, seconds{10}}}});
  vm.now += seconds{9};
  REQUIRE(as<survey_targets>(vm.tick()) != nullptr);
  // The pause of the second target may end, so only this one could be promoted.
  CHECK_FALSE(vm.survey({status_of(second, 5), status_of(third, 7)}));
  vm.now += seconds{1};
  vm.begin();
}

// Guards against a command to resume that is carried out late and ends the next fence.
TEST_CASE("No promotion relies on a pause that a command to resume may still end") {
  monitor vm;
  SECTION("of this VM") {
    CHECK(vm.is_resumed(vm.end_order(vm.order_third(), order_outcome::refused)));
    CHECK_FALSE(vm.failover.on_resume({third}, {third}, vm.now));
    const auto again = vm.tick(seconds{1});
    REQUIRE(as<resume_targets>(again) != nullptr);
    CHECK(as<resume_targets>(again)->targets == std::vector<target_id>{third});
    vm.grant(vm.failover.on_resume({}, {}, vm.now), promotion_phase::settled);
    CHECK(targets_of(vm.claim.resumed) == std::vector<target_id>{third});
    // The fence would hold for the third target only, which the second one is ahead of.
    const auto term = vm.begin().term;
    CHECK(vm.is_resumed(vm.fence({status_of(second, 12, term), status_of(third, 11, term)})));
    vm.grant(vm.failover.on_resume({}, {}, vm.now), promotion_phase::settled);
    vm.tick(late_command_time);
    CHECK_FALSE(vm.survey({}));
    const auto later = (vm.now += retry_pause, vm.begin().term);
    vm.grant(vm.fence({status_of(second, 12, later), status_of(third, 11, later)}),
             promotion_phase::ordering);
    CHECK(vm.claim.target == second);
  }
  SECTION("of another VM") {
    vm.see({third, promotion_phase::resuming, 3});
    REQUIRE(as<survey_targets>(vm.tick(claim_timeout)) != nullptr);
    CHECK_FALSE(vm.survey({status_of(second, 5), status_of(third, 7)}));
    vm.now += late_command_time;
    REQUIRE(as<survey_targets>(vm.tick()) != nullptr);
    vm.grant(vm.survey({status_of(second, 5), status_of(third, 7)}), promotion_phase::fencing);
  }
  SECTION("of a claim that the store lost with its newest changes") {
    vm.failover.on_store_restored(vm.now);
    REQUIRE(as<survey_targets>(vm.tick()) != nullptr);
    CHECK_FALSE(vm.survey({status_of(second, 5), status_of(third, 7)}));
    vm.now += late_command_time;
    vm.begin();
  }
  SECTION("unless the other VM has seen them confirmed") {
    vm.see({third, promotion_phase::resuming, 3});
    vm.see({third, promotion_phase::settled, 4});
    vm.begin();
  }
}

// Guards against a VM that has lost the store and goes on telling replicas to resume, though another VM has
// taken over and set a fence.
TEST_CASE("A replica that cannot be told to resume for some time is told again only after a new claim") {
  monitor vm;
  CHECK(vm.is_resumed(vm.end_order(vm.order_third(), order_outcome::refused)));
  CHECK_FALSE(vm.failover.on_resume({third}, {third}, vm.now));
  REQUIRE(as<resume_targets>(vm.tick(seconds{1})) != nullptr);
  CHECK_FALSE(vm.failover.on_resume({third}, {third}, vm.now));
  const auto again = vm.tick(seconds{1});

  SECTION("which it gets") {
    const auto resumed = vm.grant(again, promotion_phase::resuming);
    REQUIRE(as<resume_targets>(resumed) != nullptr);
    CHECK(as<resume_targets>(resumed)->targets == std::vector<target_id>{third});
  }
  SECTION("or not, and then it tells nobody") {
    CHECK_FALSE(vm.refuse(again));
    CHECK(vm.failover.is_idle());
  }
}

// Guards against a VM that has just started and does not know that the store has lost a claim, of which a
// command to resume is still under way.
TEST_CASE("A VM that has started trusts a claim only if none can have been lost after it") {
  monitor vm;
  vm.version = fencing_token({store_epoch{2}, object_version{10}});
  promotion_claim seen{second, promotion_phase::settled, 3};
  seen.epoch = 2;

  SECTION("which its epoch says") {
    vm.see(seen);
    vm.begin();
  }
  SECTION("not if the store has come back older since") {
    seen.epoch = 1;
    vm.see(seen);
    REQUIRE(as<survey_targets>(vm.tick()) != nullptr);
    CHECK_FALSE(vm.survey({status_of(second, 5), status_of(third, 7)}));
    vm.now += late_command_time;
    vm.begin();
  }
  SECTION("not as long as its own VM did not know") {
    seen.lost_history = seconds{4};
    vm.see(seen);
    REQUIRE(as<survey_targets>(vm.tick()) != nullptr);
    CHECK_FALSE(vm.survey({status_of(second, 5), status_of(third, 7)}));
    vm.now += seconds{4};
    vm.begin();
  }
  SECTION("nor if there is none, unless the whole system starts for the first time") {
    failover_options options;
    options.is_first_start = false;
    vm.failover = failover_controller{options};
    REQUIRE(as<survey_targets>(vm.tick()) != nullptr);
    CHECK_FALSE(vm.survey({status_of(second, 5), status_of(third, 7)}));
    vm.now += late_command_time;
    vm.begin();
  }
}

// Guards against a VM that finds no claim when it starts, and has to wait before its first promotion.
TEST_CASE("The first claim of a service is written while its primary is in use") {
  monitor vm;
  vm.directory.announce(announcement(first, true, false), start);
  vm.grant(vm.tick(), promotion_phase::settled);
  CHECK(vm.claim.target == first);
  CHECK_FALSE(vm.tick());
}

// Guards against a target that stays paused under the new primary because the command reached it late.
TEST_CASE("A pause without an answer is ended once it can't be carried out any more") {
  monitor vm;
  const auto term = vm.begin().term;
  REQUIRE(as<fence_targets>(vm.fence({status_of(second, 9, term), {third, std::nullopt}})) != nullptr);
  vm.grant(vm.fence({status_of(third, 9, term)}), promotion_phase::ordering);
  CHECK_FALSE(vm.end_order(vm.version, order_outcome::accepted));
  vm.directory.announce(announcement(first, false, true), vm.now);
  vm.directory.announce(announcement(vm.claim.target, true, false), vm.now);
  vm.grant(vm.tick(), promotion_phase::settled);

  CHECK_FALSE(vm.tick(seconds{10}));
  const auto resumed = vm.grant(vm.tick(seconds{5}), promotion_phase::resuming);
  CHECK(as<resume_targets>(resumed) != nullptr);
}

}  // namespace
}  // namespace bulrushlift::sql
