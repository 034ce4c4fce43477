#include <catch2/catch.hpp>

#include "limits/budget_commands_fake.h"

namespace bulrushlift {
namespace {

constexpr std::uint64_t seeds = 300;
constexpr std::size_t commands_per_seed = 400;

/// @return the first seed for which the oracle reports a violation, or 0 if there is none.
std::uint64_t seeds_until_violation(budget_test_faults faults) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    if (run_fleet(seed, commands_of(seed, commands_per_seed), faults).violation()) return seed;
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

}  // namespace
}  // namespace bulrushlift
