#include <catch2/catch.hpp>

#include "entry/session_deployment_fake.h"
#include "fleet/gateway_table.h"

// End-to-end tests of a fleet in two data centres that is large enough for gateways: the VMs with even
// numbers and target i-b are in "north", the others in "south".

namespace bulrushlift::entry {
namespace {

constexpr std::size_t vms = 6;

/// @return the VM that is the gateway of the service in a data centre while all VMs run.
std::size_t gateway(const std::string& service, const std::string& data_centre) {
  std::map<vm_id, listed_vm> listed;
  std::vector<member> members;
  for (std::size_t i = 0; i < vms; ++i) {
    const vm_id vm{"entry-" + std::to_string(i)};
    const data_centre_id centre{i % 2 == 0 ? "north" : "south"};
    listed.emplace(vm, listed_vm{centre, {}});
    members.push_back({vm, "", centre, incarnation_id{1}, member_state::alive});
  }
  const auto table = gateway_table::build({service_id{service}}, listed, members);
  const auto name = table.gateway(service_id{service}, data_centre_id{data_centre}).value().str();
  return static_cast<std::size_t>(std::stoul(name.substr(name.find('-') + 1)));
}

/// Reads until a read runs on the target.
void await_read_on(session_deployment& deployment, test_caller& caller, const std::string& target) {
  static int reads = 0;
  deployment.await("read on " + target, [&] {
    const auto id = "a" + std::to_string(++reads);
    const auto answer = caller.ask_joined("QUERY " + id + " READ hide");
    return answer.starts_with("ROW") && run_of(deployment, id)->target == target;
  });
}

/// Makes ten reads, and checks that each runs on the target.
void check_reads_on(session_deployment& deployment, test_caller& caller, const std::string& target) {
  static int reads = 0;
  for (int i = 0; i < 10; ++i) {
    const auto id = "n" + std::to_string(++reads);
    CHECK(caller.ask_joined("QUERY " + id + " READ hide").starts_with("ROW"));
    CHECK(run_of(deployment, id)->target == target);
  }
}

// Guards against reads that cross between data centres though a replica stands beside the caller.
TEST_CASE("Reads run in the data centre of the caller, also after its gateway was lost") {
  session_deployment deployment{"gateways", vms, false, nlohmann::json::object(), true};
  const auto north_gateway = gateway("ledger", "north");
  // A VM of the same data centre that is not the gateway.
  const auto north = north_gateway == 0 ? std::size_t{2} : std::size_t{0};
  const auto stock = deployment.session(north, "stock");
  const auto orders = deployment.session(north, "orders");
  await_read_on(deployment, *stock, "i-b");
  check_reads_on(deployment, *stock, "i-b");
  CHECK(orders->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE signed"));
  CHECK(run_of(deployment, "w1")->target == "i-a");

  deployment.process(north_gateway).kill();
  await_read_on(deployment, *stock, "i-b");
  check_reads_on(deployment, *stock, "i-b");
}

// Guards against callers that lose their reads with the only target of their data centre, and against work
// that stays away after the target is back.
TEST_CASE("Reads leave the data centre while its target fails, and return") {
  session_deployment deployment{"gateways_leave", vms, false, nlohmann::json::object(), true};
  const auto stock = deployment.session(0, "stock");
  await_read_on(deployment, *stock, "i-b");
  deployment.announce("i-b", "draining");
  await_read_on(deployment, *stock, "i-c");
  deployment.announce("i-b", "ready");
  await_read_on(deployment, *stock, "i-b");
  check_reads_on(deployment, *stock, "i-b");
}

// Guards against statements that are sent to the former data centre of the primary after a failover.
TEST_CASE("Writes follow the primary into another data centre") {
  session_deployment deployment{"gateways_failover", vms, false, nlohmann::json::object(), true};
  const auto south = deployment.session(1, "orders");
  const auto north = deployment.session(0, "orders");
  CHECK(south->ask_joined("QUERY w1 WRITE hide 1").starts_with("COMPLETE"));
  deployment.database->promote("i-b");
  for (const auto& member : deployment.database->members()) deployment.announce(member, "ready");
  int writes = 0;
  for (auto* caller : {south.get(), north.get()}) {
    deployment.await("write on i-b", [&] {
      const auto id = "p" + std::to_string(++writes);
      return caller->ask_joined("QUERY " + id + " WRITE hide 2").starts_with("COMPLETE") &&
             run_of(deployment, id)->target == "i-b";
    });
  }
}

}  // namespace
}  // namespace bulrushlift::entry
