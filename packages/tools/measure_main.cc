#include <fmt/format.h>
#include <getopt.h>
#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <thread>

#include "standins/local_fleet.h"
#include "tools/load_generator.h"
#include "tools/measurement.h"

/// @file
/// Measurement driver: runs a deployment on loopback under an open-loop load, applies
/// one event, audits the data of the database members and prints one JSON line.
///
///     measure --deployment frostguard --event kill-primary --seconds 20 --seed 1

namespace bulrushlift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view usage =
    "usage: measure [--deployment teranga|frostguard] [--event NAME] [--seconds N] [--seed N]\n"
    "               [--load SHARE] [--work-folder DIR] [--reads-on-primary]\n"
    "events: none kill-primary pause-primary isolate-primary lag kill-vm drain-vm\n"
    "        revoke-key platform-outage overload\n"
    "example: measure --deployment frostguard --event kill-primary --seconds 20 --seed 1\n";

/// Daemons lend and accrue tokens only after their first seconds; see section 3.7 of the design page.
constexpr seconds settle_time{9};
constexpr seconds ready_timeout{30};

struct measure_options {
  std::string deployment = "teranga";
  std::string event = "none";
  seconds length{20};
  std::uint64_t seed = 1;
  double load = 0.5;  ///< Load of each customer as a share of its rate.
  std::string work_folder = "/tmp/bulrushlift-measure";
  bool reads_on_primary = false;
};

local_fleet_options teranga() {
  local_fleet_options options;
  options.region = "sn-ouest";
  options.data_centres = {"dakar-plateau", "rufisque", "thies", "mbour"};
  for (const auto* name : {"tambour-orders", "tambour-stock", "tambour-accounts"}) {
    options.services.push_back(
        {name, 2, 16, milliseconds{12}, std::chrono::microseconds{500}, milliseconds{2}});
  }
  options.customers = {{"baobab-marche", 400, 80, 4}, {"teranga-express", 300, 60, 4},
                       {"curer-a", 60, 20, 1},        {"curer-b", 60, 20, 1},
                       {"djembe-a", 40, 20, 1},       {"djembe-b", 40, 20, 1},
                       {"tanner-a", 30, 20, 1},       {"tanner-b", 30, 20, 1}};
  return options;
}

local_fleet_options frostguard() {
  local_fleet_options options;
  options.region = "delta";
  options.data_centres = {"tanta", "banha", "zagazig", "damanhur"};
  for (const auto* name : {"ledger-orders", "ledger-stock", "ledger-billing"}) {
    options.services.push_back(
        {name, 3, 34, milliseconds{27}, std::chrono::microseconds{500}, milliseconds{2}});
  }
  options.customers = {{"delta-grain", 400, 80, 4}, {"nile-fresh", 300, 60, 4}, {"grove-a", 60, 20, 1},
                       {"grove-b", 60, 20, 1},      {"depot-a", 40, 20, 1},     {"depot-b", 40, 20, 1},
                       {"agent-a", 30, 20, 1},      {"agent-b", 30, 20, 1}};
  return options;
}

/// One measurement run: a fleet under load and one event.
class measurement_run {
 public:
  measurement_run(measure_options options, local_fleet fleet, const local_fleet_options& deployment)
      : options_(std::move(options)), fleet_(std::move(fleet)) {
    load_.seed = options_.seed;
    load_.length = options_.length;
    for (const auto& customer : deployment.customers) {
      limits_.push_back({customer.rate_per_second, customer.burst});
      load_.customers.push_back(
          {customer.name, fleet_.key_of(customer.name), customer.rate_per_second * options_.load});
    }
    for (const auto& vm : fleet_.vms()) {
      load_.vms.push_back({vm, parse_address(fleet_.caller_address(vm)).value()});
    }
    for (const auto& service : deployment.services) load_.routes.push_back(service.name);
  }

