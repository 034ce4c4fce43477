#include <catch2/catch.hpp>

#include "sql/failover_controller.h"
#include "sql/target_directory.h"

// Guards against work for targets in evacuated data centres, and against a service that stays without a
// primary because its primary is in one.

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::seconds{100}};
const target_id first{"t1"};
const target_id second{"t2"};
const target_id third{"t3"};
const data_centre_id north{"north"};
const data_centre_id south{"south"};
const data_centre_id east{"east"};
const failover_view owner_view{0, true, 0};

target_announcement announcement(const target_id& target, const data_centre_id& data_centre,
                                 bool is_primary) {
  target_announcement info;
  info.target = target;
  info.service = service_id{"orders"};
  info.address = "10.0.0.1:1";
  info.data_centre = data_centre;
  info.slots = 2;
  info.is_primary = is_primary;
  info.number.start = 1;
  return info;
}

/// The primary is in "north".
target_directory directory_of_three() {
  target_directory directory;
  directory.announce(announcement(first, north, true), start);
  directory.announce(announcement(second, south, false), start);
  directory.announce(announcement(third, east, false), start);
  return directory;
}

log_point point(std::uint64_t position) { return {term_id{1}, log_position{position}}; }

std::vector<target_id> surveyed(const std::optional<failover_action>& action) {
  const auto* survey = action ? std::get_if<survey_targets>(&*action) : nullptr;
  return survey == nullptr ? std::vector<target_id>{} : survey->targets;
}

template <class Action>
const Action* as(const std::optional<failover_action>& action) {
  return action ? std::get_if<Action>(&*action) : nullptr;
}

TEST_CASE("Targets in an evacuated data centre are no candidates until it is taken back") {
  auto directory = directory_of_three();
  directory.set_evacuated({north, south});

  CHECK(directory.candidates({point(1), north}, start) == std::vector<target_id>{third});
  CHECK(directory.candidates({std::nullopt, north}, start).empty());
  CHECK(directory.is_blocked_by_evacuation(true));
  CHECK_FALSE(directory.is_blocked_by_evacuation(false));

  directory.set_evacuated({});
  CHECK(directory.candidates({point(1), north}, start).size() == 3);
  CHECK(directory.candidates({std::nullopt, north}, start) == std::vector<target_id>{first});
}

TEST_CASE("Slots in an evacuated data centre are no room") {
  auto directory = directory_of_three();
  directory.set_evacuated({north, south});
  for (int i = 0; i < 2; ++i) directory.on_started(third);

  CHECK_FALSE(directory.has_room(0));
  directory.set_evacuated({south});
  CHECK(directory.has_room(0));
}

// Guards against a wait for a slot while no target may run the statement.
TEST_CASE("With all data centres evacuated everything is blocked and nobody is promoted") {
  auto directory = directory_of_three();
  directory.set_evacuated({north, south, east});
  failover_controller failover{{}};

  CHECK(directory.is_blocked_by_evacuation(true));
  CHECK(directory.is_blocked_by_evacuation(false));
  CHECK_FALSE(failover.on_timer(directory, owner_view, start + std::chrono::seconds{9}));
}

// Guards against statements that are refused while the primary elsewhere is not known yet.
TEST_CASE("Without a known primary only an evacuation of all data centres blocks") {
  auto directory = directory_of_three();
  directory.on_read_only(first, start);
  directory.set_evacuated({north});

  CHECK_FALSE(directory.is_blocked_by_evacuation(true));
}

TEST_CASE("An evacuated primary is replaced at once by a target elsewhere") {
  auto directory = directory_of_three();
  directory.set_evacuated({north, south});
  failover_controller failover{{}};

  const auto action = failover.on_timer(directory, owner_view, start);
  REQUIRE(as<survey_targets>(action) != nullptr);
  CHECK(as<survey_targets>(action)->reason == loss_reason::evacuated);
  CHECK(surveyed(action) == std::vector<target_id>{third});
  const auto claim = failover.on_survey({{third, point(4), false}}, directory, start);
  REQUIRE(as<claim_promotion>(claim) != nullptr);
  CHECK(as<claim_promotion>(claim)->claim.target == third);
}

TEST_CASE("An evacuation in the middle of a survey rules its answer out") {
  auto directory = directory_of_three();
  directory.set_evacuated({north});
  failover_controller failover{{}};
  REQUIRE(failover.on_timer(directory, owner_view, start));

  directory.set_evacuated({north, south});
  const auto claim =
      failover.on_survey({{second, point(9), false}, {third, point(4), false}}, directory, start);

  REQUIRE(as<claim_promotion>(claim) != nullptr);
  CHECK(as<claim_promotion>(claim)->claim.target == third);
}

// Guards against a wait for the effect of an order, while its target must be replaced within the bound.
TEST_CASE("An evacuation of the promoted target's data centre starts the next promotion at once") {
  auto directory = directory_of_three();
  directory.set_evacuated({north});
  failover_controller failover{{}};
  REQUIRE(failover.on_timer(directory, owner_view, start));
  REQUIRE(failover.on_survey({{second, point(9), false}, {third, point(4), false}}, directory, start));
  REQUIRE(failover.on_claim(1, 7, start));
  failover.on_claim_seen({second, promotion_phase::ordering, 1}, 7, true, start);
  REQUIRE_FALSE(failover.on_order(7, order_outcome::accepted, start));

  directory.set_evacuated({north, south});
  const auto next = failover.on_timer(directory, owner_view, start + milliseconds{20});

  CHECK(surveyed(next) == std::vector<target_id>{third});
}

// Guards against a wait for ever for a VM that has not heard of the evacuation yet. Until then it is left the
// service, because it goes on itself once it hears of it, and two VMs must not order in turn.
TEST_CASE("A claim for a target in an evacuated data centre is waited for no longer than any other") {
  auto directory = directory_of_three();
  failover_controller failover{{}};
  failover.on_claim_seen({second, promotion_phase::ordering, 1}, 7, false, start);
  directory.set_evacuated({north, south});

  CHECK_FALSE(failover.on_timer(directory, owner_view, start));
  CHECK(surveyed(failover.on_timer(directory, owner_view, start + milliseconds{3'300})) ==
        std::vector<target_id>{third});
}

// Guards against a lost commit: replicas that cannot be asked count as well, so nobody is promoted without
// the answers that show every acknowledged commit.
TEST_CASE("With synchronous replicas an evacuation does not lower the answers that are needed") {
  auto directory = directory_of_three();
  directory.set_evacuated({north, south});
  failover_controller failover{{}};
  REQUIRE(failover.on_timer(directory, {0, true, 1}, start));

  const auto given_up = failover.on_survey({{third, point(4), false}}, directory, start);
  CHECK(as<claim_promotion>(given_up) == nullptr);
}

}  // namespace
}  // namespace bulrushlift::sql
