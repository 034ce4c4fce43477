#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>

#include "entry/session_deployment_fake.h"

// End-to-end tests of evacuated data centres: "i-b" is in "north", "i-a" (the first primary) and "i-c" in
// "south".

namespace bulrushlift::entry {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t bound_ms = 3'000;
constexpr auto bound = std::chrono::milliseconds{bound_ms};

/// @return the settings with the bound of evacuations.
nlohmann::json bound_settings() { return {{"evacuation_bound_ms", bound_ms}}; }

/// Sends reads and writes for a time.
/// @return the targets that ran any statement meanwhile.
std::set<std::string> targets_in_use(session_deployment& deployment, test_caller& writer, test_caller& reader,
                                     std::chrono::milliseconds span) {
  const auto before = deployment.database->runs().size();
  const auto end = deployment.loop.now() + span;
  int number = 0;
  while (deployment.loop.now() < end) {
    const auto id = std::to_string(before) + "-" + std::to_string(++number);
    static_cast<void>(writer.ask("QUERY w" + id + " WRITE hide " + id));
    static_cast<void>(reader.ask("QUERY r" + id + " READ hide"));
  }
  std::set<std::string> used;
  const auto& runs = deployment.database->runs();
  std::for_each(runs.begin() + static_cast<std::ptrdiff_t>(before), runs.end(),
                [&](const database_run& each) { used.insert(each.target); });
  return used;
}

void await_write(session_deployment& deployment, test_caller& caller) {
  deployment.await("write", [&] {
    return caller.ask_joined("QUERY after WRITE hide after").starts_with("COMPLETE signed");
  });
}

// Guards against statements at a target whose data centre the operators empty, and against a service that
// stays without a primary.
TEST_CASE("An evacuated data centre gets nothing, its primary is replaced, and it is used again") {
  session_deployment deployment{"evacuation", 3, false, bound_settings()};
  const auto writer = deployment.session(0, "orders");
  const auto reader = deployment.session(1, "stock");
  await_write(deployment, *writer);

  deployment.evacuate("south");
  static_cast<void>(targets_in_use(deployment, *writer, *reader, bound));
  CHECK(targets_in_use(deployment, *writer, *reader, 1'500ms) == std::set<std::string>{"i-b"});
  CHECK(deployment.database->primary() == "i-b");
  for (std::size_t vm = 0; vm < 3; ++vm) {
    CHECK(deployment.has_logged(vm, {"evacuation_done", "\"south\""}));
  }

  deployment.end_evacuation("south");
  deployment.await("read in the south",
                   [&] { return targets_in_use(deployment, *writer, *reader, 100ms).size() > 1; });
}

// Guards against a transaction that commits at an evacuated target after the bound.
TEST_CASE("An open transaction in an evacuated data centre is aborted and nothing of it is kept") {
  session_deployment deployment{"evacuation_transaction", 2, false, bound_settings()};
  const auto caller = deployment.session(0, "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 WRITE hide lost").starts_with("COMPLETE signed"));

  deployment.evacuate("south");
  const auto end = deployment.loop.now() + bound;
  deployment.await("end of the bound", [&] { return deployment.loop.now() > end; });

  CHECK(caller->ask_joined("QUERY c1 COMMIT").starts_with("ERROR ABORTED"));
  CHECK(count_runs(deployment, "c1") == 0);
  CHECK(deployment.database->value_of("hide") != "lost");
}

// Guards against a VM that goes on sending because it can't read the store: its peers tell it.
TEST_CASE("A VM without the store hears of an evacuation from its peers") {
  session_deployment deployment{"evacuation_cut", 3, true, bound_settings()};
  const auto writer = deployment.session(2, "orders");
  const auto reader = deployment.session(2, "stock");
  deployment.separate_platform->faults().is_refusing = true;

  deployment.evacuate("south");
  deployment.await("evacuation at the VM without the store", [&] {
    return deployment.has_logged(2, {"evacuation_in_force", "\"south\""});
  });

  static_cast<void>(targets_in_use(deployment, *writer, *reader, bound));
  CHECK(targets_in_use(deployment, *writer, *reader, 500ms) == std::set<std::string>{"i-b"});
}

// Guards against an evacuation that a restart or a store from an older copy forgets.
TEST_CASE("An evacuation stays in force after a restart and after the store came back older") {
  session_deployment deployment{"evacuation_restored", 2, false, bound_settings()};
  const auto writer = deployment.session(0, "orders");
  const auto reader = deployment.session(1, "stock");
  deployment.platform->save_copy();
  deployment.evacuate("south");
  deployment.await("new primary", [&] { return deployment.database->primary() == "i-b"; });
  deployment.process(1).kill();
  deployment.start_vm(1);
  deployment.await("evacuation at the restarted VM", [&] {
    return deployment.has_logged(1, {"evacuation_in_force", "\"south\""});
  });
  const auto second_reader = deployment.session(1, "stock");

  deployment.platform->restore_copy();
  for (const auto* target : {"i-a", "i-b", "i-c"}) deployment.announce(target, "ready");
  deployment.publish(2, {"key-shop", "key-new"});
  deployment.await("restored store at both VMs", [&] {
    return deployment.has_logged(0, {"evacuation_kept"}) && deployment.has_logged(1, {"evacuation_kept"});
  });

  CHECK(targets_in_use(deployment, *writer, *second_reader, 1'000ms) == std::set<std::string>{"i-b"});
}

// Guards against statements that a VM sends after its start because it does not know the set yet, and against
// an evacuation whose end is missed while the store is away.
TEST_CASE("All VMs restart while the store is away, and the evacuation holds until it is taken back") {
  session_deployment deployment{"evacuation_outage", 2, false, bound_settings()};
  {
    const auto writer = deployment.session(0, "orders");
    await_write(deployment, *writer);
  }
  deployment.evacuate("south");
  deployment.await("new primary", [&] { return deployment.database->primary() == "i-b"; });
  for (std::size_t vm = 0; vm < 2; ++vm) deployment.process(vm).kill();
  deployment.platform->faults().is_refusing = true;
  for (std::size_t vm = 0; vm < 2; ++vm) deployment.start_vm(vm);
  const auto end = deployment.loop.now() + 500ms;
  deployment.await("pause", [&] { return deployment.loop.now() > end; });
  deployment.platform->faults().is_refusing = false;

  const auto before = deployment.database->runs().size();
  const auto writer = deployment.session(0, "orders");
  const auto reader = deployment.session(1, "stock");
  CHECK(targets_in_use(deployment, *writer, *reader, 500ms) == std::set<std::string>{"i-b"});
  const auto& runs = deployment.database->runs();
  CHECK(std::all_of(runs.begin() + static_cast<std::ptrdiff_t>(before), runs.end(),
                    [](const database_run& each) { return each.target == "i-b"; }));

  deployment.end_evacuation("south");
  deployment.await("read in the south",
                   [&] { return targets_in_use(deployment, *writer, *reader, 100ms).size() > 1; });
}

// Guards against statements that are sent because there is no other target left.
TEST_CASE("With all data centres evacuated statements are refused and never sent") {
  session_deployment deployment{"evacuation_last", 2, false, bound_settings()};
  const auto writer = deployment.session(0, "orders");
  const auto reader = deployment.session(1, "stock");

  deployment.evacuate("south");
  deployment.evacuate("north");
  deployment.await("both in force", [&] {
    return deployment.has_logged(0, {"evacuation_in_force", "\"north\""}) &&
           deployment.has_logged(1, {"evacuation_in_force", "\"north\""});
  });
  static_cast<void>(targets_in_use(deployment, *writer, *reader, 300ms));

  CHECK(targets_in_use(deployment, *writer, *reader, 500ms).empty());
  CHECK(writer->ask_joined("QUERY w WRITE hide 1").starts_with("ERROR BUSY"));
  CHECK(reader->ask_joined("QUERY r READ hide").starts_with("ERROR BUSY"));

  deployment.end_evacuation("north");
  await_write(deployment, *writer);
  CHECK(deployment.database->primary() == "i-b");
}

// Guards against a promotion that waits for the old primary, and against one into a data centre that is
// evacuated while it is under way.
TEST_CASE("Two data centres are evacuated one after the other while the primary is silent") {
  session_deployment deployment{"evacuation_crash", 3, false, bound_settings()};
  const auto writer = deployment.session(0, "orders");
  const auto reader = deployment.session(1, "stock");
  await_write(deployment, *writer);

  deployment.database->faults_of("i-a").is_silent = true;
  deployment.evacuate("north");
  deployment.evacuate("south");
  deployment.end_evacuation("north");
  const auto in_force = deployment.loop.now() + bound;
  deployment.await("end of the bound", [&] { return deployment.loop.now() > in_force; });

  CHECK(deployment.database->primary() == "i-b");
  const auto third = deployment.session(2, "orders");
  await_write(deployment, *third);
  CHECK(targets_in_use(deployment, *third, *reader, 500ms) == std::set<std::string>{"i-b"});
  CHECK(deployment.platform->promotions().size() == 1);
}

// Guards against an evacuation that leaves a trace after it was taken back at once.
TEST_CASE("An evacuation that is taken back at once leaves the targets in use") {
  session_deployment deployment{"evacuation_back", 2, false, bound_settings()};
  const auto writer = deployment.session(0, "orders");
  const auto reader = deployment.session(1, "stock");

  // The only replica that is left for reads.
  deployment.announce("i-c", "draining");

  deployment.evacuate("north");
  deployment.end_evacuation("north");
  await_write(deployment, *writer);
  deployment.await("read in the north",
                   [&] { return targets_in_use(deployment, *writer, *reader, 100ms).contains("i-b"); });
  CHECK(deployment.database->primary() == "i-a");
}

// Guards against a fleet that never gets ready because the store knows nothing of this kind.
TEST_CASE("A store that does not know evacuations keeps no VM from serving") {
  session_deployment deployment{"evacuation_unknown", 1, false, bound_settings()};
  deployment.platform->faults().unknown_kind = "evacuations";
  deployment.process(0).kill();
  deployment.start_vm(0);
  deployment.await("end of the wait", [&] { return deployment.has_logged(0, {"evacuations_unknown"}); });

  const auto writer = deployment.session(0, "orders");
  await_write(deployment, *writer);
  deployment.platform->faults().unknown_kind.clear();
  deployment.evacuate("south");
  deployment.await("new primary", [&] { return deployment.database->primary() == "i-b"; });
  await_write(deployment, *writer);
}

// Guards against an entry that stops the reading of the others: odd content, an odd name, no such place.
TEST_CASE("Odd entries leave the other evacuations in force") {
  session_deployment deployment{"evacuation_odd", 1, false, bound_settings()};
  const auto writer = deployment.session(0, "orders");
  const auto reader = deployment.session(0, "stock");
  const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
  deployment.platform->put_text("evacuations", "nowhere", deep, ",\"created\":1e999");
  deployment.platform->put_text("evacuations", "a name", "17");
  deployment.platform->put_text("evacuations", "", "{}");
  deployment.platform->put_text("evacuations", "south", "\"\xff\"");

  deployment.await("evacuation", [&] {
    return deployment.has_logged(0, {"evacuation_in_force", "\"south\""});
  });
  CHECK(deployment.has_logged(0, {"evacuation_ignored"}));
  CHECK(deployment.has_logged(0, {"evacuation_in_force", "\"nowhere\"", "false"}));
  static_cast<void>(targets_in_use(deployment, *writer, *reader, bound));
  CHECK(targets_in_use(deployment, *writer, *reader, 500ms) == std::set<std::string>{"i-b"});
}

}  // namespace
}  // namespace bulrushlift::entry
