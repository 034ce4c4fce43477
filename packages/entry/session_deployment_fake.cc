#include "entry/session_deployment_fake.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "standins/session_documents.h"

namespace bulrushlift::entry {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Timeout of waits for an event. No check depends on how long an event takes within it.
constexpr auto event_timeout = 60s;
constexpr auto loop_step = 5ms;

}  // namespace

test_caller::test_caller(event_loop& loop, const net_address& address) : loop_(loop), stream_(loop, *this) {
  stream_.connect(address);
}

std::vector<std::string> test_caller::ask(const std::string& line) {
  send(line + "\r\n");
  return read_answer();
}

std::vector<std::string> test_caller::read_answer() {
  const auto end = loop_.now() + event_timeout;
  std::vector<std::string> lines;
  while (true) {
    const auto at = input_.find("\r\n");
    if (at == std::string::npos) {
      if (is_closed_) return lines;
      if (loop_.now() > end) FAIL("no answer");
      loop_.run_for(loop_step);
      continue;
    }
    lines.push_back(input_.substr(0, at));
    input_.erase(0, at + 2);
    if (lines.back().starts_with("READY")) return lines;
  }
}

std::size_t test_caller::unread_answers() const {
  std::size_t count = 0;
  for (auto at = input_.find("READY "); at != std::string::npos; at = input_.find("READY ", at + 1)) ++count;
  return count;
}

std::string test_caller::ask_joined(const std::string& line) {
  std::string joined;
  for (const auto& each : ask(line)) joined += (joined.empty() ? "" : "|") + each;
  return joined;
}

session_deployment::session_deployment(const std::string& name, std::size_t vms, bool has_separate_store,
                                       json settings, bool is_split)
    : folder_(std::string{BULRUSHLIFT_BINARY_DIR} + "/path/" + name),
      settings_(std::move(settings)),
      has_separate_store_(has_separate_store),
      is_split_(is_split) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  platform = std::make_unique<session_platform>(loop, [this](const ordered_promotion& order) {
    if (promotion_delay == duration::zero()) return promote(order.target);
    loop.schedule(promotion_delay, [this, target = order.target] { promote(target); });
  });
  separate_platform = std::make_unique<session_platform>(loop, [](const ordered_promotion& /*order*/) {});
  database =
      std::make_unique<session_database>(loop, "ledger", std::vector<std::string>{"i-a", "i-b", "i-c"});
  for (const auto& member : database->members()) announce(member, "ready");
  publish(1, {"key-shop"});
  const auto ports = free_ports(vms * 4);
  if (!ports) FAIL(ports.error().message);
  for (std::size_t vm = 0; vm < vms; ++vm) {
    ports_.push_back({(*ports)[vm * 4], (*ports)[vm * 4 + 1], (*ports)[vm * 4 + 2], (*ports)[vm * 4 + 3]});
  }
  for (std::size_t vm = 0; vm < vms; ++vm) start_vm(vm);
}

void session_deployment::promote(const std::string& target) {
  if (database->primary() != target) database->promote(target);
  for (const auto& member : database->members()) announce(member, "ready");
}

void session_deployment::put(const std::string& kind, const std::string& name, const json& content) {
  platform->put(kind, name, content);
  if (!separate_platform->faults().is_refusing) separate_platform->put(kind, name, content);
}

void session_deployment::announce(const std::string& target, const std::string& state) {
  put("servers", target,
      target_document({"ledger", address_of(target), target == "i-b" ? "north" : "south", state,
                       target == database->primary(), ++last_report_}));
}

void session_deployment::announce_cold(const std::string& target, std::uint64_t remaining_ms) {
  const auto document =
      target_document({"ledger", address_of(target), target == "i-b" ? "north" : "south", "ready",
                       target == database->primary(), ++last_report_, remaining_ms});
  put("servers", target, document);
}

void session_deployment::evacuate(const std::string& data_centre) {
  put("evacuations", data_centre, json::object());
}

void session_deployment::end_evacuation(const std::string& data_centre) {
  platform->remove("evacuations", data_centre);
  if (!separate_platform->faults().is_refusing) separate_platform->remove("evacuations", data_centre);
}

fault_proxy& session_deployment::put_proxy_before(const std::string& target) {
  auto& proxy = target_proxies_[target];
  proxy = std::make_unique<fault_proxy>(loop, *parse_address(database->address_of(target)));
  announce(target, "ready");
  return *proxy;
}

std::string session_deployment::address_of(const std::string& target) const {
  const auto it = target_proxies_.find(target);
  return it == target_proxies_.end() ? database->address_of(target) : it->second->address().str();
}

void session_deployment::publish(std::uint64_t version, const std::vector<std::string>& shop_keys) {
  put("config", "main",
      configuration_document(version, "ledger", {{"shop", shop_keys}, {"other", {"key-other"}}},
                             synchronous_replicas));
}

std::string session_deployment::data_centre_of(std::size_t vm) const {
  return vm == 0 || (is_split_ && vm % 2 == 0) ? "north" : "south";
}

