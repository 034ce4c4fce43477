#include <catch2/catch.hpp>

#include "entry/session_deployment_fake.h"

// End-to-end tests of the fencing tokens of promotions.

namespace bulrushlift::entry {
namespace {

// Guards against a repeated claim that changes nothing in the store: it got the token of the earlier one, and
// excluded no other VM.
TEST_CASE("Each order of a promotion has a fencing token of its own") {
  session_deployment deployment{"repeated_claims", 1};
  const auto caller = deployment.session(0, "orders");
  deployment.platform->faults().refused_promotions = 2;
  deployment.announce("i-a", "draining");

  const auto& orders = deployment.platform->promotions();
  deployment.await("accepted promotion", [&] { return orders.size() == 3; });

  CHECK(orders[0].token < orders[1].token);
  CHECK(orders[1].token < orders[2].token);
}

}  // namespace
}  // namespace bulrushlift::entry