  [[nodiscard]] bool wait_until_ready() const {
    const auto deadline = std::chrono::steady_clock::now() + ready_timeout;
    for (const auto& vm : fleet_.vms()) {
      while (!is_ready(vm)) {
        if (std::chrono::steady_clock::now() > deadline) return false;
        std::this_thread::sleep_for(milliseconds{50});
      }
    }
    std::this_thread::sleep_for(settle_time);
    return true;
  }

  json run() {
    event_loop loop;
    load_generator generator{loop, load_};
    generator.start();
    time_point event_at{};
    loop.schedule(options_.length / 3, [&] {
      event_at = loop.now();
      apply_event(generator);
    });
    while (!generator.is_finished()) loop.run_for(milliseconds{100});
    // Lets replication catch up before the audit.
    std::this_thread::sleep_for(seconds{2});
    auto report = make_report(load_, limits_, generator.records(), event_at, audit_services());
    json line{{"deployment", options_.deployment},
              {"event", options_.event},
              {"seconds", options_.length.count()},
              {"seed", options_.seed},
              {"load", options_.load},
              {"reads_on_primary", options_.reads_on_primary}};
    line.update(report);
    return line;
  }

 private:
  [[nodiscard]] bool is_ready(const std::string& vm) const {
    const auto answer = plain_request(fleet_.caller_address(vm), "GET", "/readyz", {}, {}, seconds{1});
    return answer && answer->status == 200;
  }

  [[nodiscard]] std::optional<json> fetch_audit(const std::string& target) const {
    const auto answer = plain_request(fleet_.member_address(target), "GET", "/v1/audit", {}, {}, seconds{10});
    if (!answer) return std::nullopt;
    auto fields = json::parse(answer->body, nullptr, false);
    return fields.is_object() ? std::optional{std::move(fields)} : std::nullopt;
  }

  [[nodiscard]] std::vector<std::string> targets_of(const std::string& service) const {
    return {service + "-1", service + "-2", service + "-3"};
  }

  [[nodiscard]] std::vector<service_audit> audit_services() const {
    std::vector<service_audit> audits;
    for (const auto& service : load_.routes) {
      service_audit service_state;
      std::uint64_t highest_term = 0;
      for (const auto& target : targets_of(service)) {
        const auto fields = fetch_audit(target);
        if (!fields) continue;
        service_state.is_authorization_seen =
            service_state.is_authorization_seen || fields->value("authorization_seen", false);
        const auto& status = fields->at("status");
        const auto term = status.value("term", std::uint64_t{0});
        if (status.value("role", "") != "primary" || term < highest_term) continue;
        highest_term = term;
        service_state.is_complete = true;
        service_state.values = fields->at("values").get<std::map<std::string, std::string>>();
      }
      audits.push_back(std::move(service_state));
    }
    return audits;
  }

  [[nodiscard]] std::string primary_of(const std::string& service) const {
    std::string primary = service + "-1";
    std::uint64_t highest_term = 0;
    for (const auto& target : targets_of(service)) {
      const auto answer =
          plain_request(fleet_.member_address(target), "GET", "/v1/status", {}, {}, seconds{1});
      if (!answer) continue;
      const auto fields = json::parse(answer->body, nullptr, false);
      if (!fields.is_object() || fields.value("role", "") != "primary") continue;
      if (fields.value("term", std::uint64_t{0}) < highest_term) continue;
      highest_term = fields.value("term", std::uint64_t{0});
      primary = target;
    }
    return primary;
  }

  void inject_fault(const std::string& address, const json& body) const {
    const auto answer = plain_request(address, "POST", "/v1/faults", body.dump(), {}, seconds{1});
    if (!answer || answer->status != 200)
      fmt::print(stderr, "measure: the request to inject the fault failed\n");
  }

