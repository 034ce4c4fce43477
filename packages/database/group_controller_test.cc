#include "database/group_controller.h"

#include <catch2/catch.hpp>

#include "database/group_world_fake.h"

namespace bulrushlift::simulation {
namespace {

using namespace std::chrono_literals;

world_options single_controller() {
  world_options options;
  options.controllers = 1;
  return options;
}

void finish_clean(group_world& world) {
  world.finish();
  INFO(world.oracle().summary());
  CHECK(world.oracle().violations().empty());
}

TEST_CASE("a healthy group acknowledges writes and yields fresh reads") {
  group_world world{single_controller()};
  world.advance(1s);
  REQUIRE(writable_primary(world.view(0)) != nullptr);
  for (int i = 0; i < 50; ++i) {
    world.write(0, 0, i % 2 == 0);
    world.transact(0, 0);
    world.read(0, 0, static_cast<std::size_t>(i));
    world.advance(20ms);
  }
  world.advance(100ms);
  CHECK(world.oracle().acknowledged() == 100);
  CHECK(world.oracle().reads() > 40);
  const auto& view = world.view(0);
  for (const auto& target : view.targets) {
    CHECK(target.is_reachable);
    const auto age = data_age(view, target.point, world.network().clock(0));
    REQUIRE(age);
    CHECK(*age < 150ms);
  }
  finish_clean(world);
}

// Guards against a failover that needs the crashed member or the store.
TEST_CASE("a crashed primary is replaced") {
  group_world world{single_controller()};
  world.advance(1s);
  world.write(0, 0, false);
  world.advance(50ms);
  world.crash_node(world.member_node(0));
  world.advance(300ms);
  const auto& view = world.view(0);
  REQUIRE(writable_primary(view) != nullptr);
  CHECK(view.primary != target_id{"t1"});
  CHECK(view.term == term_id{2});
  finish_clean(world);
}

/// Counts the operations in a state.
std::size_t count_of(group_world& world, operation::state status) {
  std::size_t count = 0;
  for (const auto& [name, op] : world.operations()) count += op.status == status ? 1 : 0;
  return count;
}

void write_for(group_world& world, duration span) {
  const auto end = world.network().now() + span;
  while (world.network().now() < end) {
    world.write(0, 0, false);
    world.advance(2ms);
  }
}

// Guards against a leaving target that keeps the writes, and a hand-over that loses answers.
TEST_CASE("a leaving primary hands over without an unknown write") {
  group_world world{single_controller()};
  world.advance(1s);
  write_for(world, 200ms);
  world.set_leaving({0});
  write_for(world, 500ms);
  world.advance(100ms);
  CHECK(world.view(0).primary != target_id{"t1"});
  CHECK(count_of(world, operation::state::unknown) == 0);
  CHECK(count_of(world, operation::state::not_run) == 0);
  CHECK(world.oracle().acknowledged() > 300);
  finish_clean(world);
}

// Guards against a primary that the owner reaches but that can't replicate.
TEST_CASE("a primary that is cut off from its group is replaced and not promoted again") {
  group_world world{single_controller()};
  world.advance(1s);
  for (std::size_t i = 1; i < 3; ++i) {
    world.network().cut(world.member_node(0), world.member_node(i));
    world.network().cut(world.member_node(i), world.member_node(0));
  }
  write_for(world, 900ms);
  CHECK(world.view(0).term == term_id{2});
  CHECK(world.view(0).primary != target_id{"t1"});
  CHECK(count_of(world, operation::state::unknown) > 0);  // Written on the old primary, never acknowledged.
  finish_clean(world);
}

// Guards against a failover for one replica's trouble.
TEST_CASE("faults of one replica change no primary") {
  group_world world{single_controller()};
  world.advance(1s);
  SECTION("crashed") { world.crash_node(world.member_node(1)); }
  SECTION("paused") { world.network().pause(world.member_node(1)); }
  SECTION("cut off") { world.network().cut(world.member_node(0), world.member_node(1)); }
  write_for(world, 2s);
  CHECK(world.view(0).term == term_id{1});
  world.advance(50ms);
  CHECK(world.oracle().acknowledged() > 900);
  finish_clean(world);
}

// Guards against a wait for an unresponsive primary beyond three polls.
TEST_CASE("a primary that stops responding is replaced after three polls") {
  group_world world{single_controller()};
  world.advance(1s);
  world.network().pause(world.member_node(0));
  world.advance(480ms);
  REQUIRE(writable_primary(world.view(0)) != nullptr);
  CHECK(world.view(0).primary != target_id{"t1"});
  finish_clean(world);
}

// Guards against an age that is based on a primary without a majority.
TEST_CASE("no freshness sample is taken without a majority") {
  group_world world{single_controller()};
  world.advance(1s);
  for (std::size_t i = 1; i < 3; ++i) world.network().cut(world.member_node(i), 0);
  const auto point = world.member(0).point();
  world.advance(1s);
  const auto age = data_age(world.view(0), point, world.network().clock(0));
  REQUIRE(age);
  CHECK(*age > 900ms);
}

// Guards against answers that are cut by an ordinary change of owner.
TEST_CASE("a former owner still acknowledges its last writes") {
  group_world world{single_controller()};
  world.advance(1s);
  for (std::size_t i = 1; i < 3; ++i) world.member(i).set_replication_lag(50ms);
  write_for(world, 20ms);
  world.set_owner(0, false);
  world.advance(200ms);
  CHECK(count_of(world, operation::state::acknowledged) == world.operations().size());
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
