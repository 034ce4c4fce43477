#include "fleet/owner_assignment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

namespace bulrushlift {
namespace {

std::vector<std::string> make_keys(std::size_t count) {
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < count; ++i) keys.push_back("ledger-" + std::to_string(i));
  std::sort(keys.begin(), keys.end());
  return keys;
}

/// A fleet of `large` VMs with several times the capacity of `small` other ones.
std::map<vm_id, vm_resources> uneven_fleet(std::size_t large, std::size_t small) {
  std::map<vm_id, vm_resources> vms;
  for (std::size_t i = 0; i < large; ++i) vms.emplace("large-" + std::to_string(i), vm_resources{0.5, 200});
  for (std::size_t i = 0; i < small; ++i) vms.emplace("small-" + std::to_string(i), vm_resources{0.08, 10});
  return vms;
}

std::map<vm_id, std::size_t> owned_by_vm(const std::map<std::string, std::vector<vm_id>>& assigned) {
  std::map<vm_id, std::size_t> owned;
  for (const auto& [key, order] : assigned) ++owned[order.front()];
  return owned;
}

// Guards against small VMs that limit the services which they own while large VMs own none.
TEST_CASE("Few services on an uneven fleet are owned by the large VMs, evenly") {
  const auto owned = owned_by_vm(assign_by_capacity(make_keys(8), weigh(uneven_fleet(2, 30)), 6));
  CHECK(owned.size() == 2);
  for (const auto& [vm, count] : owned) {
    CAPTURE(vm.str());
    CHECK(count == 4);
  }
}

// Guards against a large VM that is given more than its capacity because small VMs are left out.
TEST_CASE("With many services each VM owns its share by capacity, within one service") {
  constexpr std::size_t keys = 400;
  const auto vms = weigh(uneven_fleet(6, 93));
  double total = 0;
  for (const auto& each : vms) total += each.weight;
  const auto owned = owned_by_vm(assign_by_capacity(make_keys(keys), vms, 6));
  for (const auto& each : vms) {
    const auto it = owned.find(each.vm);
    const auto count = it == owned.end() ? 0.0 : static_cast<double>(it->second);
    CAPTURE(each.vm.str(), count);
    // The level rises until the last service has an owner, which is less than one service for the smallest
    // VM.
    CHECK(count <= std::ceil(keys * each.weight / total * 1.5));
  }
}

// Guards against VMs of an older build, which announce nothing, being taken for the largest.
TEST_CASE("A VM of unknown capacity counts as the smallest known one") {
  const auto weighted = weigh({{vm_id{"old"}, {}}, {vm_id{"a"}, {0.5, 0}}, {vm_id{"b"}, {0.25, 0}}});
  for (const auto& each : weighted) {
    CHECK(each.weight == (each.vm == vm_id{"a"} ? 1.0 : 0.5));
  }
  for (const auto& each : weigh({{vm_id{"a"}, {}}, {vm_id{"b"}, {}}})) CHECK(each.weight == 1.0);
}

// Guards against announcements of another writer that would take or refuse all services.
TEST_CASE("Absurd capacities are brought into a sensible range") {
  CHECK(capacity_of({-1, 10}) == 0);
  CHECK(capacity_of({0, 10}) == 0);
  CHECK(capacity_of({std::numeric_limits<double>::quiet_NaN(), 10}) == 0);
  CHECK(capacity_of({1e300, 0}) <= 1'024);
  CHECK(capacity_of({1e-300, 0}) >= 0.01);
  CHECK(capacity_of({0.5, 1e-9}) > 0);
  CHECK(capacity_of({0.5, -3}) == 0.5);
}

TEST_CASE("No VM means no owner") {
  CHECK(assign_by_capacity(make_keys(3), {}, 6).empty());
  CHECK(assign_by_capacity({}, weigh(uneven_fleet(1, 1)), 6).empty());
}

}  // namespace
}  // namespace bulrushlift
