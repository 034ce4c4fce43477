#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/session_deployment_fake.h"

// End-to-end tests of promotions in a service whose commits a replica has to confirm: no commit is lost that
// a caller saw acknowledged.

namespace bulrushlift::entry {
namespace {

using namespace std::chrono_literals;

constexpr duration step = 5ms;

/// Callers that write one item after the other, each item once, and keep what was acknowledged.
class steady_writers {
 public:
  explicit steady_writers(session_deployment& deployment) : deployment_(deployment) {
    for (std::size_t vm = 0; vm < deployment.vm_count(); ++vm) {
      for (int i = 0; i < writers_per_vm; ++i) writers_.push_back({vm, deployment.session(vm, "orders"), {}});
    }
  }

  /// Writes until the time is over.
  void run_for(duration time) {
    const auto end = deployment_.loop.now() + time;
    while (deployment_.loop.now() < end) step_once();
  }
  /// Writes until the condition holds.
  void run_until(const std::string& what, const std::function<bool()>& condition) {
    deployment_.await(what, [&] {
      step_once();
      return condition();
    });
  }
  [[nodiscard]] std::size_t acknowledged() const noexcept { return acknowledged_.size(); }
  /// @return the items whose write was acknowledged and that the primary does not have.
  [[nodiscard]] std::vector<std::string> lost() const {
    std::vector<std::string> items;
    for (const auto& each : acknowledged_) {
      if (deployment_.database->value_of(each).empty()) items.push_back(each);
    }
    return items;
  }

 private:
  static constexpr int writers_per_vm = 2;

  struct writer {
    std::size_t vm = 0;
    std::unique_ptr<test_caller> caller;
    std::string item;  ///< Whose write runs; empty for none.
  };

  void step_once() {
    for (auto& each : writers_) advance(each);
    deployment_.loop.run_for(step);
  }
  void advance(writer& each) {
    if (each.caller->is_closed()) {
      each.caller = deployment_.connect(each.vm);
      each.caller->send("START orders key-shop\r\n");
      each.item.clear();
      return;
    }
    if (each.caller->unread_answers() == 0 && !(each.item.empty() && each.caller->received().empty())) return;
    if (each.caller->unread_answers() > 0) {
      const auto answer = each.caller->read_answer();
      const bool is_done = !each.item.empty() && answer.front().starts_with("COMPLETE");
      if (is_done) acknowledged_.push_back(each.item);
    }
    each.item = "item" + std::to_string(++items_);
    each.caller->send("QUERY q" + each.item + " WRITE " + each.item + " 1\r\n");
  }

  session_deployment& deployment_;
  std::vector<writer> writers_;
  std::vector<std::string> acknowledged_;
  int items_ = 0;
};

std::unique_ptr<session_deployment> start_synchronous(const std::string& name) {
  auto deployment = std::make_unique<session_deployment>(name, 3);
  deployment->synchronous_replicas = 1;
  deployment->promotion_delay = 300ms;
  deployment->database->require_replica();
  deployment->publish(2, {"key-shop"});
  return deployment;
}

// Guards against an order without an answer that is taken for a refused one: the replicas then received
// commits again while the order could still take effect, and it did without them.
TEST_CASE("No acknowledged commit is lost when a promotion order gets no answer") {
  const auto deployment = start_synchronous("late_promotion");
  auto& platform = *deployment->platform;
  // The first target that is ordered gets no word of what follows, so that the other replica alone confirms.
  deployment->database->on_control([&](const std::string& member, const std::string& verb) {
    const bool is_late = verb == "RESUME" && member == "i-b";
    return control_fate{false, is_late ? duration{2'200ms} : duration{}};
  });
  steady_writers writers{*deployment};
  writers.run_for(500ms);
  platform.faults().late_promotions = 1;
  platform.faults().lateness = 2'200ms;
  deployment->announce("i-a", "draining");

  writers.run_until("promotion", [&] { return deployment->database->primary() != "i-a"; });
  writers.run_for(3s);

  CHECK(writers.lost().empty());
  const auto before = writers.acknowledged();
  writers.run_until("write at the new primary", [&] { return writers.acknowledged() > before; });
}

// Guards against writes that wait for as long as the platform leaves promotion orders unanswered.
TEST_CASE("Writes go on while the platform answers no promotion order") {
  const auto deployment = start_synchronous("unanswered_promotions");
  steady_writers writers{*deployment};
  writers.run_for(500ms);
  deployment->platform->faults().late_promotions = 1'000;
  deployment->platform->faults().lateness = 1h;
  deployment->announce("i-a", "draining");
  writers.run_until("order", [&] {
    return deployment->count_logged(0, "\"promotion_ordered\"") +
               deployment->count_logged(1, "\"promotion_ordered\"") +
               deployment->count_logged(2, "\"promotion_ordered\"") >
           0;
  });

  const auto before = writers.acknowledged();
  writers.run_until("writes at the old primary", [&] { return writers.acknowledged() > before + 20; });

  CHECK(deployment->database->primary() == "i-a");
  CHECK(writers.lost().empty());
}

// Guards against a VM that gives up its own attempt and ends the pause of the replicas on which another VM's
// order relies.
TEST_CASE("A VM that gives up a promotion does not let commits pass the order of another VM") {
  const auto deployment = start_synchronous("two_surveys");
  auto& database = *deployment->database;
  bool is_busy = false;
  // The replicas have no free slot until two VMs wait for their answers. Then i-b has none for a RESUME.
  database.on_control([&](const std::string& member, const std::string& verb) {
    return control_fate{is_busy || (verb == "RESUME" && member == "i-b"), {}};
  });
  steady_writers writers{*deployment};
  writers.run_for(500ms);
  is_busy = true;
  deployment->announce("i-a", "draining");
  const auto surveys = [&](std::size_t vm) {
    return deployment->count_logged(vm, "\"primary_lost\"") -
           deployment->count_logged(vm, "\"promotion_given_up\"");
  };
  writers.run_until("two surveys at once", [&] { return surveys(0) + surveys(1) + surveys(2) >= 2; });
  is_busy = false;

  writers.run_until("promotion", [&] { return database.primary() != "i-a"; });
  writers.run_for(1s);

  CHECK(writers.lost().empty());
}

}  // namespace
}  // namespace bulrushlift::entry
