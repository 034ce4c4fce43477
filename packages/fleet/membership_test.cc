#include <catch2/catch.hpp>

#include "fleet/membership_simulator_fake.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::size_t> start_fleet(membership_simulator& fleet, std::size_t size) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < size; ++i) all.push_back(fleet.start(vm_id{"entry-" + std::to_string(i)}, all));
  fleet.share_seeds();
  return all;
}

std::optional<member_state> state_at(const membership_simulator& fleet, std::size_t at, const vm_id& vm) {
  for (const auto& it : fleet.instances()[at].controller->members()) {
    if (it.vm == vm) return it.state;
  }
  return std::nullopt;
}

// Guards against members that only their seeds know.
TEST_CASE("all members learn of each other") {
  membership_simulator fleet{{}, 1};
  std::vector<std::size_t> first;
  for (int i = 0; i < 5; ++i) {
    const auto index = fleet.start(vm_id{"entry-" + std::to_string(i)}, first);
    if (first.empty()) first.push_back(index);
  }
  fleet.run_for(seconds{2});
  for (const auto& it : fleet.instances()) CHECK(it.controller->serving_members().size() == 5);
}

// Guards against VMs that take themselves for owners of all services after a restart of the whole fleet.
TEST_CASE("after a restart of all VMs each has the same possible members from the start") {
  constexpr std::size_t size = 38;
  membership_options options;
  options.presumption_time = seconds{2};
  membership_simulator fleet{options, 1};
  start_fleet(fleet, size);
  for (milliseconds elapsed{0}; elapsed < seconds{4}; elapsed += milliseconds{100}) {
    for (const auto& it : fleet.instances()) {
      REQUIRE(it.controller->possible_members(fleet.now()).size() == size);
    }
    fleet.run_for(milliseconds{100});
  }
}

// Guards against a removed VM that stays a possible owner because its record was never deleted.
TEST_CASE("a seed that never answers is no possible member after the presumption time") {
  membership_options options;
  options.presumption_time = seconds{2};
  membership_simulator fleet{options, 1};
  start_fleet(fleet, 10);
  fleet.crash(9);
  fleet.run_for(milliseconds{1'900});
  CHECK(fleet.instances()[0].controller->possible_members(fleet.now()).size() == 10);
  fleet.run_for(milliseconds{200});
  CHECK(fleet.instances()[0].controller->possible_members(fleet.now()).size() == 9);
  CHECK_FALSE(fleet.instances()[0].controller->has_presumed_members(fleet.now()));
}

// Guards against crash detection that takes longer than about a second, which delays the failover of
// services.
TEST_CASE("a crash is known everywhere within 1.1 seconds in a small fleet") {
  membership_simulator fleet{{}, 2};
  start_fleet(fleet, 5);
  fleet.run_for(seconds{5});
  fleet.crash(4);
  fleet.run_for(milliseconds{1'100});
  for (std::size_t i = 0; i < 4; ++i) CHECK(state_at(fleet, i, vm_id{"entry-4"}) == member_state::dead);
}

// Guards against declaring a service's owner dead because of a single bad link.
TEST_CASE("a member that only one peer cannot reach stays alive") {
  membership_simulator fleet{{}, 3};
  start_fleet(fleet, 5);
  fleet.run_for(seconds{5});
  bool was_suspected = false;
  fleet.on_change = [&](std::size_t, const member& it) {
    was_suspected |= it.state == member_state::suspect;
  };
  fleet.block(0, 4);
  fleet.block(4, 0);
  fleet.run_for(seconds{10});
  CHECK_FALSE(was_suspected);
}

// Guards against sending new work to a draining VM.
TEST_CASE("a leave is known at once and is no suspicion") {
  membership_simulator fleet{{}, 4};
  start_fleet(fleet, 5);
  fleet.run_for(seconds{5});
  fleet.leave(2);
  fleet.run_for(milliseconds{10});
  for (std::size_t i = 0; i < 5; ++i) CHECK(state_at(fleet, i, vm_id{"entry-2"}) == member_state::leaving);
}

// Guards against two processes of one VM that serve at the same time.
TEST_CASE("an instance stops when it hears of its successor") {
  membership_simulator fleet{{}, 5};
  const auto all = start_fleet(fleet, 3);
  fleet.run_for(seconds{5});
  const auto successor = fleet.start(vm_id{"entry-1"}, all);
  fleet.run_for(seconds{2});
  CHECK(fleet.instances()[1].controller->is_stopped());
  CHECK_FALSE(fleet.instances()[successor].controller->is_stopped());
  CHECK(state_at(fleet, 0, vm_id{"entry-1"}) == member_state::alive);
}

// Guards against a process that declares all others dead after its own pause.
TEST_CASE("a process that was paused suspects nobody and is alive again") {
  membership_simulator fleet{{}, 6};
  start_fleet(fleet, 5);
  fleet.run_for(seconds{5});
  fleet.pause(0);
  fleet.run_for(seconds{3});
  CHECK(state_at(fleet, 1, vm_id{"entry-0"}) == member_state::dead);
  bool has_suspected = false;
  fleet.on_change = [&](std::size_t at, const member& it) {
    has_suspected |= at == 0 && it.state != member_state::alive;
  };
  fleet.resume(0);
  fleet.run_for(seconds{2});
  CHECK_FALSE(has_suspected);
  CHECK(state_at(fleet, 1, vm_id{"entry-0"}) == member_state::alive);
}

// Guards against datagrams that are too large and get fragmented.
TEST_CASE("the updates of a datagram stay within their bounds") {
  membership_simulator fleet{{}, 7};
  std::size_t max_updates = 0;
  std::size_t bytes = 0;
  fleet.on_send = [&](std::size_t, const send_membership& it) {
    std::size_t n = 0;
    for (const auto& entry : it.message.updates) n += entry.vm.str().size() + entry.address.size() + 32;
    max_updates = std::max(max_updates, it.message.updates.size());
    bytes = std::max(bytes, n);
  };
  std::vector<std::size_t> all;
  for (int i = 0; i < 30; ++i)
    all.push_back(fleet.start(vm_id{std::string(200, 'a') + std::to_string(i)}, all));
  fleet.run_for(seconds{5});
  CHECK(max_updates > 3);
  CHECK(max_updates <= 8);
  CHECK(bytes <= 1'200);
}

}  // namespace
}  // namespace bulrushlift