void session_deployment::start_vm(std::size_t vm) {
  const auto& ports = ports_.at(vm);
  const auto address = [](std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); };
  const auto path = fmt::format("{}/entry-{}.jsonc", folder_, vm);
  const bool uses_separate_store = has_separate_store_ && vm + 1 == ports_.size();
  if (uses_separate_store) {
    // Each VM announces itself in its own store only, so the record is written to the other store
    // here.
    for (std::size_t each = 0; each < ports_.size(); ++each) {
      const json record{
          {"peerAddress", address(ports_[each].peers)}, {"dataCentre", "south"}, {"incarnation", 1}};
      const auto name = fmt::format("entry-{}", each);
      if (each == vm) {
        platform->put("bulrushlift-vms", name, record);
      } else {
        separate_platform->put("bulrushlift-vms", name, record);
      }
    }
  }
  const proxy_description proxy{fmt::format("entry-{}", vm),
                                data_centre_of(vm),
                                address(ports.callers),
                                address(ports.readiness),
                                address(ports.peers),
                                address(ports.metrics),
                                uses_separate_store ? separate_platform->address() : platform->address(),
                                platform->address()};
  auto document = proxy_settings_document(proxy);
  document.update(settings_);
  document.update(more_settings);
  std::ofstream{path} << document.dump();
  auto started = child_process::start(
      {BULRUSHLIFT_BINARY_DIR "/bin/bulrushliftd", "--entry", "--settings", path},
      fmt::format("{}/entry-{}.err", folder_, vm), fmt::format("{}/entry-{}.log", folder_, vm));
  if (!started) FAIL(started.error().message);
  processes_.insert_or_assign(vm, std::move(*started));
}

bool session_deployment::has_logged(std::size_t vm, const std::vector<std::string>& texts) const {
  std::ifstream log{fmt::format("{}/entry-{}.log", folder_, vm)};
  for (std::string line; std::getline(log, line);) {
    const auto is_in_line = [&](const std::string& text) { return line.find(text) != std::string::npos; };
    if (std::all_of(texts.begin(), texts.end(), is_in_line)) return true;
  }
  return false;
}

std::ptrdiff_t session_deployment::count_logged(std::size_t vm, const std::string& text) const {
  std::ifstream log{fmt::format("{}/entry-{}.log", folder_, vm)};
  std::ptrdiff_t count = 0;
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) != std::string::npos) ++count;
  }
  return count;
}

std::size_t session_deployment::owner() const {
  const auto weight = [this](std::size_t vm) {
    return rendezvous_weight(database->service(), fmt::format("entry-{}", vm));
  };
  std::size_t best = 0;
  for (std::size_t vm = 1; vm < ports_.size(); ++vm) {
    if (weight(vm) > weight(best)) best = vm;
  }
  return best;
}

void session_deployment::await(const std::string& what, const std::function<bool()>& condition) {
  const auto end = loop.now() + event_timeout;
  while (!condition()) {
    if (loop.now() > end) FAIL("no " + what);
    loop.run_for(loop_step);
  }
}

bool session_deployment::is_ready(std::size_t vm) {
  test_caller probe{loop, readiness_address(vm)};
  probe.send("GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n");
  const auto end = loop.now() + 1s;
  while (loop.now() < end && !probe.is_closed() && !probe.has_received("\r\n")) loop.run_for(loop_step);
  return probe.has_received("HTTP/1.1 200");
}

std::optional<double> session_deployment::metric(std::size_t vm, const std::string& name) {
  test_caller probe{loop, metrics_address(vm)};
  probe.send("GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
  const auto end = loop.now() + 1s;
  while (loop.now() < end && !probe.is_closed()) loop.run_for(loop_step);
  const auto label = "\nbulrushlift_" + name + " ";
  const auto at = probe.received().find(label);
  if (at == std::string::npos) return std::nullopt;
  return std::stod(probe.received().substr(at + label.size()));
}

std::unique_ptr<test_caller> session_deployment::connect(std::size_t vm) {
  return std::make_unique<test_caller>(loop, net_address{"127.0.0.1", ports_.at(vm).callers});
}

std::unique_ptr<test_caller> session_deployment::session(std::size_t vm, const std::string& name) {
  std::unique_ptr<test_caller> caller;
  await("session", [&] {
    caller = connect(vm);
    const auto answer = caller->ask_joined("START " + name + " key-shop");
    return answer == "READY I -" && caller->ask_joined("QUERY probe READ probe").starts_with("ROW");
  });
  return caller;
}

const database_run* run_of(const session_deployment& deployment, const std::string& id) {
  const auto& runs = deployment.database->runs();
  const auto it =
      std::find_if(runs.begin(), runs.end(), [&](const database_run& each) { return each.id == id; });
  return it == runs.end() ? nullptr : &*it;
}

std::size_t count_runs(const session_deployment& deployment, const std::string& id) {
  const auto& runs = deployment.database->runs();
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [&](const database_run& each) { return each.id == id; }));
}

}  // namespace bulrushlift::entry
