#include <malloc.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string>

#include "tools/rate_policies.h"

/// @file
/// Compares rate-limiting policies on the same seeded traffic in simulated time.
/// Prints JSON: the measures of each scenario and policy, and the cost of the loan
/// policy as a function of the number of VMs and of customers.
///
///     rate_policy_benchmark [load in percent of the rate, default 80]

namespace bulrushlift {
namespace {

using std::chrono::seconds;

constexpr std::array scenarios{rate_scenario::even,        rate_scenario::concentrated,
                               rate_scenario::moving,      rate_scenario::over_5,
                               rate_scenario::over_20,     rate_scenario::vm_lost,
                               rate_scenario::holder_lost, rate_scenario::partition};

double cpu_seconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

template <rate_policy Policy>
rate_measures run_policy(const rate_settings& settings) {
  rate_simulation simulation{settings};
  Policy policy{simulation};
  simulation.run([&](std::size_t index, const rate_request& request) { policy.on_request(index, request); },
                 [&](std::size_t vm) { policy.on_restart(vm); });
  return simulation.measures();
}

nlohmann::json to_json(const rate_measures& measures) {
  return {{"customers_over", measures.customers_over},
          {"wrongful_percent", measures.wrongful_percent},
          {"worst_served_percent", measures.worst_served_percent},
          {"over_rate_percent", measures.over_rate_percent},
          {"wait_p50_ms", measures.wait_p50_ms},
          {"wait_p99_ms", measures.wait_p99_ms},
          {"messages_per_vm_second", measures.messages_per_vm_second}};
}

/// Measures the cost of the loan policy. The cost of a run that admits every request is
/// subtracted from its CPU time.
nlohmann::json measure_loan_cost(std::size_t vms, std::size_t customers, rate_scenario scenario) {
  rate_settings settings{.vms = vms, .customers = customers, .scenario = scenario};
  settings.measured = seconds{10};
  const auto baseline_start = cpu_seconds();
  rate_simulation baseline{settings};
  baseline.run([&](std::size_t index, const rate_request&) { baseline.record_decision(index, true); },
               [](std::size_t) {});
  const auto baseline_cost = cpu_seconds() - baseline_start;

  const auto start = cpu_seconds();
  rate_simulation simulation{settings};
  const auto heap_before = mallinfo2().uordblks;
  loan_policy policy{simulation};
  const auto heap = mallinfo2().uordblks - heap_before;
  simulation.run([&](std::size_t index, const rate_request& request) { policy.on_request(index, request); },
                 [](std::size_t) {});
  const auto cost = cpu_seconds() - start - baseline_cost;
  const auto vm_seconds = static_cast<double>(vms) * 10;
  return {{"vms", vms},
          {"customers", customers},
          {"scenario", name_of(scenario)},
          {"messages_per_vm_second", simulation.measures().messages_per_vm_second},
          {"cpu_us_per_vm_second", cost * 1e6 / vm_seconds},
          {"bytes_per_vm", static_cast<double>(heap) / static_cast<double>(vms)}};
}

nlohmann::json compare(double load) {
  auto rows = nlohmann::json::array();
  for (const auto scenario : scenarios) {
    const rate_settings settings{.scenario = scenario, .load = load};
    rows.push_back({{"scenario", name_of(scenario)},
                    {"fixed_split", to_json(run_policy<fixed_split>(settings))},
                    {"loans", to_json(run_policy<loan_policy>(settings))},
                    {"single_holder", to_json(run_policy<single_holder>(settings))}});
  }
  return rows;
}

nlohmann::json measure_loan_costs() {
  auto rows = nlohmann::json::array();
  for (const std::size_t vms : {5, 20, 50, 100})
    rows.push_back(measure_loan_cost(vms, 8, rate_scenario::even));
  for (const std::size_t vms : {5, 20, 50, 100})
    rows.push_back(measure_loan_cost(vms, 8, rate_scenario::over_20));
  for (const std::size_t customers : {16, 80, 400})
    rows.push_back(measure_loan_cost(5, customers, rate_scenario::even));
  return rows;
}

}  // namespace
}  // namespace bulrushlift

int main(int argc, char** argv) {
  const int percent = argc > 1 ? std::stoi(argv[1]) : 80;
  const nlohmann::json report{{"load_percent", percent},
                              {"comparison", bulrushlift::compare(percent / 100.0)},
                              {"cost_of_loans", bulrushlift::measure_loan_costs()}};
  std::puts(report.dump(1).c_str());
}
