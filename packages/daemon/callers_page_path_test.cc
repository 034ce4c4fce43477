#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>

#include "standins/local_fleet.h"

namespace bulrushlift {
namespace {

using namespace std::chrono_literals;

// Timeout of waits. No check depends on how long an event takes within it.
constexpr auto event_bound = 60s;

/// @return the lines of all code blocks of a Markdown page that are marked "sh".
std::string shell_blocks(const std::string& path) {
  std::ifstream page{path};
  std::string script;
  bool is_inside = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("```")) {
      is_inside = line == "```sh";
    } else if (is_inside) {
      script += line + "\n";
    }
  }
  return script;
}

std::size_t count_of(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

void await_first_write(const local_fleet& fleet, const std::string& vm) {
  const auto end = std::chrono::steady_clock::now() + event_bound;
  int status = 0;
  while (status != 200 && std::chrono::steady_clock::now() < end) {
    const auto answer = plain_request(fleet.caller_address(vm), "POST", "/v1/execute",
                                      R"({"route": "stock", "kind": "write", "statement": "set item-7 3"})",
                                      {"Authorization: Bearer " + fleet.key_of("shop")}, 20s);
    status = answer ? answer->status : 0;
    std::this_thread::sleep_for(20ms);
  }
  REQUIRE(status == 200);
}

// Guards against examples in docs/callers.md that do not work as written.
TEST_CASE("the commands of the callers' page run as written") {
  auto options = fleet_options_in(BULRUSHLIFT_BINARY_DIR, "callers_page");
  options.vms = 2;
  options.services = {{"orders"}, {"stock"}};
  options.customers = {{"shop", 1'000, 1'000, 1}};
  options.timing = R"({"dissemination_bound_ms": 200})";
  auto fleet = local_fleet::start(options);
  REQUIRE(fleet.has_value());
  await_first_write(*fleet, "entry-1");

  const auto commands = shell_blocks(BULRUSHLIFT_SOURCE_DIR "/docs/callers.md");
  REQUIRE(count_of(commands, "curl ") >= 8);
  const auto script = options.work_folder + "/page.sh";
  std::ofstream{script} << "URL=http://" << fleet->caller_address("entry-1") << "\n"
                        << "KEY='Authorization: Bearer " << fleet->key_of("shop") << "'\n"
                        << "{\n"
                        << commands << "} > " << options.work_folder << "/page.out\n";
  auto shell = child_process::start({"/bin/bash", "-e", "-o", "pipefail", script}, script + ".log");
  REQUIRE(shell.has_value());
  CHECK(shell->wait(event_bound) == 0);

  std::ifstream file{options.work_folder + "/page.out"};
  const std::string output{std::istreambuf_iterator<char>{file}, {}};
  INFO(output);
  CHECK(count_of(output, "\"error\"") == 0);
  // Two of the commands store their answer in a variable instead of printing it.
  CHECK(count_of(output, "\"outcome\":\"done\"") == count_of(commands, "curl ") - 2);
}

}  // namespace
}  // namespace bulrushlift
