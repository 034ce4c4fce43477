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

// Guards against statements that reach a leaving primary for as long as no other target leads.
TEST_CASE("A leaving primary that nobody replaces gets no statement after its bound") {
  session_deployment deployment{"late_drain", 2, false, {{"target_drain_ms", 1'600}}};
  const auto caller = deployment.session(0, "orders");
  deployment.platform->faults().refused_promotions = 1'000'000;
  deployment.announce("i-a", "draining");

  int writes = 0;
  deployment.await("refusal", [&] {
    const auto id = "w" + std::to_string(++writes);
    return caller->ask_joined("QUERY " + id + " WRITE hide 7").starts_with("ERROR BUSY");
  });
  CHECK(caller->ask_joined("QUERY late WRITE hide 8").starts_with("ERROR BUSY"));
  CHECK(count_runs(deployment, "late") == 0);

  deployment.platform->faults().refused_promotions = 0;
  deployment.await("write at the next primary",
                   [&] { return caller->ask_joined("QUERY next WRITE hide 9").starts_with("COMPLETE"); });
  CHECK(run_of(deployment, "next")->target != "i-a");
}

}  // namespace
}  // namespace bulrushlift::entry
