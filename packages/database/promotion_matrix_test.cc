#include <fmt/format.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "database/simulated_group_fake.h"

/// @file
/// Tests each pair of a step and a fault, called a cell. The fault is injected at that step, and the
/// oracle guards against requests that are lost, run twice or get a wrong answer, and against a group
/// that does not recover. The cells are built from the two lists, so that they cover a new step or fault.

namespace bulrushlift::simulation {
namespace {

using namespace std::chrono_literals;

enum class step { read, write, transaction, poll, long_poll, fence, promote, follow, acknowledge };
constexpr std::array steps{step::read,  step::write,   step::transaction, step::poll,       step::long_poll,
                           step::fence, step::promote, step::follow,      step::acknowledge};

enum class fault {
  controller_crash,
  controller_pause,
  primary_crash,
  primary_pause,
  replica_crash,
  primary_isolated,
  cut_to_primary,
  cut_from_primary,
  cut_from_replica,
  lost_answers,
  duplicates,
  slow_links,
  lagging_replicas,
  primary_crash_twice,
  controller_and_primary_crash,
};
constexpr std::array faults{
    fault::controller_crash, fault::controller_pause,    fault::primary_crash,
    fault::primary_pause,    fault::replica_crash,       fault::primary_isolated,
    fault::cut_to_primary,   fault::cut_from_primary,    fault::cut_from_replica,
    fault::lost_answers,     fault::duplicates,          fault::slow_links,
    fault::lagging_replicas, fault::primary_crash_twice, fault::controller_and_primary_crash};

// The switches below have no default, so that the compiler reports a missing step or fault.

std::string_view name_of(step item) {
  switch (item) {
    case step::read:
      return "read";
    case step::write:
      return "write";
    case step::transaction:
      return "transaction";
    case step::poll:
      return "poll";
    case step::long_poll:
      return "long_poll";
    case step::fence:
      return "fence";
    case step::promote:
      return "promote";
    case step::follow:
      return "follow";
    case step::acknowledge:
      return "acknowledge";
  }
  return {};
}

/// @return whether the action belongs to the step.
bool is_action_of(step item, const group_action& action) {
  switch (item) {
    case step::read:
    case step::write:
    case step::transaction:
      return false;  // Started by callers, not by actions of the controller.
    case step::poll:
      return std::holds_alternative<poll_target>(action);
    case step::long_poll:
      return std::holds_alternative<long_poll_target>(action);
    case step::fence:
      return std::holds_alternative<fence_target>(action);
    case step::promote:
      return std::holds_alternative<promote_target>(action);
    case step::follow:
      return std::holds_alternative<follow_target>(action);
    case step::acknowledge:
      return std::holds_alternative<acknowledge_write>(action);
  }
  return false;
}

bool is_promotion_step(step item) {
  return item == step::fence || item == step::promote || item == step::follow;
}

/// A simulated group with two controllers and one fault that is injected once.
class cell {
 public:
  cell(step at, fault kind) : at_(at), kind_(kind), group_(make_options()) {}

  void run() {
    group_.advance(500ms);
    run_callers(3);
    // The fault affects the controller that takes the step first.
    group_.set_hook([this](std::size_t controller, const group_action& action) {
      if (is_injected_ || !is_action_of(at_, action)) return;
      controller_ = controller;
      inject_fault();
    });
    const bool is_caller_step = at_ == step::read || at_ == step::write || at_ == step::transaction;
    if (is_caller_step) inject_during_request();
    if (is_promotion_step(at_)) group_.crash_node(group_.member_node(group_.primary_index().value()));
    for (int i = 0; i < 60; ++i) {
      run_callers(1);
      group_.advance(50ms);
    }
    CHECK(is_injected_);
    group_.finish();
    INFO(group_.oracle().summary());
    CHECK(group_.oracle().violations().empty());
    CHECK(group_.oracle().acknowledged() > 10);
  }

 private:
  static simulated_group_options make_options() {
    simulated_group_options options;
    options.clock_permille = {10, -10, 10, -10, 0};
    return options;
  }

