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

}  // namespace
}  // namespace bulrushlift::simulation