  void apply_event(load_generator& generator) {
    const auto& event = options_.event;
    const auto& service = load_.routes.front();
    if (event == "kill-primary") fleet_.member(primary_of(service)).kill();
    if (event == "pause-primary") {
      inject_fault(fleet_.member_address(primary_of(service)), {{"pause_ms", 6'000}});
    }
    if (event == "isolate-primary") {
      inject_fault(fleet_.member_address(primary_of(service)), {{"cut_replication", true}});
    }
    if (event == "lag") {
      for (const auto& target : targets_of(service)) {
        inject_fault(fleet_.member_address(target), {{"replication_lag_ms", 50}});
      }
    }
    if (event == "kill-vm") fleet_.daemon(fleet_.vms().at(1)).kill();
    if (event == "drain-vm") fleet_.daemon(fleet_.vms().at(1)).signal(SIGTERM);
    if (event == "platform-outage") inject_fault(fleet_.platform_address(), {{"down", true}});
    if (event == "overload") generator.set_rate(2, limits_[2].rate_per_second * 20);
    if (event == "revoke-key") revoke_key();
  }

  void revoke_key() {
    auto document = json::parse(fleet_.document_text());
    document["customers"].back()["keys"][0]["state"] = "revoked";
    const auto put = fleet_.put_document(document.dump());
    if (!put) fmt::print(stderr, "measure: {}\n", put.error().message);
  }

  measure_options options_;
  local_fleet fleet_;
  load_options load_;
  std::vector<customer_limit> limits_;
};

std::optional<measure_options> parse_options(int argc, char** argv) {
  const option known[] = {
      {"deployment", required_argument, nullptr, 'd'}, {"event", required_argument, nullptr, 'e'},
      {"seconds", required_argument, nullptr, 's'},    {"seed", required_argument, nullptr, 'r'},
      {"load", required_argument, nullptr, 'l'},       {"work-folder", required_argument, nullptr, 'w'},
      {"reads-on-primary", no_argument, nullptr, 'p'}, {nullptr, 0, nullptr, 0}};
  measure_options options;
  for (int found = 0; (found = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
    switch (found) {
      case 'd':
        options.deployment = optarg;
        break;
      case 'e':
        options.event = optarg;
        break;
      case 's':
        options.length = seconds{std::strtol(optarg, nullptr, 10)};
        break;
      case 'r':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'l':
        options.load = std::strtod(optarg, nullptr);
        break;
      case 'w':
        options.work_folder = optarg;
        break;
      case 'p':
        options.reads_on_primary = true;
        break;
      default:
        return std::nullopt;
    }
  }
  const bool is_valid = (options.deployment == "teranga" || options.deployment == "frostguard") &&
                        options.length >= seconds{3} && options.load > 0 && optind == argc;
  return is_valid ? std::optional{options} : std::nullopt;
}

std::string folder_of(const char* program) {
  const std::string path = program;
  const auto end = path.rfind('/');
  return end == std::string::npos ? "." : path.substr(0, end);
}

int measure(const measure_options& options, const char* program) {
  auto deployment = options.deployment == "teranga" ? teranga() : frostguard();
  deployment.binary_folder = folder_of(program);
  deployment.work_folder = options.work_folder;
  deployment.environment = options.deployment;
  deployment.log_level = "warning";
  deployment.read_replicas = !options.reads_on_primary;
  ::mkdir(options.work_folder.c_str(), 0755);
  auto fleet = local_fleet::start(deployment);
  if (!fleet) {
    fmt::print(stderr, "measure: {}\n", fleet.error().message);
    return EXIT_FAILURE;
  }
  measurement_run run{options, std::move(*fleet), deployment};
  if (!run.wait_until_ready()) {
    fmt::print(stderr, "measure: the daemons are not ready after {} s\n", ready_timeout.count());
    return EXIT_FAILURE;
  }
  const auto report = run.run();
  fmt::print("{}\n", report.dump());
  return report["audit"]["clean"].get<bool>() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace bulrushlift

int main(int argc, char** argv) {
  const auto options = bulrushlift::parse_options(argc, argv);
  if (options) return bulrushlift::measure(*options, argv[0]);
  fmt::print(stderr, "{}", bulrushlift::usage);
  return EXIT_FAILURE;
}
