#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "entry/session_world_fake.h"

// The whole path over real processes: callers, proxies, and stand-ins for the platform
// and a database of three targets.

namespace bulrushlift::entry {
namespace {

const database_run* run_of(const session_world& world, const std::string& id) {
  const auto& runs = world.database->runs();
  const auto it =
      std::find_if(runs.begin(), runs.end(), [&](const database_run& each) { return each.id == id; });
  return it == runs.end() ? nullptr : &*it;
}

std::size_t count_runs(const session_world& world, const std::string& id) {
  const auto& runs = world.database->runs();
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [&](const database_run& each) { return each.id == id; }));
}

TEST_CASE("Sessions are served with values, prepared statements and transactions") {
  session_world world{"session_basics", 2};
  const auto caller = world.session(0, "orders");
  const auto book = world.session(1, "book");

  SECTION("a write is read by all three kinds of route") {
    CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE signed|READY I 1."));
    CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW 7|COMPLETE signed|READY I"));
    CHECK(book->ask_joined("QUERY w2 WRITE skin 8").starts_with("COMPLETE signed"));
    CHECK(book->ask_joined("QUERY r2 READ skin").starts_with("ROW 8"));
    const auto stock = world.session(1, "stock");
    CHECK(stock->ask_joined("QUERY r3 READ hide").starts_with("ROW 7"));
    CHECK(run_of(world, "r1")->target == "i-a");
    // The first reads may use the connection to the primary while others are opened.
    int reads = 0;
    world.await("read on a replica", [&] {
      const auto id = "s" + std::to_string(++reads);
      CHECK(stock->ask_joined("QUERY " + id + " READ hide").starts_with("ROW 7"));
      return run_of(world, id)->target != "i-a";
    });
    CHECK(run_of(world, "w1")->customer == "shop");
  }

  SECTION("values reach the target before the statement, and not another session's statement") {
    CHECK(caller->ask_joined("QUERY s1 SET zone north east") == "COMPLETE -|READY I -");
    CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW"));
    const auto other = world.session(0, "orders");
    CHECK(other->ask_joined("QUERY r2 READ hide").starts_with("ROW"));
    CHECK(run_of(world, "r1")->values == std::map<std::string, std::string>{{"zone", "north east"}});
    CHECK(run_of(world, "r2")->values.empty());
  }

  SECTION("equal names of prepared statements do not collide") {
    CHECK(caller->ask_joined("QUERY p1 PREPARE s READ q1") == "COMPLETE -|READY I -");
    const auto other = world.session(0, "orders");
    CHECK(other->ask_joined("QUERY p2 PREPARE s WRITE q2") == "COMPLETE -|READY I -");
    CHECK(other->ask_joined("QUERY e2 EXECUTE s hide 9").starts_with("COMPLETE signed"));
    CHECK(caller->ask_joined("QUERY e1 EXECUTE s hide").starts_with("ROW 9"));
    CHECK(caller->ask_joined("QUERY d1 DEALLOCATE s") == "COMPLETE -|READY I -");
    CHECK(caller->ask_joined("QUERY e3 EXECUTE s hide").starts_with("ERROR UNDEFINED"));
  }

  SECTION("a transaction is kept whole on one connection") {
    CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
    CHECK(caller->ask_joined("QUERY t1 WRITE hide 1").starts_with("COMPLETE signed|READY T"));
    CHECK(caller->ask_joined("QUERY t2 READ hide").starts_with("ROW 1|COMPLETE signed|READY T"));
    CHECK(world.database->value_of("hide").empty());
    CHECK(caller->ask_joined("QUERY c1 COMMIT").starts_with("COMPLETE signed|READY I"));
    CHECK(world.database->value_of("hide") == "1");
    CHECK(run_of(world, "t1")->connection == run_of(world, "c1")->connection);
    CHECK(run_of(world, "t1")->is_in_transaction);
  }

  SECTION("a rollback and a caller that leaves keep nothing") {
    CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
    CHECK(caller->ask_joined("QUERY t1 WRITE hide 1").starts_with("COMPLETE"));
    CHECK(caller->ask_joined("QUERY x1 ROLLBACK") == "COMPLETE -|READY I -");
    auto leaver = world.session(1, "orders");
    CHECK(leaver->ask_joined("QUERY b2 BEGIN") == "COMPLETE -|READY T -");
    CHECK(leaver->ask_joined("QUERY t2 WRITE hide 2").starts_with("COMPLETE"));
    leaver.reset();
    CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW |"));
    CHECK(world.database->value_of("hide").empty());
  }

  SECTION("what is not allowed is refused by the protocol's own errors") {
    CHECK(world.connect(0)->ask_joined("START orders wrong-key").starts_with("ERROR DENIED"));
    CHECK(world.connect(0)->ask_joined("START nothing key-shop").starts_with("ERROR NODATABASE"));
    CHECK(world.connect(0)->ask_joined("QUERY r1 READ hide").starts_with("ERROR MALFORMED"));
    CHECK(caller->ask_joined("QUERY x1 DROP hide") == "ERROR MALFORMED not a statement|READY I -");
    CHECK(caller->ask_joined("QUERY x2 COMMIT").starts_with("ERROR MALFORMED"));
    CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW"));
  }

  SECTION("a revoked key ends the sessions that showed it") {
    world.publish(2, {"key-new"});
    world.await("end of the session", [&] { return caller->is_closed() && book->is_closed(); });
    CHECK(world.connect(0)->ask_joined("START orders key-shop").starts_with("ERROR DENIED"));
    CHECK(world.connect(1)->ask_joined("START orders key-new") == "READY I -");
  }
}

