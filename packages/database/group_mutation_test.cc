#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "database/simulation_commands_fake.h"

/// @file
/// Guards against an oracle that detects nothing: each rule is broken in turn, and the oracle must report
/// a violation after random commands. Without a broken rule it must report none.

namespace bulrushlift::simulation {
namespace {

constexpr std::uint32_t seeds = 60;
constexpr int commands_per_seed = 200;

/// @return a command; most of them cause promotions while writes are in flight.
command random_command(std::mt19937& random) {
  using enum command_kind;
  static constexpr std::array weighted_kinds{
      write,          write,          keyed_write,  keyed_write, keyed_write,      read,
      repeat,         repeat,         wait,         wait,        crash_member,     pause_member,
      isolate_member, isolate_member, cut_one_way,  lag_replica, pause_controller, pause_at_step,
      leave,          lose_answer,    toggle_owner, resolve};
  const auto number = [&random] { return static_cast<std::uint8_t>(random()); };
  return {weighted_kinds[random() % weighted_kinds.size()], number(), number()};
}

/// @return the violations of the first seed that has any, or nothing.
std::vector<std::string> find_violations(simulated_group_options options) {
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    options.seed = seed;
    simulated_group group{options};
    command_runner runner{group, options.controllers, options.members};
    std::mt19937 random{seed};
    group.advance(std::chrono::milliseconds{300});
    for (int i = 0; i < commands_per_seed; ++i) runner.run(random_command(random));
    group.finish();
    if (!group.oracle().violations().empty()) {
      WARN("seed " << seed << ": " << group.oracle().violations().front());
      return group.oracle().violations();
    }
  }
  return {};
}

simulated_group_options with_rule(broken_group_rule rule) {
  simulated_group_options options;
  options.controller = group_options_builder{}.broken_rule(rule).build().value();
  return options;
}

TEST_CASE("no rule broken") { CHECK(find_violations({}).empty()); }
// Guards against a majority that is computed correctly for three members only.
TEST_CASE("no rule broken in a group of five") {
  simulated_group_options options;
  options.members = 5;
  CHECK(find_violations(options).empty());
}

TEST_CASE("broken rule: no fencing") {
  CHECK_FALSE(find_violations(with_rule(broken_group_rule::no_fencing)).empty());
}
TEST_CASE("broken rule: the oldest member is promoted") {
  CHECK_FALSE(find_violations(with_rule(broken_group_rule::promote_oldest)).empty());
}
TEST_CASE("broken rule: acknowledged without a second member") {
  CHECK_FALSE(find_violations(with_rule(broken_group_rule::acknowledge_alone)).empty());
}
TEST_CASE("broken rule: a replica of another term counts") {
  CHECK_FALSE(find_violations(with_rule(broken_group_rule::count_any_term)).empty());
}
TEST_CASE("broken rule: no barrier") {
  simulated_group_options options;
  options.member_rule = standin::member_broken_rule::skip_barrier;
  CHECK_FALSE(find_violations(options).empty());
}

}  // namespace
}  // namespace bulrushlift::simulation
