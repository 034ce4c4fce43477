#include <catch2/catch.hpp>

#include "soak/soak_world.h"

// The soak over real processes at fixed seeds.

namespace bulrushlift::soak {
namespace {

soak_outcome play(std::uint64_t seed) {
  soak_options options;
  options.seed = seed;
  options.span = std::chrono::seconds{6};
  options.daemon = BULRUSHLIFT_BINARY_DIR "/bin/bulrushliftd";
  options.folder = std::string{BULRUSHLIFT_BINARY_DIR} + "/path/soak-" + std::to_string(seed);
  soak_world world{options};
  return world.run();
}

// Guards against faults in combination that break what callers were promised. Seeds from 11 on
// have broken a promise: a paused owner ran the first statement of a transaction a second time,
// after another VM had run it and the transaction was over.
TEST_CASE("Promises hold while faults come in series and overlap") {
  const auto seed = GENERATE(as<std::uint64_t>{}, 1, 2, 11, 12, 20, 23);
  const auto outcome = play(seed);
  CAPTURE(seed, outcome.done, outcome.refused, outcome.unknown, outcome.promotions);
  for (const auto& each : outcome.violations) {
    UNSCOPED_INFO(each.rule << ": " << each.detail);
  }
  CHECK(outcome.violations.empty());
  CHECK(outcome.done > 0);
}

}  // namespace
}  // namespace bulrushlift::soak
