#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <string>
#include <string_view>

#include "soak/soak_deployment.h"

/// @file
/// Randomized soak test: runs proxies under faults and checks the history of callers and
/// database against the consistency guarantees.
///
///     soak --seed 1 --runs 50 --seconds 10
///
/// Prints one JSON line for each run and exits with 1 if a guarantee was violated. The logs of
/// each run are kept in a folder named after its seed.

namespace bulrushlift::soak {
namespace {

constexpr const char* usage =
    "usage: soak [--seed N] [--runs N] [--seconds N] [--vms N] [--callers N] [--faults KIND,...]\n"
    "            [--spacing MS] [--work-folder DIR] [--help]\n"
    "example: soak --seed 1 --runs 50 --seconds 10\n";

// One fault often causes violations for many statements.
constexpr std::size_t max_violations_shown = 10;

struct main_options {
  soak_options deployment;
  std::uint64_t runs = 1;
  std::string work_folder = "/tmp/bulrushlift-soak";
};

/// @param names names of fault kinds, separated by commas.
/// @return whether all of them are known.
bool parse_kinds(std::string_view names, std::set<fault_kind>& out) {
  while (!names.empty()) {
    const auto end = names.find(',');
    const auto kind = fault_kind_from_name(names.substr(0, end));
    if (!kind) return false;
    out.insert(*kind);
    names = end == std::string_view::npos ? std::string_view{} : names.substr(end + 1);
  }
  return true;
}

bool parse(int argc, char** argv, main_options& out) {
  static const option known[] = {
      {"seed", required_argument, nullptr, 's'},    {"runs", required_argument, nullptr, 'r'},
      {"seconds", required_argument, nullptr, 't'}, {"vms", required_argument, nullptr, 'v'},
      {"callers", required_argument, nullptr, 'c'}, {"work-folder", required_argument, nullptr, 'w'},
      {"faults", required_argument, nullptr, 'f'},  {"spacing", required_argument, nullptr, 'p'},
      {"help", no_argument, nullptr, 'h'},          {nullptr, 0, nullptr, 0}};
  for (int each = 0; (each = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
    const auto number = [] { return std::strtoull(optarg, nullptr, 10); };
    switch (each) {
      case 's':
        out.deployment.seed = number();
        break;
      case 'r':
        out.runs = number();
        break;
      case 't':
        out.deployment.span = std::chrono::seconds{number()};
        break;
      case 'v':
        out.deployment.vms = number();
        break;
      case 'c':
        out.deployment.callers = number();
        break;
      case 'f':
        if (!parse_kinds(optarg, out.deployment.only)) return false;
        break;
      case 'p':
        out.deployment.spacing = std::chrono::milliseconds{number()};
        break;
      case 'w':
        out.work_folder = optarg;
        break;
      default:
        return false;
    }
  }
  return out.deployment.vms > 0 && out.deployment.callers > 0 && out.deployment.spacing.count() > 0;
}

/// @return whether no guarantee was violated.
bool run_once(const soak_options& options) {
  soak_deployment deployment{options};
  const auto outcome = deployment.run();
  fmt::print(
      "{{\"seed\":{},\"faults\":{},\"promotions\":{},\"done\":{},\"refused\":{},\"unknown\":{},"
      "\"violations\":{}}}\n",
      options.seed, outcome.faults, outcome.promotions, outcome.done, outcome.refused, outcome.unknown,
      outcome.violations.size());
  const auto shown = std::min(outcome.violations.size(), max_violations_shown);
  for (std::size_t i = 0; i < shown; ++i) {
    fmt::print("  {}: {}\n", outcome.violations[i].rule, outcome.violations[i].detail);
  }
  std::fflush(stdout);
  return outcome.violations.empty();
}

int run(int argc, char** argv) {
  main_options options;
  if (!parse(argc, argv, options)) {
    fmt::print(stderr, "{}", usage);
    return 2;
  }
  const auto self = std::filesystem::canonical("/proc/self/exe");
  options.deployment.daemon = (self.parent_path() / "bulrushliftd").string();
  const auto ports = free_ports(options.deployment.vms * ports_per_vm);
  if (!ports) {
    fmt::print(stderr, "soak: {}\n", ports.error().message);
    return EXIT_FAILURE;
  }
  options.deployment.ports = *ports;
  std::uint64_t failed = 0;
  for (std::uint64_t i = 0; i < options.runs; ++i) {
    auto deployment = options.deployment;
    deployment.seed += i;
    deployment.folder = fmt::format("{}/seed-{}", options.work_folder, deployment.seed);
    if (!run_once(deployment)) ++failed;
  }
  fmt::print("{} runs, {} with a violation\n", options.runs, failed);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace bulrushlift::soak

int main(int argc, char** argv) { return bulrushlift::soak::run(argc, argv); }
