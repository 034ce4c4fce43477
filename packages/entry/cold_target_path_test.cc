#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "entry/session_deployment_fake.h"

// End-to-end test of targets that are slow after their start.

namespace bulrushlift::entry {
namespace {

using namespace std::chrono_literals;

constexpr double per_second = 10;
constexpr double overage = 1.5;
constexpr double slack = 5;

// Guards against the statements of several VMs that go to an idle target at once because it is idle.
TEST_CASE("A cold target gets its allowance from all VMs together, and warm targets the rest") {
  session_deployment deployment{"cold_target", 2};
  deployment.more_settings = {
      {"cold_statements_per_second", per_second}, {"cold_overage", overage}, {"cold_slack", slack}};
  deployment.announce_cold("i-b", 120'000);
  deployment.announce_cold("i-c", 120'000);
  for (std::size_t vm = 0; vm < 2; ++vm) {
    deployment.process(vm).kill();
    deployment.start_vm(vm);
  }
  const std::vector<std::unique_ptr<test_caller>> readers = [&] {
    std::vector<std::unique_ptr<test_caller>> all;
    for (std::size_t vm = 0; vm < 2; ++vm) all.push_back(deployment.session(vm, "stock"));
    return all;
  }();

  // When each statement had run at "i-c", to within one answer.
  std::vector<time_point> cold_runs;
  std::size_t warm_runs = 0;
  auto seen = deployment.database->runs().size();
  const auto end = deployment.loop.now() + 4s;
  for (int number = 0; deployment.loop.now() < end; ++number) {
    for (const auto& each : readers)
      CHECK(each->ask_joined("QUERY r" + std::to_string(number) + " READ hide").starts_with("ROW"));
    const auto& runs = deployment.database->runs();
    for (; seen < runs.size(); ++seen) {
      if (runs[seen].target == "i-c") cold_runs.push_back(deployment.loop.now());
      if (runs[seen].target == "i-a") ++warm_runs;
    }
  }

  std::size_t most = 0;
  for (auto it = cold_runs.begin(); it != cold_runs.end(); ++it) {
    const auto window_end = std::lower_bound(it, cold_runs.end(), *it + 1s);
    most = std::max(most, static_cast<std::size_t>(window_end - it));
  }
  CHECK(!cold_runs.empty());
  CHECK(static_cast<double>(most) <= per_second * overage + slack);
  CHECK(warm_runs > cold_runs.size());
}

}  // namespace
}  // namespace bulrushlift::entry
