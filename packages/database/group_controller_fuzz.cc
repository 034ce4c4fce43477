#include <fmt/format.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>

#include "database/simulation_commands_fake.h"

/// @file
/// Runs one or two competing controllers with three member models; commands inject faults.
/// The oracle guards against lost writes, writes that run twice, partial transactions,
/// acknowledgements by a former primary, reads that miss the session's own writes, data that is older
/// than claimed and a group that does not recover.

namespace rc {

using bulrushlift::simulation::command;
using bulrushlift::simulation::command_kind;
using bulrushlift::simulation::command_kinds;

template <>
struct Arbitrary<command> {
  static Gen<command> arbitrary() {
    // Half of the commands are requests and short waits, so that faults occur while requests are in flight.
    const auto kind = gen::map(gen::inRange(0, command_kinds * 2), [](int n) {
      return static_cast<command_kind>(n < command_kinds ? n
                                                         : n % (static_cast<int>(command_kind::wait) + 1));
    });
    return gen::build<command>(gen::set(&command::kind, kind),
                               gen::set(&command::first, gen::arbitrary<std::uint8_t>()),
                               gen::set(&command::second, gen::arbitrary<std::uint8_t>()));
  }
};

}  // namespace rc

namespace bulrushlift::simulation {
namespace {

constexpr std::size_t commands_per_case = 250;

struct totals {
  std::size_t commands = 0;
  std::size_t acknowledged = 0;
  std::size_t reads = 0;
  std::uint64_t terms = 0;
};

void run_case(std::size_t controllers, totals& sum) {
  simulated_group_options options;
  options.controllers = controllers;
  options.seed = *rc::gen::arbitrary<std::uint32_t>();
  options.clock_permille = *rc::gen::container<std::vector<int>>(controllers + 3, rc::gen::inRange(-10, 11));
  const auto commands =
      *rc::gen::container<std::vector<command>>(commands_per_case, rc::gen::arbitrary<command>());

  simulated_group group{options};
  command_runner runner{group, controllers, 3};
  group.advance(std::chrono::milliseconds{300});
  for (const auto& item : commands) runner.run(item);
  group.finish();

  sum.commands += commands.size();
  sum.acknowledged += group.oracle().acknowledged();
  sum.reads += group.oracle().reads();
  sum.terms += group.view(0).term.value();
  for (const auto& violation : group.oracle().violations()) RC_LOG() << violation << "\n";
  RC_ASSERT(group.oracle().violations().empty());
}

void check_cases(std::size_t controllers) {
  totals sum;
  const bool is_clean = rc::check([&] { run_case(controllers, sum); });
  fmt::print("{} controllers: {} commands, {} writes acknowledged, {} reads, {} terms\n", controllers,
             sum.commands, sum.acknowledged, sum.reads, sum.terms);
  CHECK(is_clean);
  // Guards against a run in which the faults prevent almost all requests, so that nothing is checked.
  CHECK(sum.acknowledged > 1'000);
  CHECK(sum.reads > 200);
  CHECK(sum.terms > 200);
}

TEST_CASE("one controller keeps the invariants under faults") { check_cases(1); }
TEST_CASE("two competing controllers keep the invariants under faults") { check_cases(2); }

}  // namespace
}  // namespace bulrushlift::simulation