// Guards against a statement that runs outside of its transaction after a refused begin.
TEST_CASE("A begin that a target refuses runs nothing there") {
  session_world world{"session_refused_begin", 1};
  const auto caller = world.session(0, "book");
  for (const auto& member : world.database->members()) world.database->faults_of(member).refused_begins = 1;

  CHECK(caller->ask_joined("QUERY b1 BEGIN READ") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 READ hide").starts_with("ROW"));
  CHECK(count_runs(world, "t1") == 1);
  CHECK(run_of(world, "t1")->is_in_transaction);
}

// Guards against a write that runs twice, and against a refusal of a write that may have run.
TEST_CASE("A write whose answer is lost has an unknown outcome and runs once") {
  session_world world{"session_lost_answer", 2};
  const auto caller = world.session(0, "orders");
  world.database->faults_of("i-a").lost_answers = 1;

  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("ERROR INDOUBT"));
  CHECK(count_runs(world, "w1") == 1);
  CHECK(world.database->value_of("hide") == "7");
}

TEST_CASE("A read whose answer is lost is served by another attempt") {
  session_world world{"session_lost_read", 2};
  const auto caller = world.session(0, "orders");
  world.database->faults_of("i-a").lost_answers = 1;

  CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW"));
  CHECK(count_runs(world, "r1") == 2);
}

// Guards against a leaving primary that keeps getting work because no promotion is ordered.
TEST_CASE("A leaving primary is replaced and writes go on at the new one") {
  session_world world{"session_leaving", 3};
  const auto caller = world.session(0, "orders");
  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE"));

  world.announce("i-a", "draining");
  world.await("promotion", [&] { return !world.platform->promotions().empty(); });
  world.await("write at the new primary",
              [&] { return caller->ask_joined("QUERY w2 WRITE hide 8").starts_with("COMPLETE signed"); });

  const auto& order = world.platform->promotions().front();
  CHECK(order.service == "ledger");
  CHECK(order.target != "i-a");
  CHECK(order.token > 0);
  CHECK(world.platform->promotions().size() == 1);
  CHECK(world.database->value_of("hide") == "8");
}

TEST_CASE("A silent primary is replaced and no acknowledged write is lost") {
  session_world world{"session_silent", 3};
  const auto caller = world.session(0, "orders");
  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE"));

  world.database->faults_of("i-a").is_silent = true;
  world.await("promotion", [&] { return !world.platform->promotions().empty(); });
  world.await("read at the new primary",
              [&] { return caller->ask_joined("QUERY r1 READ hide").starts_with("ROW 7|COMPLETE signed"); });
}

