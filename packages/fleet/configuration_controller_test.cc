#include "fleet/configuration_controller.h"

#include <catch2/catch.hpp>

#include "document/production_record.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* text = R"({"environment": "env",
  "regions": [{"name": "r", "data_centres": ["a", "b"]}],
  "vms": [{"name": "vm-1", "data_centre": "a", "peer_address": "10.0.0.1:1"},
          {"name": "vm-2", "data_centre": "a", "peer_address": "10.0.0.2:1"},
          {"name": "vm-3", "data_centre": "b", "peer_address": "10.0.0.3:1"}],
  "services": [{"name": "s", "targets": [
    {"name": "t1", "address": "10.0.1.1:1", "data_centre": "a", "slots": 1, "connections": 2, "leaving": true},
    {"name": "t2", "address": "10.0.1.2:1", "data_centre": "a", "slots": 1, "connections": 2},
    {"name": "t3", "address": "10.0.1.3:1", "data_centre": "b", "slots": 1, "connections": 2}]}],
  "customers": [], "routes": []})";

settings make_settings(const char* vm) {
  settings configured;
  configured.vm = vm_id{vm};
  configured.data_centre = data_centre_id{"a"};
  configured.environment = "env";
  return configured;
}

store_object make_object(std::uint64_t generation, std::uint64_t version) {
  return {object_version{version},
          format_record(production_record{generation_id{generation}, "p", document_digest(text), text})};
}

template <class Action>
std::vector<Action> actions_of(const configuration_actions& actions) {
  std::vector<Action> found;
  for (const auto& it : actions) {
    if (const auto* action = std::get_if<Action>(&it)) found.push_back(*action);
  }
  return found;
}

/// A watcher that has read generation 3 from the store and watches for the next one.
class controller_fixture {
 public:
  controller_fixture() {
    const auto first = actions_of<read_store>(controller.tick(clock.now()));
    REQUIRE(first.size() == 1);
    CHECK_FALSE(first[0].watch_after.has_value());
    const auto next = controller.store_answered(clock.now(), first[0].call, make_object(3, 30));
    REQUIRE(actions_of<apply_document>(next).size() == 1);
    watch = actions_of<read_store>(next).at(0);
    CHECK(watch.watch_after == object_version{30});
  }

  manual_clock clock;
  configuration_controller controller{make_settings("vm-1"), 7};
  read_store watch;
};

// Guards against a data centre in which no VM, or every VM, watches the store.
TEST_CASE("two alive members of each data centre watch, the same in every VM's view") {
  std::vector<configuration_member> members;
  for (int i = 0; i < 20; ++i) {
    members.push_back({vm_id{"vm-" + std::to_string(i)}, data_centre_id{i % 2 == 0 ? "a" : "b"}, true});
  }
  const auto chosen = choose_watchers(data_centre_id{"a"}, members);
  REQUIRE(chosen.size() == 2);
  std::reverse(members.begin(), members.end());
  CHECK(choose_watchers(data_centre_id{"a"}, members) == chosen);
  for (auto& it : members) it.alive = it.name != chosen[0];
  const auto after = choose_watchers(data_centre_id{"a"}, members);
  CHECK(after[0] == chosen[1]);
  CHECK(after[1] != chosen[0]);
}

// Guards against a large fleet in which every VM calls the store, and against calls over the budget.
TEST_CASE("a watcher calls the store about once a second and other VMs do not call it") {
  controller_fixture it;
  int calls = 0;
  std::optional<std::pair<time_point, configuration_call>> due{{it.clock.now() + seconds{2}, it.watch.call}};
  for (int i = 0; i < 200; ++i) {
    it.clock.advance(milliseconds{100});
    auto actions = it.controller.tick(it.clock.now());
    if (due && due->first <= it.clock.now()) {
      const auto more = it.controller.store_answered(it.clock.now(), due->second, store_unchanged{});
      actions.insert(actions.end(), more.begin(), more.end());
      due.reset();
    }
    for (const auto& read : actions_of<read_store>(actions)) {
      due = {it.clock.now() + read.wait, read.call};
      ++calls;
    }
    for (const auto& list : actions_of<list_vms>(actions)) {
      (void)it.controller.vms_listed(it.clock.now(), list.call, {});
      ++calls;
    }
  }
  CHECK(calls <= 21);
  CHECK(it.controller.freshness_at(it.clock.now()) == freshness::fresh);

  std::vector<configuration_member> members;
  for (int i = 0; i < 20; ++i) {
    members.push_back({vm_id{"vm-" + std::to_string(i)}, data_centre_id{"a"}, true});
  }
  const auto chosen = choose_watchers(data_centre_id{"a"}, members);
  const auto other = std::find_if(members.begin(), members.end(), [&](const auto& member) {
    return std::find(chosen.begin(), chosen.end(), member.name) == chosen.end();
  });
  configuration_controller reader{make_settings(other->name.str().c_str()), 1};
  reader.members_changed(members);
  const auto asked = actions_of<ask_peer>(reader.tick(it.clock.now()));
  REQUIRE(asked.size() == 1);
  (void)reader.peer_answered(it.clock.now(), asked[0].call, it.controller.answer_peer(it.clock.now(), {}));
  REQUIRE(reader.in_force().generation() == generation_id{3});
  for (int i = 0; i < 50; ++i) {
    it.clock.advance(milliseconds{100});
    const auto actions = reader.tick(it.clock.now());
    // The first call was sent before the VM had a document.
    CHECK(actions_of<read_store>(actions).empty());
    CHECK(actions_of<list_vms>(actions).empty());
  }
}

