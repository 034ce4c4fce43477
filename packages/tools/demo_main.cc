#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "standins/local_fleet.h"

/// @file
/// Demonstration: starts five daemons, the platform stand-in and one database group of
/// three members on loopback, sends a few requests and prints their answers.

namespace bulrushlift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds ready_timeout{30};

/// Sends requests as one caller whose session moves from VM to VM.
class demo_caller {
 public:
  explicit demo_caller(local_fleet& fleet) : fleet_(fleet) {}

  /// Sends a request to a VM and prints the request and its answer.
  /// @return whether the request succeeded.
  bool execute(const std::string& vm, const json& body) {
    std::vector<std::string> headers{"Authorization: Bearer " + fleet_.key_of("djembe-workshop")};
    if (!session_.empty()) headers.push_back("Bulrushlift-Session: " + session_);
    fmt::print("\n{} <- POST /v1/execute {}\n", vm, body.dump());
    const auto answer =
        plain_request(fleet_.caller_address(vm), "POST", "/v1/execute", body.dump(), headers, seconds{20});
    if (!answer) {
      fmt::print("{} -> {}\n", vm, answer.error().message);
      return false;
    }
    fmt::print("{} -> {} {}\n", vm, answer->status, answer->body);
    const auto it = answer->headers.find("bulrushlift-session");
    if (it != answer->headers.end()) session_ = it->second;
    return answer->status == 200;
  }

 private:
  local_fleet& fleet_;
  std::string session_;
};

bool wait_until_ready(const local_fleet& fleet) {
  const auto deadline = std::chrono::steady_clock::now() + ready_timeout;
  for (const auto& vm : fleet.vms()) {
    while (true) {
      const auto answer = plain_request(fleet.caller_address(vm), "GET", "/readyz", {}, {}, seconds{1});
      if (answer && answer->status == 200) break;
      if (std::chrono::steady_clock::now() > deadline) return false;
      std::this_thread::sleep_for(milliseconds{50});
    }
  }
  return true;
}

local_fleet_options demo_options(const std::string& binary_folder, const std::string& work_folder) {
  local_fleet_options options;
  options.binary_folder = binary_folder;
  options.work_folder = work_folder;
  options.environment = "demo";
  options.services = {{.name = "orders"}};
  options.customers = {{"djembe-workshop", 50, 20, 1}, {"tannery", 200, 50, 2}};
  // All processes run on one machine, so a document reaches each of them within a second.
  options.timing = R"({"dissemination_bound_ms": 1000})";
  return options;
}

int run(const std::string& binary_folder) {
  const auto work_folder = fmt::format("/tmp/bulrushlift-demo-{}", ::getpid());
  ::mkdir(work_folder.c_str(), 0755);
  fmt::print("Starting the platform stand-in, 3 database members and 5 daemons.\n");
  auto fleet = local_fleet::start(demo_options(binary_folder, work_folder));
  if (!fleet) {
    fmt::print("{}\n", fleet.error().message);
    return EXIT_FAILURE;
  }
  if (!wait_until_ready(*fleet)) {
    fmt::print("The daemons are not ready; their logs are in {}.\n", work_folder);
    return EXIT_FAILURE;
  }
  // Budgets of a new process start to fill only after the dissemination bound.
  std::this_thread::sleep_for(milliseconds{2'500});
  demo_caller caller{*fleet};
  bool is_done = caller.execute("entry-1", {{"route", "orders"},
                                            {"kind", "write"},
                                            {"statement", "set hide-17 reserved"},
                                            {"idempotency_key", "reservation-17"}});
  fmt::print("\nThe session moves to another VM and reads its own write from a replica:\n");
  is_done =
      caller.execute("entry-4", {{"route", "orders"}, {"kind", "read"}, {"statement", "get hide-17"}}) &&
      is_done;
  fmt::print("\nThe same idempotency key again: the order is not doubled.\n");
  is_done = caller.execute("entry-2", {{"route", "orders"},
                                       {"kind", "write"},
                                       {"statement", "set hide-17 reserved"},
                                       {"idempotency_key", "reservation-17"}}) &&
            is_done;
  fmt::print("\nThe primary orders-1 is killed; the next write waits for the promotion:\n");
  fleet->member("orders-1").kill();
  const auto killed_at = std::chrono::steady_clock::now();
  is_done = caller.execute("entry-3", {{"route", "orders"},
                                       {"kind", "write"},
                                       {"statement", "set hide-18 reserved"},
                                       {"idempotency_key", "reservation-18"}}) &&
            is_done;
  const auto failover_time =
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - killed_at);
  fmt::print("It was acknowledged {} ms after the kill.\n", failover_time.count());
  is_done =
      caller.execute("entry-5", {{"route", "orders"}, {"kind", "read"}, {"statement", "get hide-17"}}) &&
      is_done;
  fmt::print("\nLogs, settings and decisions of each process: {}\n", work_folder);
  return is_done ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace bulrushlift

int main(int /*argc*/, char** argv) {
  const std::string path = argv[0];
  const auto end = path.rfind('/');
  return bulrushlift::run(end == std::string::npos ? "." : path.substr(0, end));
}
