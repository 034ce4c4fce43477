#include "fleet/watch_delegation.h"

#include <catch2/catch.hpp>
#include <string>

namespace bulrushlift {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1'000s};
const data_centre_id home{"south"};

std::vector<member> members_of(std::size_t count, const std::string& prefix = "vm-",
                               const data_centre_id& data_centre = home) {
  std::vector<member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back(
        {vm_id{prefix + std::to_string(i)}, "", data_centre, incarnation_id{1}, member_state::alive});
  }
  return members;
}

void set_state(std::vector<member>& members, const vm_id& vm, member_state state) {
  for (auto& each : members) {
    if (each.vm == vm) each.state = state;
  }
}

/// A VM that is not among the watching ones, with the two that are.
struct follower_fixture {
  follower_fixture() : chosen(choose_watchers(home, members)), delegation(find_follower(), home, {}, 7) {
    CHECK_FALSE(delegation.set_members(members, start));
    delegation.on_confirmed(start);
  }

  [[nodiscard]] vm_id find_follower() const {
    for (const auto& each : members) {
      if (each.vm != chosen.at(0) && each.vm != chosen.at(1)) return each.vm;
    }
    return {};
  }

  /// Follows the first VM that a tick asks for.
  vm_id follow(time_point now) {
    const auto action = delegation.on_tick(now);
    REQUIRE(action.probe);
    const auto change = delegation.on_probe_succeeded(*action.probe, now);
    REQUIRE(change);
    CHECK(change->watcher == action.probe);
    return *action.probe;
  }

  std::vector<member> members = members_of(12);
  std::vector<vm_id> chosen;
  watch_delegation delegation;
};

// Guards against small deployments that depend on two VMs for few saved calls.
TEST_CASE("A small data centre has no watching VMs") {
  CHECK(choose_watchers(home, members_of(min_delegating_members - 1)).empty());
  CHECK(choose_watchers(home, members_of(min_delegating_members)).size() == watchers_per_data_centre);
}

// Guards against followers that depend on a VM of another data centre, whose link is cut or dear.
TEST_CASE("The watching VMs are serving members of the data centre") {
  auto members = members_of(9);
  for (const auto& each : members_of(20, "far-", data_centre_id{"north"})) members.push_back(each);
  const auto chosen = choose_watchers(home, members);
  REQUIRE(chosen.size() == watchers_per_data_centre);
  for (const auto& each : chosen) CHECK(each.str().starts_with("vm-"));
  set_state(members, chosen.front(), member_state::leaving);
  const auto next = choose_watchers(home, members);
  CHECK(std::find(next.begin(), next.end(), chosen.front()) == next.end());
}

// Guards against a VM that follows others although it is one of those that must watch.
TEST_CASE("A watching VM asks nobody") {
  const auto members = members_of(12);
  watch_delegation delegation{choose_watchers(home, members).front(), home, {}, 1};
  CHECK_FALSE(delegation.set_members(members, start));
  delegation.on_confirmed(start);
  CHECK(delegation.is_watcher());
  CHECK_FALSE(delegation.on_tick(start + 60s).probe);
}

// Guards against a VM that follows before it knows anything by itself.
TEST_CASE("A VM follows only after its first listing") {
  const auto members = members_of(12);
  follower_fixture fixture;
  watch_delegation delegation{fixture.find_follower(), home, {}, 1};
  CHECK_FALSE(delegation.set_members(members, start));
  CHECK_FALSE(delegation.on_tick(start).probe);
  delegation.on_confirmed(start);
  CHECK(delegation.on_tick(start).probe);
}

TEST_CASE_METHOD(follower_fixture, "A VM whose first question is not answered asks the other watching VM") {
  const auto first = delegation.on_tick(start).probe;
  REQUIRE(first);
  CHECK_FALSE(delegation.on_tick(start + 100ms).probe);
  const auto second = delegation.on_tick(start + 500ms).probe;
  REQUIRE(second);
  CHECK(first != second);
}

