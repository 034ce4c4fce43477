#include "database/group_controller.h"

#include <catch2/catch.hpp>

#include "database/simulated_group_fake.h"

namespace bulrushlift::simulation {
namespace {

using namespace std::chrono_literals;

simulated_group_options single_controller() {
  simulated_group_options options;
  options.controllers = 1;
  return options;
}

void finish_clean(simulated_group& group) {
  group.finish();
  INFO(group.oracle().summary());
  CHECK(group.oracle().violations().empty());
}

TEST_CASE("a healthy group acknowledges writes and yields fresh reads") {
  simulated_group group{single_controller()};
  group.advance(1s);
  REQUIRE(writable_primary(group.view(0)) != nullptr);
  for (int i = 0; i < 50; ++i) {
    group.write(0, 0, i % 2 == 0);
    group.transact(0, 0);
    group.read(0, 0, static_cast<std::size_t>(i));
    group.advance(20ms);
  }
  group.advance(100ms);
  CHECK(group.oracle().acknowledged() == 100);
  CHECK(group.oracle().reads() > 40);
  const auto& view = group.view(0);
  for (const auto& target : view.targets) {
    CHECK(target.is_reachable);
    const auto age = data_age(view, target.point, group.network().clock(0));
    REQUIRE(age);
    CHECK(*age < 150ms);
  }
  finish_clean(group);
}

// Guards against a failover that depends on the crashed member or on the store.
TEST_CASE("a crashed primary is replaced") {
  simulated_group group{single_controller()};
  group.advance(1s);
  group.write(0, 0, false);
  group.advance(50ms);
  group.crash_node(group.member_node(0));
  group.advance(300ms);
  const auto& view = group.view(0);
  REQUIRE(writable_primary(view) != nullptr);
  CHECK(view.primary != target_id{"t1"});
  CHECK(view.term == term_id{2});
  finish_clean(group);
}

/// @return the number of operations in this state.
std::size_t count_of(simulated_group& group, operation::state status) {
  std::size_t count = 0;
  for (const auto& [name, op] : group.operations()) count += op.status == status ? 1 : 0;
  return count;
}

void write_for(simulated_group& group, duration span) {
  const auto end = group.network().now() + span;
  while (group.network().now() < end) {
    group.write(0, 0, false);
    group.advance(2ms);
  }
}

// Guards against a leaving target that stays primary, and against unknown outcomes in a hand-over.
TEST_CASE("a leaving primary hands over without an unknown write") {
  simulated_group group{single_controller()};
  group.advance(1s);
  write_for(group, 200ms);
  group.set_leaving({0});
  write_for(group, 500ms);
  group.advance(100ms);
  CHECK(group.view(0).primary != target_id{"t1"});
  CHECK(count_of(group, operation::state::unknown) == 0);
  CHECK(count_of(group, operation::state::not_run) == 0);
  CHECK(group.oracle().acknowledged() > 300);
  finish_clean(group);
}

// Guards against a primary that stays in place although it can't replicate, because the owner reaches it.
TEST_CASE("a primary that is cut off from its group is replaced and not promoted again") {
  simulated_group group{single_controller()};
  group.advance(1s);
  for (std::size_t i = 1; i < 3; ++i) {
    group.network().cut(group.member_node(0), group.member_node(i));
    group.network().cut(group.member_node(i), group.member_node(0));
  }
  write_for(group, 900ms);
  CHECK(group.view(0).term == term_id{2});
  CHECK(group.view(0).primary != target_id{"t1"});
  CHECK(count_of(group, operation::state::unknown) > 0);  // Ran on the old primary, but never acknowledged.
  finish_clean(group);
}

// Guards against a failover because of a fault of one replica.
TEST_CASE("faults of one replica change no primary") {
  simulated_group group{single_controller()};
  group.advance(1s);
  SECTION("crashed") { group.crash_node(group.member_node(1)); }
  SECTION("paused") { group.network().pause(group.member_node(1)); }
  SECTION("cut off") { group.network().cut(group.member_node(0), group.member_node(1)); }
  write_for(group, 2s);
  CHECK(group.view(0).term == term_id{1});
  group.advance(50ms);
  CHECK(group.oracle().acknowledged() > 900);
  finish_clean(group);
}

// Guards against a failover that takes longer than three polls of an unresponsive primary.
TEST_CASE("a primary that stops responding is replaced after three polls") {
  simulated_group group{single_controller()};
  group.advance(1s);
  group.network().pause(group.member_node(0));
  group.advance(480ms);
  REQUIRE(writable_primary(group.view(0)) != nullptr);
  CHECK(group.view(0).primary != target_id{"t1"});
  finish_clean(group);
}

// Guards against an age of the data that is measured at a primary without a majority.
TEST_CASE("no freshness sample is taken without a majority") {
  simulated_group group{single_controller()};
  group.advance(1s);
  for (std::size_t i = 1; i < 3; ++i) group.network().cut(group.member_node(i), 0);
  const auto point = group.member(0).point();
  group.advance(1s);
  const auto age = data_age(group.view(0), point, group.network().clock(0));
  REQUIRE(age);
  CHECK(*age > 900ms);
}

// Guards against writes in flight that get no answer when the owner changes.
TEST_CASE("a former owner still acknowledges its last writes") {
  simulated_group group{single_controller()};
  group.advance(1s);
  for (std::size_t i = 1; i < 3; ++i) group.member(i).set_replication_lag(50ms);
  write_for(group, 20ms);
  group.set_owner(0, false);
  group.advance(200ms);
  CHECK(count_of(group, operation::state::acknowledged) == group.operations().size());
}

TEST_CASE("options are checked") {
  CHECK(group_options_builder{}.build().value() == group_options{});
  const auto invalid = group_options_builder{}.poll_interval(0ms).build();
  REQUIRE_FALSE(invalid);
  CHECK(invalid.error().kind == error_kind::invalid_settings);
  CHECK_FALSE(group_options_builder{}.retry_pause(50ms, 10ms).build());
  CHECK_FALSE(group_options_builder{}.primary_silence(50ms).build());
}

}  // namespace
}  // namespace bulrushlift::simulation