// Guards against refusals while a slow store works: just before an answer arrives, the last confirmation is
// as old as two calls take.
TEST_CASE("a store that answers two seconds late keeps the configuration fresh") {
  controller_fixture it;
  constexpr seconds answer_delay{2};
  std::multimap<time_point, configuration_call> due{
      {it.clock.now() + it.watch.wait + answer_delay, it.watch.call}};
  for (int i = 0; i < 600; ++i) {
    it.clock.advance(milliseconds{100});
    const auto now = it.clock.now();
    auto actions = it.controller.tick(now);
    while (!due.empty() && due.begin()->first <= now) {
      const auto call = due.extract(due.begin()).mapped();
      const auto more = it.controller.store_answered(now, call, make_object(3, 30));
      actions.insert(actions.end(), more.begin(), more.end());
    }
    for (const auto& read : actions_of<read_store>(actions))
      due.emplace(now + read.wait + answer_delay, read.call);
    // The first watch was sent before the delay was known.
    if (i > 100) CHECK(it.controller.freshness_at(now) == freshness::fresh);
  }
}

// Guards against an age that leaves out the transit time, by which a delayed heartbeat would seem fresh.
TEST_CASE("only the answer to a question confirms, counted from the question") {
  controller_fixture it;
  it.clock.advance(seconds{6});
  const auto now = it.clock.now();
  CHECK(it.controller.freshness_at(now) == freshness::isolated);
  const configuration_status status{generation_id{3}, milliseconds{100}};
  (void)it.controller.peer_reported(now, vm_id{"vm-2"}, status, std::nullopt);
  CHECK(it.controller.freshness_at(now) == freshness::isolated);
  (void)it.controller.peer_reported(now, vm_id{"vm-2"}, status, now - seconds{2});
  CHECK(it.controller.status_at(now).confirmed_age == milliseconds{2'100});
  CHECK(it.controller.freshness_at(now) == freshness::fresh);
}

// Guards against serving keys that may be revoked in a generation which this VM has only heard of.
TEST_CASE("a known higher generation ends service without the store") {
  controller_fixture it;
  it.controller.members_changed({{vm_id{"vm-2"}, data_centre_id{"a"}, true}});
  it.clock.advance(seconds{6});
  const auto now = it.clock.now();
  CHECK(it.controller.freshness_at(now) == freshness::store_down);
  const auto asked = it.controller.peer_reported(now, vm_id{"vm-2"}, {generation_id{4}, std::nullopt}, now);
  CHECK(actions_of<ask_peer>(asked).size() == 1);
  CHECK(it.controller.freshness_at(now) == freshness::isolated);
  it.controller.members_changed({{vm_id{"vm-2"}, data_centre_id{"a"}, false}});
  CHECK(it.controller.freshness_at(now) == freshness::isolated);
}

// Guards against unlimited service with an outdated configuration during a long outage.
TEST_CASE("service without the store ends after the outage limit") {
  controller_fixture it;
  it.controller.members_changed({{vm_id{"vm-2"}, data_centre_id{"a"}, true}});
  it.clock.advance(std::chrono::hours{1} - seconds{1});
  CHECK(it.controller.freshness_at(it.clock.now()) == freshness::store_down);
  it.clock.advance(seconds{2});
  CHECK(it.controller.freshness_at(it.clock.now()) == freshness::isolated);
}

// Guards against new work for a target that an older list shows as live, and against a target that stays
// leaving for ever.
TEST_CASE("a target that a list named as leaving stays so for a while") {
  controller_fixture it;
  CHECK(it.controller.leaving_targets() == std::vector<target_id>{target_id{"t1"}});
  const auto list = [&](const std::vector<platform_vm>& vms) {
    for (int i = 0; i < 60; ++i) {
      const auto calls = actions_of<list_vms>(it.controller.tick(it.clock.now()));
      if (!calls.empty()) return it.controller.vms_listed(it.clock.now(), calls[0].call, vms);
      it.clock.advance(milliseconds{100});
    }
    return configuration_actions{};
  };
  const auto changed = list({{"host-9", network_address{"10.0.1.3:1"}, true}});
  CHECK(actions_of<apply_leaving_targets>(changed).at(0).targets ==
        std::vector<target_id>{target_id{"t1"}, target_id{"t3"}});
  CHECK(list({}).empty());
  CHECK(it.controller.leaving_targets().size() == 2);
  it.clock.advance(seconds{31});
  CHECK(actions_of<apply_leaving_targets>(list({})).size() == 1);
  CHECK(it.controller.leaving_targets().size() == 1);
}

// Guards against putting a damaged or invalid document in force.
TEST_CASE("a record that is damaged, invalid or older is rejected") {
  controller_fixture it;
  auto damaged = make_object(4, 31);
  damaged.value.replace(damaged.value.find("vm-1"), 4, "vm-9");
  CHECK(actions_of<reject_document>(it.controller.store_answered(it.clock.now(), it.watch.call, damaged))
            .size() == 1);
  it.clock.advance(seconds{1});
  const auto next = actions_of<read_store>(it.controller.tick(it.clock.now()));
  REQUIRE(next.size() == 1);
  CHECK(actions_of<reject_document>(
            it.controller.store_answered(it.clock.now(), next[0].call, make_object(2, 32)))
            .size() == 1);
  CHECK(it.controller.in_force().generation() == generation_id{3});
}

// Guards against waiting for a version above one that a store has lost: after it came back from an older
// copy, it gives the same versions out again, to changes that such a watch does not report.
TEST_CASE("after a failed watch the object is read, so that a store from an older copy hides no change") {
  controller_fixture it;
  it.controller.store_failed(it.clock.now(), it.watch.call);
  it.clock.advance(seconds{6});
  const auto next = actions_of<read_store>(it.controller.tick(it.clock.now()));
  REQUIRE(next.size() == 1);
  CHECK_FALSE(next[0].watch_after.has_value());
  const auto more = it.controller.store_answered(it.clock.now(), next[0].call, make_object(3, 12));
  CHECK(actions_of<read_store>(more).at(0).watch_after == object_version{12});
}

// Guards against changes that no VM accepts: a store from an older copy gives their generations out again, so
// the operator's program has to learn which generation is in force.
TEST_CASE("a store with another document that is not newer makes the VM publish its generation") {
  controller_fixture it;
  auto object = make_object(3, 12);
  SECTION("an older generation") { object = make_object(2, 12); }
  SECTION("the same generation") {
    const auto other = std::string{text} + "\n";
    object.value = format_record(production_record{generation_id{3}, "p", document_digest(other), other});
  }
  const auto actions = it.controller.store_answered(it.clock.now(), it.watch.call, object);
  const auto published = actions_of<publish_generation>(actions);
  REQUIRE(published.size() == 1);
  CHECK(published[0].in_force == generation_id{3});
}

// Guards against watching from a version that was read before another VM watched: the store may have come
// back from an older copy in between.
TEST_CASE("a VM that begins to watch again reads the object first") {
  controller_fixture it;
  std::vector<configuration_member> members;
  for (int i = 1; i <= 20; ++i) {
    members.push_back({vm_id{"vm-" + std::to_string(i)}, data_centre_id{"a"}, true});
  }
  it.controller.members_changed(members);
  REQUIRE_FALSE(it.controller.is_watcher());
  (void)it.controller.store_answered(it.clock.now(), it.watch.call, store_unchanged{});
  it.clock.advance(seconds{10});
  (void)it.controller.tick(it.clock.now());
  it.controller.members_changed({});
  const auto next = actions_of<read_store>(it.controller.tick(it.clock.now()));
  REQUIRE(next.size() == 1);
  CHECK_FALSE(next[0].watch_after.has_value());
}

}  // namespace
}  // namespace bulrushlift
