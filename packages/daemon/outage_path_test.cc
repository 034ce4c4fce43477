#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "document/production_record.h"
#include "standins/local_fleet.h"

namespace bulrushlift {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// Timeout of waits. No check depends on how long an event takes within it.
constexpr auto event_bound = 15s;

local_fleet start_fleet(const std::string& name) {
  auto options = fleet_options_in(BULRUSHLIFT_BINARY_DIR, name);
  options.vms = 3;
  options.services = {{"orders"}};
  options.customers = {{"shop", 1'000, 1'000, 1}};
  options.timing = R"({"dissemination_bound_ms": 200, "freshness_limit_ms": 2500})";
  auto fleet = local_fleet::start(options);
  if (!fleet) FAIL(fleet.error().message);
  return std::move(*fleet);
}

void await_ready(const local_fleet& fleet, const std::string& vm) {
  const auto end = std::chrono::steady_clock::now() + event_bound;
  int status = 0;
  while (status != 200 && std::chrono::steady_clock::now() < end) {
    const auto answer = plain_request(fleet.caller_address(vm), "GET", "/readyz", {}, {}, 1s);
    status = answer ? answer->status : 0;
    std::this_thread::sleep_for(20ms);
  }
  REQUIRE(status == 200);
}

/// Repeats the statement until it succeeds. Earlier attempts may fail only with the outcome "not run".
void await_done(const local_fleet& fleet, const std::string& vm, const json& body) {
  const auto end = std::chrono::steady_clock::now() + event_bound;
  while (true) {
    const auto answer = plain_request(fleet.caller_address(vm), "POST", "/v1/execute", body.dump(),
                                      {"Authorization: Bearer " + fleet.key_of("shop")}, 20s);
    REQUIRE(answer.has_value());
    if (answer->status == 200) return;
    const auto fields = json::parse(answer->body);
    INFO(answer->body);
    REQUIRE(fields.at("error").at("outcome") == "not_run");
    REQUIRE(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(20ms);
  }
}

void await_generation(const local_fleet& fleet, const std::string& vm, std::uint64_t generation) {
  const auto end = std::chrono::steady_clock::now() + event_bound;
  while (true) {
    const auto answer = plain_request(fleet.admin_address(vm), "GET", "/v1/status");
    if (answer && json::parse(answer->body).at("generation") == generation) return;
    REQUIRE(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(20ms);
  }
}

/// @return the highest generation in the status objects of the store.
std::uint64_t highest_published_generation(const local_fleet& fleet) {
  const auto list =
      plain_request(fleet.platform_address(), "GET", "/v1/list/" + std::string{vm_status_prefix});
  REQUIRE(list.has_value());
  std::uint64_t highest = 0;
  const auto fields = json::parse(list->body);
  for (const auto& each : fields.at("objects")) {
    const auto status = json::parse(each.at("value").get<std::string>());
    highest = std::max(highest, status.value("generation", std::uint64_t{0}));
  }
  return highest;
}

void break_store(const local_fleet& fleet) {
  const auto answer = plain_request(fleet.platform_address(), "POST", "/v1/faults", R"({"down": true})");
  REQUIRE(answer.has_value());
  REQUIRE(answer->status == 200);
}

// Guards against a fleet that loses its VMs one by one during an outage of the store, because a restarted VM
// has no document and knows no peer from which to fetch it.
TEST_CASE("a VM that restarts without the store serves the document of its peers") {
  auto fleet = start_fleet("outage_restart");
  for (const auto& vm : fleet.vms()) await_ready(fleet, vm);
  await_done(fleet, "entry-1", {{"route", "orders"}, {"kind", "write"}, {"statement", "set hide reserved"}});
  break_store(fleet);
  fleet.daemon("entry-1").kill();
  REQUIRE(fleet.restart("entry-1").has_value());
  await_ready(fleet, "entry-1");
  await_done(fleet, "entry-1", {{"route", "orders"}, {"kind", "read"}, {"statement", "get hide"}});
  await_done(fleet, "entry-1", {{"route", "orders"}, {"kind", "write"}, {"statement", "set hide paid"}});
}

// Guards against an operator's program that cannot learn which generation is in force after the store came
// back from an older copy.
TEST_CASE("a VM publishes its generation when the store has an older document") {
  auto fleet = start_fleet("outage_older_store");
  for (const auto& vm : fleet.vms()) await_ready(fleet, vm);
  const auto production = "/v1/objects/" + production_path(fleet.environment());
  const auto older = plain_request(fleet.platform_address(), "GET", production);
  REQUIRE(older.has_value());
  REQUIRE(fleet.put_document(fleet.document_text()).has_value());
  for (const auto& vm : fleet.vms()) await_generation(fleet, vm, 2);

  const json body{{"value", json::parse(older->body).at("value")}};
  REQUIRE(plain_request(fleet.platform_address(), "PUT", production, body.dump()).has_value());

  const auto end = std::chrono::steady_clock::now() + event_bound;
  while (highest_published_generation(fleet) != 2) {
    REQUIRE(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(20ms);
  }
}

/// Changes the peer address in the settings of a VM, so that it differs from the one in the document.
void move_peer_address(const std::string& settings_path) {
  auto fields = json::parse(std::ifstream{settings_path});
  const auto ports = free_ports(1);
  REQUIRE(ports.has_value());
  fields["peer_listen"] = "127.0.0.1:" + std::to_string(ports->front());
  std::ofstream{settings_path} << fields.dump(2);
}

// Guards against a replaced VM that ignores the seeds of its settings. Its peers do not ping its new address,
// so it has to contact them.
TEST_CASE("a VM at a new address finds its peers by the seeds of its settings") {
  auto fleet = start_fleet("outage_seeds");
  for (const auto& vm : fleet.vms()) await_ready(fleet, vm);
  await_done(fleet, "entry-2", {{"route", "orders"}, {"kind", "write"}, {"statement", "set hide reserved"}});
  break_store(fleet);
  fleet.daemon("entry-1").kill();
  move_peer_address(BULRUSHLIFT_BINARY_DIR "/path/outage_seeds/entry-1.jsonc");
  REQUIRE(fleet.restart("entry-1").has_value());
  await_ready(fleet, "entry-1");
  await_done(fleet, "entry-1", {{"route", "orders"}, {"kind", "read"}, {"statement", "get hide"}});
}

// Guards against a daemon that starts some of its listeners although its settings are invalid.
TEST_CASE("a daemon with bad settings names each error and starts nothing") {
  const std::string folder = BULRUSHLIFT_BINARY_DIR "/path/bad_settings";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::ofstream{folder + "/settings.jsonc"} << "{\n  \"vm\": 1,\n  \"no_such_setting\": true\n}\n";
  auto daemon = child_process::start(
      {BULRUSHLIFT_BINARY_DIR "/bin/bulrushliftd", "--settings", folder + "/settings.jsonc"},
      folder + "/daemon.log");
  REQUIRE(daemon.has_value());
  CHECK_FALSE(daemon->read_line(event_bound).has_value());
  CHECK(daemon->wait(event_bound) == 1);
  std::ifstream file{folder + "/daemon.log"};
  const std::string log{std::istreambuf_iterator<char>{file}, {}};
  INFO(log);
  CHECK(log.find("line 2") != std::string::npos);
  CHECK(log.find("no_such_setting") != std::string::npos);
}

// Guards against a drain that waits for the store, or that cuts off requests, during an outage of the store
// (I12).
TEST_CASE("a VM drains without the store and cuts no request") {
  auto fleet = start_fleet("outage_drain");
  for (const auto& vm : fleet.vms()) await_ready(fleet, vm);
  await_done(fleet, "entry-2", {{"route", "orders"}, {"kind", "write"}, {"statement", "set hide reserved"}});
  break_store(fleet);
  fleet.daemon("entry-1").signal(SIGTERM);
  int cut = 0;
  int done = 0;
  while (true) {
    const auto answer = plain_request(fleet.caller_address("entry-1"), "POST", "/v1/execute",
                                      R"({"route": "orders", "kind": "read", "statement": "get hide"})",
                                      {"Authorization: Bearer " + fleet.key_of("shop")}, 20s);
    if (!answer && answer.error().request_outcome() == outcome::not_run) break;
    if (!answer) ++cut;
    if (answer && answer->status == 200) ++done;
  }
  CHECK(cut == 0);
  CHECK(done > 0);
  CHECK(fleet.daemon("entry-1").wait(event_bound) == 0);
  await_done(fleet, "entry-2", {{"route", "orders"}, {"kind", "read"}, {"statement", "get hide"}});
}

}  // namespace
}  // namespace bulrushlift
