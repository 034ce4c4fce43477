#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sql/promotion_world_fake.h"

namespace bulrushlift::sql {
namespace {

using std::chrono::seconds;

/// Runs random worlds.
void check_worlds(const promotion_faults& faults) {
  std::size_t promotions = 0;
  const bool holds = rc::check([&] {
    promotion_world world{*rc::gen::arbitrary<std::uint64_t>(), faults};
    world.run(seconds{60}, seconds{60});
    promotions += world.promotions();
    if (world.violation()) RC_FAIL(*world.violation() + "\n" + world.history());
    if (world.now() - world.last_acknowledged() > seconds{1}) RC_FAIL("no commits\n" + world.history());
  });
  CHECK(holds);
  CHECK(promotions > 500);
}

// Guards against an order of lost and late messages, crashes, freezes and restores of the store in which a
// new primary lacks an acknowledged commit, and against replicas that stay paused when all faults are over.
TEST_CASE("No promotion loses an acknowledged commit, and writes come back") { check_worlds({}); }

// Guards against a VM that has just started, does not know of a command to resume that only the lost history
// of the store told, and sets a fence that this command ends.
TEST_CASE("No promotion loses an acknowledged commit though VMs start after the store came back older") {
  promotion_faults faults;
  faults.has_starts_after_restore = true;
  check_worlds(faults);
}

}  // namespace
}  // namespace bulrushlift::sql
