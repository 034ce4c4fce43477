#include <catch2/catch.hpp>
#include <string>

#include "entry/session_deployment_fake.h"

// End-to-end test of the health of targets with real proxy processes, and stand-ins for the platform and a
// database with three targets.

namespace bulrushlift::entry {
namespace {

// Guards against a replica that is announced as ready, accepts connections, and fails its reads.
TEST_CASE("A failing replica is ejected without an error for callers, and returns") {
  session_deployment deployment{"session_failing_replica", 2};
  const auto owner = deployment.owner();
  const auto caller = deployment.session(owner, "orders");
  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE signed"));
  const auto stock = deployment.session(owner, "stock");
  int reads = 0;
  const auto read = [&] {
    const auto id = "s" + std::to_string(++reads);
    CHECK(stock->ask_joined("QUERY " + id + " READ hide").starts_with("ROW 7"));
    return run_of(deployment, id)->target;
  };
  std::string replica;
  deployment.await("read on a replica", [&] {
    replica = read();
    return replica != "i-a";
  });
  const auto read_until = [&](const char* change) {
    deployment.await(change, [&] {
      static_cast<void>(read());
      return deployment.has_logged(owner, {R"("event":"target_health")", R"("target":")" + replica + '"',
                                           std::string{R"("change":")"} + change + '"'});
    });
  };

  deployment.database->faults_of(replica).failed_reads = 100'000;
  read_until("ejected");
  deployment.database->faults_of(replica).failed_reads = 0;
  read_until("returned");
}

}  // namespace
}  // namespace bulrushlift::entry
