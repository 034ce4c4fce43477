#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "entry/session_deployment_fake.h"

// End-to-end tests of a store that comes back from a copy and has lost its newest changes.

namespace bulrushlift::entry {
namespace {

void await_key(session_deployment& deployment, std::size_t vm, const std::string& key) {
  deployment.await("session with " + key,
                   [&] { return deployment.connect(vm)->ask_joined("START orders " + key) == "READY I -"; });
}

void await_record(session_deployment& deployment, const std::string& vm) {
  deployment.await("record of " + vm,
                   [&] { return !deployment.platform->content_of("bulrushlift-vms", vm).is_null(); });
}

/// A session that reads, and tells which target ran each read.
class reading_session {
 public:
  explicit reading_session(session_deployment& deployment)
      : deployment_(deployment), caller_(deployment.session(0, "stock")) {}

  /// @return the target that ran one read.
  std::string read_target() {
    const auto id = "r" + std::to_string(++reads_);
    CHECK(caller_->ask_joined("QUERY " + id + " READ hide").starts_with("ROW"));
    const auto& runs = deployment_.database->runs();
    const auto run = std::find_if(runs.begin(), runs.end(), [&](const auto& each) { return each.id == id; });
    REQUIRE(run != runs.end());
    return run->target;
  }

  void await_replica() {
    deployment_.await("read at a replica", [&] { return read_target() != "i-a"; });
  }

  void await_primary_only() {
    int primary_reads = 0;
    deployment_.await("reads at the primary only", [&] {
      primary_reads = read_target() == "i-a" ? primary_reads + 1 : 0;
      return primary_reads == checked_reads;
    });
  }

  /// Number of successive reads that show which targets get work.
  static constexpr int checked_reads = 30;

 private:
  session_deployment& deployment_;
  std::unique_ptr<test_caller> caller_;
  int reads_ = 0;
};

// Guards against changes that are dropped because their revisions are not above those of the lost history.
TEST_CASE("Changes are in force after the store came back older") {
  session_deployment deployment{"restored_changes", 2};
  await_key(deployment, 0, "key-shop");
  await_key(deployment, 1, "key-shop");
  deployment.platform->save_copy();
  for (std::uint64_t version = 2; version <= 5; ++version) deployment.publish(version, {"key-lost"});
  await_key(deployment, 0, "key-lost");
  await_key(deployment, 1, "key-lost");

  deployment.platform->restore_copy();
  deployment.publish(6, {"key-new"});

  await_key(deployment, 0, "key-new");
  await_key(deployment, 1, "key-new");
  CHECK(deployment.connect(0)->ask_joined("START orders key-lost").starts_with("ERROR DENIED"));
}

// Guards against a revoked key that is in use again because the store has an older configuration.
TEST_CASE("A VM that starts after the store came back older has the configuration of its peers") {
  session_deployment deployment{"restored_restart", 2};
  await_key(deployment, 0, "key-shop");
  await_key(deployment, 1, "key-shop");
  deployment.platform->save_copy();
  deployment.publish(2, {"key-new"});
  await_key(deployment, 0, "key-new");
  deployment.platform->restore_copy();
  deployment.process(1).kill();

  deployment.start_vm(1);

  await_key(deployment, 1, "key-new");
  CHECK(deployment.connect(1)->ask_joined("START orders key-shop").starts_with("ERROR DENIED"));
}

// Guards against a fencing token that the platform has seen, and against promotions that nobody can claim.
TEST_CASE("Fencing tokens rise although the store came back older") {
  session_deployment deployment{"restored_promotion", 3};
  const auto caller = deployment.session(0, "orders");
  for (const auto* vm : {"entry-0", "entry-1", "entry-2"}) await_record(deployment, vm);
  deployment.platform->save_copy();
  deployment.announce("i-a", "draining");
  deployment.await("promotion", [&] { return !deployment.platform->promotions().empty(); });
  const auto second = deployment.database->primary();
  deployment.await("write at the second primary", [&] {
    return caller->ask_joined("QUERY w1 WRITE hide 7").starts_with("COMPLETE signed");
  });

  deployment.platform->restore_copy();
  deployment.announce(second, "draining");
  deployment.await("second promotion", [&] { return deployment.database->primary() != second; });

  const auto& orders = deployment.platform->promotions();
  CHECK(std::all_of(orders.begin(), orders.end(), [](const auto& each) { return each.is_accepted; }));
  CHECK(orders.back().token > orders.front().token);
  deployment.await("write at the third primary", [&] {
    return caller->ask_joined("QUERY w2 WRITE hide 8").starts_with("COMPLETE signed");
  });
  CHECK(deployment.database->value_of("hide") == "8");
}

// Guards against a leaving target that gets work again because the store has its older report.
TEST_CASE("A leaving target gets no work after the store came back older") {
  session_deployment deployment{"restored_leaving", 1};
  reading_session session{deployment};
  await_record(deployment, "entry-0");
  session.await_replica();
  deployment.platform->save_copy();
  deployment.announce("i-b", "draining");
  deployment.announce("i-c", "draining");
  // The two reports may reach the VM one after the other, so a single read at the primary shows nothing.
  session.await_primary_only();

  deployment.platform->restore_copy();
  deployment.publish(2, {"key-shop", "key-new"});
  await_key(deployment, 0, "key-new");

  for (int i = 0; i < reading_session::checked_reads; ++i) CHECK(session.read_target() == "i-a");
}

// Guards against a live target that gets no more work: the store had dropped it, and the copy lists it with a
// report that is not newer than the one before. A target that has nothing to change makes no other.
TEST_CASE("A removed target that the copy of the store lists for long is in use again") {
  session_deployment deployment{"restored_target", 1};
  reading_session session{deployment};
  await_record(deployment, "entry-0");
  session.await_replica();
  deployment.platform->save_copy();
  deployment.platform->remove("servers", "i-b");
  deployment.platform->remove("servers", "i-c");
  session.await_primary_only();

  deployment.platform->restore_copy();

  session.await_replica();
}

// Guards against a VM that stays out of the list of VMs, from which the others choose a customer's home.
TEST_CASE("A VM whose record the store lost announces itself again") {
  session_deployment deployment{"restored_record", 2};
  await_record(deployment, "entry-0");
  deployment.process(1).kill();
  deployment.platform->remove("bulrushlift-vms", "entry-1");
  deployment.platform->save_copy();
  deployment.start_vm(1);
  await_record(deployment, "entry-1");

  deployment.platform->restore_copy();

  await_record(deployment, "entry-1");
  static_cast<void>(deployment.session(1, "orders"));
}

}  // namespace
}  // namespace bulrushlift::entry
