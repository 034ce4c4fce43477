#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sql/promotion_world_fake.h"

namespace bulrushlift::sql {
namespace {

using std::chrono::seconds;

// Guards against an order of lost and late messages, crashes, freezes and restores of the store in which a
// new primary lacks an acknowledged commit, and against replicas that stay paused when all faults are over.
TEST_CASE("No promotion loses an acknowledged commit, and writes come back") {
  std::size_t promotions = 0;
  const bool holds = rc::check([&] {
    promotion_world world{*rc::gen::arbitrary<std::uint64_t>(), {}};
    world.run(seconds{60}, seconds{60});
    promotions += world.promotions();
    INFO(world.history());
    if (world.violation()) RC_FAIL(*world.violation() + "\n" + world.history());
    if (world.now() - world.last_acknowledged() > seconds{1}) RC_FAIL("no commits\n" + world.history());
  });
  CHECK(holds);
  CHECK(promotions > 500);
}

}  // namespace
}  // namespace bulrushlift::sql
