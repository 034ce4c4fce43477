#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "entry/session_deployment_fake.h"

// End-to-end tests of sessions with real proxy processes, and stand-ins for the platform and a
// database with three targets.

namespace bulrushlift::entry {
namespace {

TEST_CASE("Sessions are served with values, prepared statements and transactions") {
  session_deployment deployment{"session_basics", 2};
  const auto caller = deployment.session(0, "orders");
  const auto book = deployment.session(1, "book");

  SECTION("a write is read by all three kinds of route") {
    CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE signed|READY I 1."));
    CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW 7|COMPLETE signed|READY I"));
    CHECK(book->ask_joined("QUERY w2 WRITE skin 8").starts_with("COMPLETE signed"));
    CHECK(book->ask_joined("QUERY r2 READ skin").starts_with("ROW 8"));
    const auto stock = deployment.session(1, "stock");
    CHECK(stock->ask_joined("QUERY r3 READ hide").starts_with("ROW 7"));
    CHECK(run_of(deployment, "r1")->target == "i-a");
    // The first reads may use the connection to the primary while connections to replicas are
    // being opened.
    int reads = 0;
    deployment.await("read on a replica", [&] {
      const auto id = "s" + std::to_string(++reads);
      CHECK(stock->ask_joined("QUERY " + id + " READ hide").starts_with("ROW 7"));
      return run_of(deployment, id)->target != "i-a";
    });
    CHECK(run_of(deployment, "w1")->customer == "shop");
  }

  SECTION("values reach the target before the statement, and not another session's statement") {
    CHECK(caller->ask_joined("QUERY s1 SET zone north east") == "COMPLETE -|READY I -");
    CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW"));
    const auto other = deployment.session(0, "orders");
    CHECK(other->ask_joined("QUERY r2 READ hide").starts_with("ROW"));
    CHECK(run_of(deployment, "r1")->values == std::map<std::string, std::string>{{"zone", "north east"}});
    CHECK(run_of(deployment, "r2")->values.empty());
  }

  SECTION("equal names of prepared statements do not collide") {
    CHECK(caller->ask_joined("QUERY p1 PREPARE s READ q1") == "COMPLETE -|READY I -");
    const auto other = deployment.session(0, "orders");
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
    CHECK(deployment.database->value_of("hide").empty());
    CHECK(caller->ask_joined("QUERY c1 COMMIT").starts_with("COMPLETE signed|READY I"));
    CHECK(deployment.database->value_of("hide") == "1");
    CHECK(run_of(deployment, "t1")->connection == run_of(deployment, "c1")->connection);
    CHECK(run_of(deployment, "t1")->is_in_transaction);
  }

  SECTION("a rollback and a caller that leaves keep nothing") {
    CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
    CHECK(caller->ask_joined("QUERY t1 WRITE hide 1").starts_with("COMPLETE"));
    CHECK(caller->ask_joined("QUERY x1 ROLLBACK") == "COMPLETE -|READY I -");
    auto leaving_caller = deployment.session(1, "orders");
    CHECK(leaving_caller->ask_joined("QUERY b2 BEGIN") == "COMPLETE -|READY T -");
    CHECK(leaving_caller->ask_joined("QUERY t2 WRITE hide 2").starts_with("COMPLETE"));
    leaving_caller.reset();
    CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW |"));
    CHECK(deployment.database->value_of("hide").empty());
  }

  SECTION("what is not allowed is refused by the protocol's own errors") {
    CHECK(deployment.connect(0)->ask_joined("START orders wrong-key").starts_with("ERROR DENIED"));
    CHECK(deployment.connect(0)->ask_joined("START nothing key-shop").starts_with("ERROR NODATABASE"));
    CHECK(deployment.connect(0)->ask_joined("QUERY r1 READ hide").starts_with("ERROR MALFORMED"));
    CHECK(caller->ask_joined("QUERY x1 DROP hide") == "ERROR MALFORMED not a statement|READY I -");
    CHECK(caller->ask_joined("QUERY x2 COMMIT").starts_with("ERROR MALFORMED"));
    CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW"));
  }

  SECTION("a revoked key ends the sessions that showed it") {
    deployment.publish(2, {"key-new"});
    deployment.await("end of the session", [&] { return caller->is_closed() && book->is_closed(); });
    CHECK(deployment.connect(0)->ask_joined("START orders key-shop").starts_with("ERROR DENIED"));
    CHECK(deployment.connect(1)->ask_joined("START orders key-new") == "READY I -");
  }
}

// Guards against a target that refuses a begin and then runs the statement outside of a
// transaction.
TEST_CASE("A begin that a target refuses runs nothing there") {
  session_deployment deployment{"session_refused_begin", 1};
  const auto caller = deployment.session(0, "book");
  for (const auto& member : deployment.database->members())
    deployment.database->faults_of(member).refused_begins = 1;

  CHECK(caller->ask_joined("QUERY b1 BEGIN READ") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 READ hide").starts_with("ROW"));
  CHECK(count_runs(deployment, "t1") == 1);
  CHECK(run_of(deployment, "t1")->is_in_transaction);
}

// Guards against a write that runs twice, and against reporting a write that may have run as not
// run.
TEST_CASE("A write whose answer is lost has an unknown outcome and runs once") {
  session_deployment deployment{"session_lost_answer", 2};
  const auto caller = deployment.session(0, "orders");
  deployment.database->faults_of("i-a").lost_answers = 1;

  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("ERROR INDOUBT"));
  CHECK(count_runs(deployment, "w1") == 1);
  CHECK(deployment.database->value_of("hide") == "7");
}

// Guards against a write that runs under another session's values, counts as not run and is sent again, when
// a target fails the statement that sets the values.
TEST_CASE("A write whose setup failed at first runs once, with the values of its session") {
  session_deployment deployment{"session_failed_setup", 1};
  const auto caller = deployment.session(0, "orders");
  const auto kind = GENERATE(as<std::string>{}, "single write", "transaction");
  CHECK(caller->ask_joined("QUERY s1 SET zone north") == "COMPLETE -|READY I -");
  deployment.database->faults_of("i-a").failed_setups = 2;

  if (kind == "transaction") CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE signed"));
  if (kind == "transaction") CHECK(caller->ask_joined("QUERY c1 COMMIT").starts_with("COMPLETE signed"));

  CHECK(count_runs(deployment, "w1") == 1);
  CHECK(run_of(deployment, "w1")->values == std::map<std::string, std::string>{{"zone", "north"}});
}

// Guards against answers that are cut off because their session is destroyed before the kernel has taken
// them.
TEST_CASE("A caller that ends its session gets the answers that it has not read yet") {
  session_deployment deployment{"session_unread_answers", 1};
  const auto caller = deployment.session(0, "orders");
  CHECK(
      caller->ask_joined("QUERY w1 WRITE hide " + std::string(900'000, 'x')).starts_with("COMPLETE signed"));

  // More than the kernel takes for a connection on loopback.
  constexpr std::size_t reads = 16;
  caller->pause_reading(true);
  for (std::size_t i = 0; i < reads; ++i) caller->send("QUERY r" + std::to_string(i) + " READ hide\r\n");
  caller->send("CLOSE\r\n");
  deployment.await("last read", [&] { return count_runs(deployment, "r" + std::to_string(reads - 1)) == 1; });
  deployment.loop.run_for(std::chrono::milliseconds{200});

  caller->pause_reading(false);
  deployment.await("end of the session", [&] { return caller->is_closed(); });
  CHECK(caller->unread_answers() == reads);
}

// Guards against an answer without its last line after the key of a session was revoked.
TEST_CASE("A statement with a key that was just revoked gets a complete answer") {
  session_deployment deployment{"session_revoked_statement", 1};
  const auto caller = deployment.session(0, "orders");
  // A session that is idle when its key is revoked is closed; one with a running statement goes on.
  deployment.database->faults_of("i-a").is_silent = true;
  caller->send("QUERY r1 READ hide\r\n");
  deployment.publish(2, {"key-new"});
  deployment.await("new configuration", [&] {
    return deployment.has_logged(0, {R"("event":"configuration_in_force")", R"("generation":2)"});
  });

  // The target stays silent until then: a repeated attempt of the statement could still be served.
  CHECK(caller->read_answer().back() == "READY I -");
  deployment.database->faults_of("i-a").is_silent = false;
  CHECK(caller->ask_joined("QUERY r2 READ hide") == "ERROR DENIED no longer in the configuration|READY I -");
  deployment.await("end of the session", [&] { return caller->is_closed(); });
}

// Guards against statements that are never answered, and a target that gets no more work, after connections
// ended while their sessions paused inside transactions.
TEST_CASE("A service goes on after connections were lost inside transactions") {
  session_deployment deployment{"session_lost_connections", 2};
  const auto vm = GENERATE(as<std::size_t>{}, 0, 1);
  // More than the statements that run on a target at a time.
  std::vector<std::unique_ptr<test_caller>> callers;
  for (int i = 0; i < 6; ++i) {
    callers.push_back(deployment.session(vm, "orders"));
    CHECK(callers.back()->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
    CHECK(callers.back()->ask_joined("QUERY w1 WRITE lost 1").starts_with("COMPLETE signed|READY T"));
  }
  deployment.database->close_connections("i-a");
  deployment.loop.run_for(std::chrono::milliseconds{50});

  for (std::size_t i = 0; i < callers.size(); ++i) {
    const auto* text = i % 2 == 0 ? "QUERY w2 WRITE lost 2" : "QUERY c1 COMMIT";
    CHECK(callers[i]->ask_joined(text).starts_with("ERROR ABORTED"));
  }
  CHECK(deployment.database->value_of("lost").empty());
  CHECK(deployment.session(vm, "orders")->ask_joined("QUERY w3 WRITE hide 3").starts_with("COMPLETE signed"));
}

TEST_CASE("A read whose answer is lost is served by another attempt") {
  session_deployment deployment{"session_lost_read", 2};
  const auto caller = deployment.session(0, "orders");
  deployment.database->faults_of("i-a").lost_answers = 1;

  CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW"));
  CHECK(count_runs(deployment, "r1") == 2);
}

// Guards against a leaving primary that continues to get statements because no promotion is
// ordered.
TEST_CASE("A leaving primary is replaced and writes go on at the new one") {
  session_deployment deployment{"session_leaving", 3};
  const auto caller = deployment.session(0, "orders");
  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE"));

  deployment.announce("i-a", "draining");
  deployment.await("promotion", [&] { return !deployment.platform->promotions().empty(); });
  deployment.await("write at the new primary", [&] {
    return caller->ask_joined("QUERY w2 WRITE hide 8").starts_with("COMPLETE signed");
  });

  const auto& order = deployment.platform->promotions().front();
  CHECK(order.service == "ledger");
  CHECK(order.target != "i-a");
  CHECK(order.token > 0);
  CHECK(deployment.platform->promotions().size() == 1);
  CHECK(deployment.database->value_of("hide") == "8");
}

TEST_CASE("A silent primary is replaced and no acknowledged write is lost") {
  session_deployment deployment{"session_silent", 3};
  const auto caller = deployment.session(0, "orders");
  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE"));

  deployment.database->faults_of("i-a").is_silent = true;
  deployment.await("promotion", [&] { return !deployment.platform->promotions().empty(); });
  deployment.await("read at the new primary", [&] {
    return caller->ask_joined("QUERY r1 READ hide").starts_with("ROW 7|COMPLETE signed");
  });
}

// Guards against the promotion of a replica although the primary is healthy: after a partition its open
// connections are dead, and new ones work.
TEST_CASE("Silent connections to a healthy primary cause no promotion") {
  session_deployment deployment{"session_silent_connections", 1};
  auto& proxy = deployment.put_proxy_before("i-a");
  // As many connections as the owner may hold.
  std::vector<std::unique_ptr<test_caller>> callers;
  for (int i = 0; i < 7; ++i) {
    callers.push_back(deployment.session(0, "orders"));
    CHECK(callers.back()->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
    CHECK(callers.back()->ask_joined("QUERY w1 WRITE hide 1").starts_with("COMPLETE signed|READY T"));
  }
  for (const auto& each : callers) CHECK(each->ask_joined("QUERY c1 COMMIT").starts_with("COMPLETE signed"));

  proxy.blackhole_connections();
  // Longer than the time after which a silent primary is replaced.
  deployment.loop.run_for(std::chrono::seconds{4});

  CHECK(deployment.platform->promotions().empty());
  CHECK(deployment.session(0, "orders")->ask_joined("QUERY w2 WRITE hide 2").starts_with("COMPLETE signed"));
  CHECK(deployment.database->primary() == "i-a");
}

TEST_CASE("The other VMs serve a service after its owner was killed") {
  session_deployment deployment{"session_owner", 3};
  for (std::size_t vm = 0; vm < 3; ++vm) static_cast<void>(deployment.session(vm, "orders"));
  deployment.process(0).kill();

  for (std::size_t vm = 1; vm < 3; ++vm) {
    const auto caller = deployment.session(vm, "orders");
    CHECK(
        caller->ask_joined("QUERY w" + std::to_string(vm) + " WRITE hide 1").starts_with("COMPLETE signed"));
  }
}

TEST_CASE("Sessions are served during an outage of the store") {
  session_deployment deployment{"session_store", 2};
  const auto caller = deployment.session(0, "orders");
  deployment.platform->faults().is_refusing = true;
  deployment.platform->compact();

  CHECK(caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE signed"));
  CHECK(deployment.connect(1)->ask_joined("START orders key-shop") == "READY I -");

  deployment.platform->faults().is_refusing = false;
  deployment.publish(5, {"key-new"});
  deployment.await("new configuration",
                   [&] { return deployment.connect(1)->ask_joined("START orders key-new") == "READY I -"; });
}

// Guards against a revoked key that remains valid on a VM whose requests the store refuses.
TEST_CASE("A VM that the store refuses gets the configuration from its peers") {
  session_deployment deployment{"session_deaf_vm", 2, true};
  static_cast<void>(deployment.session(0, "orders"));
  const auto caller = deployment.session(1, "orders");
  deployment.separate_platform->faults().is_refusing = true;
  deployment.separate_platform->compact();

  deployment.publish(2, {"key-new"});

  deployment.await("end of the session", [&] { return caller->is_closed(); });
  CHECK(deployment.connect(1)->ask_joined("START orders key-shop").starts_with("ERROR DENIED"));
  CHECK(deployment.connect(1)->ask_joined("START orders key-new") == "READY I -");
}

// Guards against a read inside a transaction that fails and is then run on another connection.
TEST_CASE("A failed read of an open transaction is not run outside of it") {
  session_deployment deployment{"session_failed_read", 2};
  const auto caller = deployment.session(deployment.owner(), "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 READ hide").find("READY T") != std::string::npos);
  for (const auto& member : deployment.database->members()) {
    deployment.database->faults_of(member).failed_reads = 1;
  }

  CHECK(caller->ask_joined("QUERY t2 READ hide").starts_with("ERROR ABORTED"));
  CHECK(count_runs(deployment, "t2") == 0);
}

// Guards against the first statement of a transaction that runs twice: on another VM, and after
// the end of the transaction on the owner, which was paused meanwhile.
TEST_CASE("The first statement of a transaction runs once although its owner was paused") {
  session_deployment deployment{"session_paused_owner", 3};
  const auto owner = deployment.owner();
  const std::size_t other = owner == 0 ? 1 : 0;
  const auto caller = deployment.session(other, "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");

  deployment.process(owner).signal(SIGSTOP);
  CHECK(caller->ask_joined("QUERY t1 READ hide").starts_with("ERROR ABORTED"));
  CHECK(caller->ask_joined("QUERY x1 ROLLBACK").starts_with("COMPLETE"));
  deployment.process(owner).signal(SIGCONT);
  deployment.await("work of the owner", [&] {
    const auto through_owner = deployment.connect(owner);
    return through_owner->ask_joined("START orders key-shop") == "READY I -" &&
           through_owner->ask_joined("QUERY r1 READ hide").starts_with("ROW");
  });

  CHECK(count_runs(deployment, "t1") <= 1);
}

// Guards against a statement and a commit that run in the transaction of another customer's session, because
// the restarted owner gave that transaction the number of an earlier one.
TEST_CASE("A transaction that its owner lost in a restart is not continued in another one") {
  session_deployment deployment{"session_restarted_owner", 2};
  const auto owner = deployment.owner();
  const auto other = 1 - owner;
  const auto caller = deployment.session(other, "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 WRITE hide 1").starts_with("COMPLETE signed|READY T"));

  deployment.process(owner).kill();
  deployment.start_vm(owner);
  // Transactions that begin before the other VM knows the new process stay on that VM, and those after
  // that are relayed to the new owner.
  std::vector<std::unique_ptr<test_caller>> others;
  for (int i = 0; i < 10; ++i) {
    others.push_back(deployment.connect(other));
    CHECK(others.back()->ask_joined("START orders key-other") == "READY I -");
    CHECK(others.back()->ask_joined("QUERY b2 BEGIN") == "COMPLETE -|READY T -");
    const auto name = "o" + std::to_string(i);
    static_cast<void>(others.back()->ask("QUERY " + name + " WRITE " + name + " 2"));
    deployment.loop.run_for(std::chrono::milliseconds{200});
  }

  CHECK(caller->ask_joined("QUERY t2 WRITE hide 3").starts_with("ERROR ABORTED"));
  CHECK(caller->ask_joined("QUERY c1 COMMIT").starts_with("ERROR ABORTED"));
  CHECK(count_runs(deployment, "t2") == 0);
  CHECK(count_runs(deployment, "c1") == 0);
  for (int i = 0; i < 10; ++i) CHECK(deployment.database->value_of("o" + std::to_string(i)).empty());
}

// Guards against an owner that gives up the transactions of a VM which was only silent for a while.
TEST_CASE("A transaction goes on after the VM of its session was paused") {
  session_deployment deployment{"session_paused_caller", 3};
  const std::size_t other = deployment.owner() == 0 ? 1 : 0;
  const auto caller = deployment.session(other, "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 WRITE hide 8").starts_with("COMPLETE signed|READY T"));

  deployment.process(other).signal(SIGSTOP);
  // The other VMs take a silent VM for dead within about a second.
  deployment.loop.run_for(std::chrono::seconds{3});
  deployment.process(other).signal(SIGCONT);

  CHECK(caller->ask_joined("QUERY t2 READ hide").starts_with("ROW 8|COMPLETE signed|READY T"));
  CHECK(caller->ask_joined("QUERY c1 COMMIT").starts_with("COMPLETE signed|READY I"));
  CHECK(deployment.database->value_of("hide") == "8");
}

}  // namespace
}  // namespace bulrushlift::entry
