#include "fleet/gateway_table.h"

#include <catch2/catch.hpp>
#include <set>

namespace bulrushlift {
namespace {

struct fleet_fake {
  std::map<vm_id, listed_vm> vms;
  std::vector<member> members;

  void add(const std::string& data_centre, std::size_t count, vm_resources resources = {}) {
    for (std::size_t i = 0; i < count; ++i) {
      const vm_id vm{data_centre + "-" + std::to_string(members.size())};
      vms.emplace(vm, listed_vm{data_centre_id{data_centre}, resources});
      members.push_back({vm, "", data_centre_id{data_centre}, incarnation_id{1}, member_state::alive});
    }
  }
  void set_state(const std::string& data_centre, member_state state) {
    for (auto& each : members) {
      if (each.data_centre.str() == data_centre) each.state = state;
    }
  }
  [[nodiscard]] gateway_table table() const { return gateway_table::build(services(), vms, members); }
  [[nodiscard]] static std::vector<service_id> services() {
    return {service_id{"ledger-1"}, service_id{"ledger-2"}, service_id{"ledger-3"}, service_id{"ledger-4"}};
  }
};

// Guards against small fleets whose few VMs would each hold connections to all targets.
TEST_CASE("A fleet without two data centres of three VMs has no gateways") {
  fleet_fake fleet;
  fleet.add("thies", 2);
  fleet.add("mbour", 30);
  CHECK_FALSE(fleet.table().is_in_use());
  fleet.add("thies", 1);
  CHECK(fleet.table().is_in_use());
}

TEST_CASE("The gateway of a data centre is a VM of that data centre") {
  fleet_fake fleet;
  fleet.add("thies", 5);
  fleet.add("mbour", 5);
  const auto table = fleet.table();
  for (const auto& service : fleet_fake::services()) {
    CHECK(table.gateway(service, data_centre_id{"thies"})->str().starts_with("thies"));
    CHECK(table.gateway(service, data_centre_id{"mbour"})->str().starts_with("mbour"));
  }
  CHECK_FALSE(table.gateway(service_id{"ledger-1"}, data_centre_id{"rufisque"}));
  CHECK_FALSE(table.gateway(service_id{"unknown"}, data_centre_id{"thies"}));
}

// Guards against all statements changing their way when the VMs of one data centre restart together.
TEST_CASE("A data centre without serving VMs keeps the others' gateways and has none itself") {
  fleet_fake fleet;
  fleet.add("thies", 4);
  fleet.add("mbour", 4);
  fleet.add("rufisque", 4);
  const auto before = fleet.table();
  fleet.set_state("mbour", member_state::dead);
  const auto after = fleet.table();
  CHECK(after.is_in_use());
  CHECK(after.covers(data_centre_id{"mbour"}));
  for (const auto& service : fleet_fake::services()) {
    CHECK_FALSE(after.gateway(service, data_centre_id{"mbour"}));
    CHECK(after.gateway(service, data_centre_id{"thies"}) ==
          before.gateway(service, data_centre_id{"thies"}));
  }
}

// Guards against a gateway that cannot be reached stopping its data centre.
TEST_CASE("The next VM of the data centre follows a failed gateway") {
  fleet_fake fleet;
  fleet.add("thies", 3);
  fleet.add("mbour", 3);
  const auto table = fleet.table();
  const service_id service{"ledger-1"};
  const data_centre_id thies{"thies"};
  std::vector<vm_id> failed;
  std::set<vm_id> seen;
  while (const auto vm = table.gateway(service, thies, failed)) {
    CHECK(seen.insert(*vm).second);
    failed.push_back(*vm);
  }
  CHECK(seen.size() == 3);
}

TEST_CASE("Large VMs of a data centre are its gateways") {
  fleet_fake fleet;
  fleet.add("thies", 20, {0.08, 10});
  fleet.add("mbour", 20, {0.08, 10});
  fleet.add("thies", 2, {0.5, 200});
  const auto table = fleet.table();
  std::set<vm_id> gateways;
  for (const auto& service : fleet_fake::services()) {
    gateways.insert(table.gateway(service, data_centre_id{"thies"}).value());
  }
  CHECK(gateways == std::set<vm_id>{vm_id{"thies-40"}, vm_id{"thies-41"}});
}

}  // namespace
}  // namespace bulrushlift
