#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "entry/session_deployment_fake.h"

// End-to-end tests of a data centre whose VMs learn of targets from two VMs that watch the store.

namespace bulrushlift::entry {
namespace {

// The first VM is in another data centre, the other ten are in one.
constexpr std::size_t vms_started = 11;

struct sharing_deployment : session_deployment {
  explicit sharing_deployment(const std::string& name) : session_deployment(name, vms_started), name_(name) {
    await("followers", [&] {
      std::size_t followers = 0;
      for (std::size_t vm = 1; vm < vms_started; ++vm) followers += is_follower(vm) ? 1 : 0;
      return followers >= vms_started - 3;
    });
  }

  [[nodiscard]] bool is_follower(std::size_t vm) const {
    return has_logged(vm, {"store_watch_followed", "\"servers\""});
  }
  [[nodiscard]] std::size_t watcher() const {
    std::size_t vm = 1;
    while (vm < vms_started && is_follower(vm)) ++vm;
    REQUIRE(vm < vms_started);
    return vm;
  }
  /// @return a number in the first line of an event in the log of a VM; 0 if there is none.
  [[nodiscard]] std::uint64_t logged_number(std::size_t vm, const std::string& event,
                                            const std::string& field) const {
    std::ifstream log{fmt::format("{}/path/{}/entry-{}.log", BULRUSHLIFT_BINARY_DIR, name_, vm)};
    for (std::string line; std::getline(log, line);) {
      const auto content = nlohmann::json::parse(line, nullptr, false);
      if (content.is_object() && content.value("event", "") == event) return content.value(field, 0U);
    }
    return 0;
  }
  /// Waits until all VMs but one have logged a line with all the texts.
  void await_logged(const std::vector<std::string>& texts, std::size_t except = vms_started) {
    for (std::size_t vm = 0; vm < vms_started; ++vm) {
      if (vm != except) await(texts.front() + " at a VM", [&] { return has_logged(vm, texts); });
    }
  }

 private:
  std::string name_;
};

// Guards against followers that hear of no change, and against those that trust a VM that is gone.
TEST_CASE("Followers learn of targets also after a watching VM was killed") {
  sharing_deployment deployment{"sharing_killed"};
  deployment.announce("i-b", "draining");
  deployment.await_logged({"target_announced", "i-b", "leaving"});
  const auto killed = deployment.watcher();
  deployment.process(killed).kill();
  deployment.announce("i-c", "draining");
  deployment.await_logged({"target_announced", "i-c", "leaving"}, killed);
  deployment.platform->remove("servers", "i-b");
  deployment.await_logged({"target_removed", "i-b"}, killed);
}

// Guards against followers that wait for VMs that keep their connections open but say nothing, and against
// the old state that these tell when they go on.
TEST_CASE("Followers learn of targets while a watching VM is paused and after it") {
  sharing_deployment deployment{"sharing_paused"};
  const auto paused = deployment.watcher();
  deployment.process(paused).signal(SIGSTOP);
  deployment.announce("i-b", "draining");
  deployment.await_logged({"target_announced", "i-b", "leaving"}, paused);
  deployment.platform->remove("servers", "i-b");
  deployment.await_logged({"target_removed", "i-b"}, paused);
  deployment.process(paused).signal(SIGCONT);
  deployment.announce("i-c", "draining");
  deployment.await_logged({"target_announced", "i-c", "leaving"});
  deployment.await_logged({"target_removed", "i-b"});
}

// Guards against VMs that wait for each other when none of them knows anything yet.
TEST_CASE("Followers learn of targets after all VMs were restarted at once") {
  sharing_deployment deployment{"sharing_restarted"};
  for (std::size_t vm = 0; vm < vms_started; ++vm) deployment.process(vm).kill();
  for (std::size_t vm = 0; vm < vms_started; ++vm) deployment.start_vm(vm);
  deployment.announce("i-b", "draining");
  deployment.await_logged({"target_announced", "i-b", "leaving"});
  deployment.announce("i-c", "draining");
  deployment.await_logged({"target_announced", "i-c", "leaving"});
}

// Guards against watch calls of all VMs at each change: they are the largest part of the calls to the store.
TEST_CASE("Changes of targets cost calls of two VMs only") {
  sharing_deployment deployment{"sharing_calls"};
  constexpr int changes = 15;
  for (int i = 0; i < changes; ++i) {
    deployment.announce("i-b", i % 2 == 0 ? "draining" : "ready");
    deployment.loop.run_for(std::chrono::milliseconds{400});
  }
  deployment.await_logged({"\"store_calls\""});
  std::uint64_t calls = 0;
  for (std::size_t vm = 1; vm < vms_started; ++vm)
    calls += deployment.logged_number(vm, "store_calls", "targets");
  // Two VMs hear of each change and wait in between; each other VM lists and watches at its start.
  CHECK(calls <= 2 * (changes + 10) + (vms_started - 3) * 4);
  CHECK(calls >= 2 * changes);
}

// Guards against followers that stay with the lost history of a store that came back older.
TEST_CASE("Followers learn of targets after the store came back older") {
  sharing_deployment deployment{"sharing_restored"};
  deployment.platform->save_copy();
  deployment.announce("i-b", "draining");
  deployment.await_logged({"target_announced", "i-b", "leaving"});
  deployment.platform->restore_copy();
  deployment.announce("i-c", "draining");
  deployment.await_logged({"target_announced", "i-c", "leaving"});
  deployment.await_logged({"store_restored", "\"servers\""});
}

}  // namespace
}  // namespace bulrushlift::entry