// Guards against a watching VM that is gone or paused and hides changes for longer than a switch takes.
TEST_CASE_METHOD(follower_fixture, "The second watching VM is followed when the first does not answer") {
  const auto first = follow(start);
  delegation.on_follow_failed(first, start + 1s);
  REQUIRE(delegation.source());
  CHECK(delegation.source() != first);
  delegation.on_followed(*delegation.source(), start + 1'200ms);
  delegation.on_confirmed(start + 1s);
  CHECK_FALSE(delegation.on_tick(start + 4s).change);
}

// Guards against a follower that waits for ever for VMs that are both gone or of an older build.
TEST_CASE_METHOD(follower_fixture, "The store is read when no watching VM answers") {
  follow(start);
  std::optional<watch_source_change> change;
  auto now = start + 1s;
  for (; !change && now < start + 10s; now += 100ms) {
    delegation.on_follow_failed(*delegation.source(), now);
    change = delegation.on_tick(now).change;
  }
  REQUIRE(change);
  CHECK_FALSE(change->watcher);
  CHECK(change->reason == "no watching VM answers");
  CHECK(now <= start + 2'700ms);
}

// Guards against a watching VM that answers but is cut off from the store: its silence hides changes.
TEST_CASE_METHOD(follower_fixture, "The store is read when no confirmation is young enough") {
  const auto watcher = follow(start);
  std::optional<watch_source_change> change;
  auto now = start;
  for (; !change && now < start + 10s; now += 100ms) {
    delegation.on_followed(watcher, now);
    change = delegation.on_tick(now).change;
  }
  REQUIRE(change);
  CHECK_FALSE(change->watcher);
  CHECK(change->reason == "no VM has confirmed it recently");
  CHECK(change->age > 5s);
  CHECK(change->age <= 5'100ms);
}

// Guards against a late answer from before a pause that makes old knowledge young.
TEST_CASE_METHOD(follower_fixture, "An earlier confirmation does not replace a later one") {
  delegation.on_confirmed(start + 2s);
  delegation.on_confirmed(start + 1s);
  follow(start + 2s);
  CHECK_FALSE(delegation.on_tick(start + 6'900ms).change);
  CHECK(delegation.on_tick(start + 7'100ms).change);
}

// Guards against listings of the store at each attempt to follow a VM that fails again and again.
TEST_CASE_METHOD(follower_fixture, "Returns that do not last become rarer") {
  auto now = start;
  int falls = 0;
  for (; now < start + 120s; now += 100ms) {
    const auto action = delegation.on_tick(now);
    if (action.change) ++falls;
    if (action.probe) static_cast<void>(delegation.on_probe_succeeded(*action.probe, now));
    if (delegation.source()) delegation.on_follow_failed(*delegation.source(), now);
    if (!delegation.source()) delegation.on_confirmed(now);
  }
  CHECK(falls >= 5);
  CHECK(falls <= 13);
}

// Guards against followers that stay with the store, or with the one VM left, after the others are back.
TEST_CASE_METHOD(follower_fixture, "A follower returns after it has fallen back") {
  const auto watcher = follow(start);
  delegation.on_followed(watcher, start + 1s);
  REQUIRE(delegation.on_tick(start + 6s).change);
  delegation.on_confirmed(start + 6s);
  CHECK_FALSE(delegation.on_tick(start + 6'900ms).probe);
  static_cast<void>(follow(start + 7'500ms));
}

TEST_CASE_METHOD(follower_fixture, "A follower leaves a VM that the members no longer name") {
  const auto watcher = follow(start);
  set_state(members, watcher, member_state::dead);
  const auto change = delegation.set_members(members, start + 1s);
  REQUIRE(change);
  REQUIRE(change->watcher);
  CHECK(change->watcher != watcher);
}

TEST_CASE_METHOD(follower_fixture, "A follower reads the store when it has to watch for others") {
  follow(start);
  for (const auto& each : chosen) set_state(members, each, member_state::dead);
  std::optional<watch_source_change> change;
  while (!delegation.is_watcher()) {
    change = delegation.set_members(members, start + 1s);
    for (const auto& each : choose_watchers(home, members)) {
      if (!delegation.is_watcher()) set_state(members, each, member_state::dead);
    }
    if (choose_watchers(home, members).empty()) break;
  }
  change = delegation.set_members(members, start + 1s).value_or(change.value_or(watch_source_change{}));
  CHECK_FALSE(change->watcher);
  CHECK_FALSE(delegation.source());
}

// Guards against late answers of a VM that is no longer followed.
TEST_CASE_METHOD(follower_fixture, "Answers of another VM than the followed one change nothing") {
  const auto watcher = follow(start);
  delegation.on_follow_failed(vm_id{"stranger"}, start + 1s);
  CHECK(delegation.source() == watcher);
  CHECK_FALSE(delegation.on_probe_succeeded(vm_id{"stranger"}, start + 1s));
}

}  // namespace
}  // namespace bulrushlift
