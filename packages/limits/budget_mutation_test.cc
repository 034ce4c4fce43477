#include <catch2/catch.hpp>

#include "limits/budget_commands_fake.h"

namespace bulrushlift {
namespace {

constexpr std::uint64_t seeds = 300;
constexpr std::size_t commands_per_seed = 400;

/// @return the first seed for which the oracle reports a violation, or 0 if there is none.
std::uint64_t seeds_until_violation(budget_test_faults faults, budget_options options = {}) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    if (run_fleet(seed, commands_of(seed, commands_per_seed), faults, options).violation()) return seed;
  }
  return 0;
}

// Guards against an oracle that reports a violation although no fault is injected.
TEST_CASE("the oracle accepts the rules") { CHECK(seeds_until_violation({}) == 0); }

// These tests guard against an oracle that misses a fault.
TEST_CASE("the oracle notices loans whose lifetime counts from the reply") {
  CHECK(seeds_until_violation({.expires_from_receipt = true}) > 0);
}

TEST_CASE("the oracle notices loans that the lender does not count") {
  CHECK(seeds_until_violation({.forgets_outstanding = true}) > 0);
}

TEST_CASE("the oracle notices shares that rise at once") {
  CHECK(seeds_until_violation({.raises_at_once = true}) > 0);
}

TEST_CASE("the oracle notices buckets that start full") {
  CHECK(seeds_until_violation({.starts_full = true}) > 0);
}

/// Options of the proxy that serves sessions: limits in a window, and a short delay after a start.
budget_options windowed_options() {
  budget_options options;
  options.window = std::chrono::seconds{5};
  options.dissemination_bound = std::chrono::seconds{3};
  options.loan_lifetime = std::chrono::milliseconds{120};
  options.loan_wait = std::chrono::milliseconds{60};
  options.start_delay = options.outstanding_time();
  options.restart_limit_fraction = 0.05;
  options.restart_tokens = whole_tokens(10);
  return options;
}

/// Runs a fleet whose customer asks for more than its limit after a time without demand.
/// @return whether the oracle reports a violation for any of the seeds.
bool exceeds_window(budget_test_faults faults) {
  const customer_id customer{"small"};
  budget_document document;
  document.customers[customer] = {whole_tokens(20), whole_tokens(20)};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    budget_fleet fleet{{990, 1'000, 1'010, 1'000, 1'000}, document, seed, windowed_options(), faults};
    fleet.advance(std::chrono::seconds{20});
    for (std::size_t i = 0; i < 4'000 && !fleet.violation(); ++i) {
      fleet.admit(i % fleet.instances(), customer, whole_tokens(1));
      fleet.advance(std::chrono::milliseconds{5});
    }
    if (fleet.violation()) return true;
  }
  return false;
}

// Guards against a window oracle that reports a violation although no fault is injected.
TEST_CASE("the oracle accepts the rules with a window") {
  CHECK(seeds_until_violation({}, windowed_options()) == 0);
  CHECK_FALSE(exceeds_window({}));
}

TEST_CASE("the window oracle notices loans that the lender does not count") {
  CHECK(exceeds_window({.forgets_outstanding = true}));
}

}  // namespace
}  // namespace bulrushlift
