#include "fleet/ownership.h"

#include <catch2/catch.hpp>
#include <string>

namespace bulrushlift {
namespace {

member make_member(const std::string& name, member_state state = member_state::alive) {
  return {vm_id{name}, name + ":7000", data_centre_id{"tanta"}, incarnation_id{1}, state};
}

std::vector<member> five_members() {
  std::vector<member> members;
  for (int i = 1; i <= 5; ++i) members.push_back(make_member("entry-" + std::to_string(i)));
  return members;
}

void set_state(std::vector<member>& members, const vm_id& vm, member_state state) {
  for (auto& it : members) {
    if (it.vm == vm) it.state = state;
  }
}

const service_id orders{"orders"};

// Guards against two VMs that know the same members but place a service differently.
TEST_CASE("the placement does not depend on the order of the members") {
  auto members = five_members();
  const auto before = place_service(orders, members);
  std::reverse(members.begin(), members.end());
  REQUIRE(before);
  CHECK(before == place_service(orders, members));
  CHECK(before->owner != before->standby);
}

// Guards against moving connections because of a suspicion, and against services on leaving VMs.
TEST_CASE("suspect members keep their services, leaving and dead ones lose them to the standby") {
  auto members = five_members();
  const auto before = place_service(orders, members);
  set_state(members, before->owner, member_state::suspect);
  CHECK(place_service(orders, members) == before);
  for (const auto state : {member_state::leaving, member_state::dead}) {
    set_state(members, before->owner, state);
    CHECK(place_service(orders, members)->owner == before->standby);
  }
}

// Guards against relaying a request to a VM that has already failed for it.
TEST_CASE("the next owner is none of the failed VMs") {
  const auto members = five_members();
  std::vector<vm_id> failed;
  while (const auto next = next_owner(orders, members, failed)) {
    CHECK(std::find(failed.begin(), failed.end(), *next) == failed.end());
    failed.push_back(*next);
  }
  CHECK(failed.size() == 5);
  CHECK(failed.front() == place_service(orders, members)->owner);
  CHECK(failed[1] == place_service(orders, members)->standby);
}

// Guards against a service with no owner or two owners after a membership change.
TEST_CASE("ownership is taken and given up once") {
  auto members = five_members();
  const auto placed = place_service(orders, members);
  ownership_controller owner{placed->owner};
  ownership_controller standby{*placed->standby};
  for (auto* it : {&owner, &standby}) CHECK(it->set_services({orders}).empty());
  CHECK(std::holds_alternative<take_ownership>(owner.set_members(members).at(0)));
  CHECK(standby.set_members(members).empty());
  CHECK(owner.set_members(members).empty());

  set_state(members, placed->owner, member_state::leaving);
  const auto given = owner.set_members(members);
  CHECK(std::get<give_up_ownership>(given.at(0)).owner == placed->standby);
  CHECK(std::holds_alternative<take_ownership>(standby.set_members(members).at(0)));
  CHECK(standby.is_owned(orders));

  CHECK(std::holds_alternative<give_up_ownership>(standby.set_services({}).at(0)));
  CHECK_FALSE(standby.placement(orders));
}

}  // namespace
}  // namespace bulrushlift