TEST_CASE("The loss of the VM that owns a service leaves the others serving") {
  session_world world{"session_owner", 3};
  for (std::size_t vm = 0; vm < 3; ++vm) static_cast<void>(world.session(vm, "orders"));
  world.process(0).kill();

  for (std::size_t vm = 1; vm < 3; ++vm) {
    const auto caller = world.session(vm, "orders");
    CHECK(
        caller->ask_joined("QUERY w" + std::to_string(vm) + " WRITE hide 1").starts_with("COMPLETE signed"));
  }
}

TEST_CASE("A store that is away leaves sessions served") {
  session_world world{"session_store", 2};
  const auto caller = world.session(0, "orders");
  world.platform->faults().is_refusing = true;
  world.platform->compact();

  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE signed"));
  CHECK(world.connect(1)->ask_joined("START orders key-shop") == "READY I -");

  world.platform->faults().is_refusing = false;
  world.publish(5, {"key-new"});
  world.await("new configuration",
              [&] { return world.connect(1)->ask_joined("START orders key-new") == "READY I -"; });
}

// Guards against a revoked key that goes on working at a VM that the store turns away.
TEST_CASE("A VM that the store turns away gets the configuration from its peers") {
  session_world world{"session_deaf_vm", 2, true};
  static_cast<void>(world.session(0, "orders"));
  const auto caller = world.session(1, "orders");
  world.far_platform->faults().is_refusing = true;
  world.far_platform->compact();

  world.publish(2, {"key-new"});

  world.await("end of the session", [&] { return caller->is_closed(); });
  CHECK(world.connect(1)->ask_joined("START orders key-shop").starts_with("ERROR DENIED"));
  CHECK(world.connect(1)->ask_joined("START orders key-new") == "READY I -");
}

TEST_CASE("SIGTERM ends the process in order") {
  session_world world{"session_drain", 2};
  const auto caller = world.session(0, "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 WRITE hide 1").starts_with("COMPLETE"));
  world.process(0).signal(SIGTERM);

  // An open transaction can still be committed.
  CHECK(caller->ask_joined("QUERY c1 COMMIT").starts_with("COMPLETE signed|READY I"));
  world.await("end of the session", [&] { return caller->is_closed(); });
  int exit_code = -1;
  world.await("end of the process", [&] {
    const auto code = world.process(0).wait(std::chrono::milliseconds{1});
    if (code) exit_code = *code;
    return code.has_value();
  });
  CHECK(exit_code == 0);
}

// Guards against the first statement of a transaction that runs on another VM and once more,
// after the end of the transaction, on the owner that was paused.
TEST_CASE("The first statement of a transaction runs once although its owner was paused") {
  session_world world{"session_paused_owner", 3};
  const auto owner = world.owner();
  const std::size_t other = owner == 0 ? 1 : 0;
  const auto caller = world.session(other, "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");

  world.process(owner).signal(SIGSTOP);
  CHECK(caller->ask_joined("QUERY t1 READ hide").starts_with("ERROR ABORTED"));
  CHECK(caller->ask_joined("QUERY x1 ROLLBACK").starts_with("COMPLETE"));
  world.process(owner).signal(SIGCONT);
  world.await("work of the owner", [&] {
    const auto through_owner = world.connect(owner);
    return through_owner->ask_joined("START orders key-shop") == "READY I -" &&
           through_owner->ask_joined("QUERY r1 READ hide").starts_with("ROW");
  });

  CHECK(count_runs(world, "t1") <= 1);
}

// Guards against an owner that ends the transactions of a VM as soon as that VM drains,
// although their sessions have half of the drain time to end them.
TEST_CASE("A transaction goes on while the VM of its session drains") {
  session_world world{"session_draining", 3};
  const std::size_t other = world.owner() == 0 ? 1 : 0;
  const auto caller = world.session(other, "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 WRITE hide 7").starts_with("COMPLETE signed|READY T"));

  world.process(other).signal(SIGTERM);
  // Several ticks of the owner after it heard that the VM leaves.
  world.loop.run_for(std::chrono::milliseconds{500});

  CHECK(caller->ask_joined("QUERY t2 READ hide").starts_with("ROW 7|COMPLETE signed|READY T"));
  CHECK(caller->ask_joined("QUERY c1 COMMIT").starts_with("COMPLETE signed|READY I"));
  CHECK(world.database->value_of("hide") == "7");
}

}  // namespace
}  // namespace bulrushlift::entry