  void run_callers(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      const std::size_t controller = i % 2;
      group_.write(controller, 0, false);
      group_.write(controller, 1, true);
      group_.transact(controller, 2);
      for (std::size_t session = 0; session < 3; ++session) group_.read(controller, session, session);
      for (auto& [name, op] : group_.operations()) group_.repeat(controller, op);
      group_.advance(10ms);
    }
  }

  /// Injects the fault while a request is in transit.
  void inject_during_request() {
    if (at_ == step::read) group_.read(0, 0, 0);
    if (at_ == step::write) group_.write(0, 0, true);
    if (at_ == step::transaction) group_.transact(0, 0);
    group_.advance(1200us);
    inject_fault();
  }

  void crash(node_id node, duration length) {
    group_.crash_node(node);
    group_.network().schedule(length, [this, node] { group_.start_node(node); });
  }

  void pause(node_id node) {
    group_.network().pause(node);
    group_.network().schedule(1s, [this, node] { group_.network().resume(node); });
  }

  void cut(node_id from, node_id to) {
    group_.network().cut(from, to);
    group_.network().schedule(1500ms, [=, this] { group_.network().restore(from, to); });
  }

  void inject_fault() {
    is_injected_ = true;
    const auto primary = group_.member_node(group_.primary_index().value());
    const auto replica = group_.member_node((group_.primary_index().value() + 1) % 3);
    auto& network = group_.network();
    switch (kind_) {
      case fault::controller_crash:
        return crash(controller_, 1s);
      case fault::controller_pause:
        return pause(controller_);
      case fault::primary_crash:
        return crash(primary, 1s);
      case fault::primary_pause:
        return pause(primary);
      case fault::replica_crash:
        return crash(replica, 1s);
      case fault::primary_isolated:
        for (node_id node = 2; node < 5; ++node) {
          cut(primary, node);
          cut(node, primary);
        }
        return;
      case fault::cut_to_primary:
        return cut(controller_, primary);
      case fault::cut_from_primary:
        return cut(primary, controller_);
      case fault::cut_from_replica:
        return cut(replica, controller_);
      case fault::lost_answers:
        for (node_id node = 2; node < 5; ++node) network.drop_next(node, controller_);
        return;
      case fault::duplicates:
        for (node_id node = 2; node < 5; ++node) {
          network.duplicate_next(controller_, node);
          network.duplicate_next(node, controller_);
        }
        return;
      case fault::slow_links:
        for (node_id node = 2; node < 5; ++node) network.set_delay(controller_, node, 100ms);
        network.schedule(1s, [&network] { network.heal_links(); });
        return;
      case fault::lagging_replicas:
        for (std::size_t i = 0; i < 3; ++i) group_.member(i).set_replication_lag(700ms);
        return;
      case fault::primary_crash_twice:
        crash(primary, 300ms);
        network.schedule(600ms, [=, this] { crash(primary, 300ms); });
        return;
      case fault::controller_and_primary_crash:
        crash(controller_, 1s);
        return crash(primary, 1s);
    }
  }

  step at_;
  fault kind_;
  simulated_group group_;
  node_id controller_ = 0;
  bool is_injected_ = false;
};

TEST_CASE("each step withstands each fault") {
  for (const auto at : steps) {
    for (std::size_t kind = 0; kind < faults.size(); ++kind) {
      INFO(fmt::format("step {}, fault {}", name_of(at), kind));
      cell{at, faults[kind]}.run();
    }
  }
}

// Guards against an event or action that is added without a step in the list above.
TEST_CASE("each request action of the controller is a step") {
  const std::array<group_action, 6> requests{poll_target{},    long_poll_target{}, fence_target{},
                                             promote_target{}, follow_target{},    acknowledge_write{}};
  for (const auto& action : requests) {
    const auto count =
        std::count_if(steps.begin(), steps.end(), [&](step item) { return is_action_of(item, action); });
    CHECK(count == 1);
  }
  // Not steps: end_write_unknown, publish_group_status and log_decision send nothing to a target.
  CHECK(std::variant_size_v<group_action> == requests.size() + 3);
}

}  // namespace
}  // namespace bulrushlift::simulation
