#include <catch2/catch.hpp>
#include <chrono>

#include "sql/failover_controller.h"

// The failover of a service whose commits one of two replicas has to confirm.

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};
const target_id first{"t1"};
const target_id second{"t2"};
const target_id third{"t3"};
const std::vector<target_id> replicas{second, third};
const failover_view owner{0, true, 1};

constexpr auto retry_pause = milliseconds{250};
constexpr auto claim_timeout = milliseconds{3'300};
constexpr auto late_command_time = seconds{15};

log_point point(std::uint64_t position) { return {term_id{4}, log_position{position}}; }

target_announcement announcement(const target_id& target, bool is_primary, bool is_leaving) {
  target_announcement info;
  info.target = target;
  info.service = service_id{"orders"};
  info.address = "10.0.0.1:1";
  info.is_primary = is_primary;
  info.is_leaving = is_leaving;
  info.number.start = 1;
  return info;
}

survey_answer status_of(const target_id& target, std::uint64_t position, term_id fence = {}) {
  return {target, point(position), false, fence, term_id{4}};
}

std::vector<target_id> targets_of(const std::vector<pending_effect>& effects) {
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
