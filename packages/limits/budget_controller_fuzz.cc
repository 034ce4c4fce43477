#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "limits/budget_commands_fake.h"

namespace bulrushlift {
namespace {

/// Runs random commands on simulated fleets.
void check_limits(const budget_options& options) {
  std::uint64_t admitted = 0;
  std::uint64_t commands = 0;
  const bool holds = rc::check([&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto list = *rc::gen::container<std::vector<fleet_command>>(
        400, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<fleet_command>()));
    const auto fleet = run_fleet(seed, list, {}, options);
    admitted += fleet.admitted_count();
    commands += list.size();
    if (fleet.violation()) RC_FAIL(*fleet.violation());
  });
  INFO("commands " << commands << ", admitted " << admitted);
  CHECK(holds);
  CHECK(commands >= 10'000);
  CHECK(admitted >= commands / 10);
}

// Guards against an order of loans, faults and documents in which a customer gets more than
// its rate and burst (I7), and against a fleet that admits nothing.
TEST_CASE("no fault lets a customer exceed rate and burst") { check_limits({}); }

// Guards against the same with limits that count in a window.
TEST_CASE("no fault lets a customer exceed the limit of a window") {
  budget_options options;
  options.window = std::chrono::seconds{5};
  options.dissemination_bound = std::chrono::seconds{3};
  options.loan_lifetime = std::chrono::milliseconds{120};
  options.loan_wait = std::chrono::milliseconds{60};
  options.start_delay = options.outstanding_time();
  options.restart_limit_fraction = 0.05;
  options.restart_tokens = whole_tokens(10);
  check_limits(options);
}

}  // namespace
}  // namespace bulrushlift
