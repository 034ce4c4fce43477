#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standins/local_fleet.h"

/// @file
/// Measures a proxy: the latency that it adds to a statement sent directly to the target, the statements per
/// second and core, and the memory for each open connection. Prints one JSON object.
///
///     build/bin/added_latency_benchmark [SECONDS]
///
/// SECONDS is the duration of the throughput measurement, 5 by default.

namespace {

using namespace bulrushlift;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto setup_bound = 60s;
constexpr int warm_up_statements = 500;
constexpr int measured_statements = 4'000;
constexpr int throughput_connections = 32;
constexpr int idle_connections = 10'000;

[[noreturn]] void fail(const std::string& reason) {
  fmt::print(stderr, "added_latency_benchmark: {}\n", reason);
  std::exit(1);
}

std::string program_folder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

local_fleet start_fleet() {
  local_fleet_options options;
  options.binary_folder = program_folder();
  options.work_folder = program_folder() + "/../benchmark";
  std::filesystem::remove_all(options.work_folder);
  std::filesystem::create_directories(options.work_folder);
  options.vms = 1;
  local_service service;
  service.name = "orders";
  service.slots = 16;
  service.connections = 128;
  service.connect_cost = 0ms;
  service.statement_cost = 0us;
  options.services = {service};
  options.customers = {{"shop", 1e6, 1e6, 1}};
  options.timing = R"({"caller_idle_ms":600000})";
  options.log_level = "warning";
  auto fleet = local_fleet::start(options);
  if (!fleet) fail(fleet.error().message);
  return std::move(*fleet);
}

http_request proxy_request(const local_fleet& fleet, const std::string& text) {
  http_request request;
  request.method = "POST";
  request.target = "/v1/execute";
  request.headers.add("Authorization", "Bearer " + fleet.key_of("shop"));
  const bool is_read = text.starts_with("get");
  request.body = json{{"route", "orders"}, {"kind", is_read ? "read" : "write"}, {"statement", text}}.dump();
  return request;
}

http_request direct_request(const std::string& text) {
  http_request request;
  request.method = "POST";
  request.target = "/v1/execute";
  request.body =
      json{{"id", "1"}, {"customer", "shop"}, {"kind", "read"}, {"statement", text}, {"deadline_ms", 1000}}
          .dump();
  return request;
}

void await_service(const local_fleet& fleet) {
  const auto end = std::chrono::steady_clock::now() + setup_bound;
  const auto request = proxy_request(fleet, "set a 1");
  const std::vector<std::string> headers{"Authorization: Bearer " + fleet.key_of("shop")};
  while (std::chrono::steady_clock::now() < end) {
    const auto got =
        plain_request(fleet.caller_address("entry-1"), "POST", "/v1/execute", request.body, headers);
    if (got && got->status == 200) return;
    std::this_thread::sleep_for(50ms);
  }
  fail("the fleet served no write within the time for its setup");
}

/// A connection that sends the same request again after each answer.
class repeater {
 public:
  repeater(event_loop& loop, http_request request)
      : loop_(loop), connection_(loop), request_(std::move(request)) {}

  void open(const std::string& address, const std::function<void()>& done) {
    connection_.open(parse_address(address).value_or(net_address{}), setup_bound,
                     [done](const result<void>& opened) {
                       if (!opened) fail(opened.error().message);
                       done();
                     });
  }

  /// Sends the request.
  /// @param done called with the latency; returns whether to send the request again.
  void run(const std::function<bool(duration)>& done) {
    const auto start = loop_.now();
    connection_.send(request_, setup_bound, [this, start, done](const result<http_response>& response) {
      if (!response) fail(response.error().message);
      if (response->status != 200) fail(response->body);
      if (done(loop_.now() - start)) run(done);
    });
  }

 private:
  event_loop& loop_;
  http_connection connection_;
  http_request request_;
};

double microseconds(duration span) { return std::chrono::duration<double, std::micro>(span).count(); }

struct latencies {
  std::vector<duration> values;

  [[nodiscard]] double quantile(double probability) {
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1));
    return microseconds(values[index]);
  }
};

/// Measures requests through the proxy and directly to the target. They alternate in one run, so that load on
/// the machine affects both alike.
json measure_latency(const local_fleet& fleet, const std::string& text, const std::string& direct_target) {
  event_loop loop;
  repeater proxied{loop, proxy_request(fleet, text)};
  repeater direct{loop, direct_request("get a")};
  int opened = 0;
  const auto on_open = [&] {
    if (++opened == 2) loop.stop();
  };
  proxied.open(fleet.caller_address("entry-1"), on_open);
  direct.open(fleet.member_address(direct_target), on_open);
  loop.run_for(setup_bound);
  latencies through;
  latencies straight;
  for (int i = 0; i < warm_up_statements + measured_statements; ++i) {
    for (auto [each, values] : {std::pair{&proxied, &through}, std::pair{&direct, &straight}}) {
      each->run([&loop, i, values = values](duration span) {
        if (i >= warm_up_statements) values->values.push_back(span);
        loop.stop();
        return false;
      });
      loop.run_for(setup_bound);
    }
  }
  return {{"direct_p50_us", straight.quantile(0.5)},
          {"direct_p99_us", straight.quantile(0.99)},
          {"proxied_p50_us", through.quantile(0.5)},
          {"proxied_p99_us", through.quantile(0.99)},
          {"added_p50_us", through.quantile(0.5) - straight.quantile(0.5)},
          {"added_p99_us", through.quantile(0.99) - straight.quantile(0.99)}};
}

/// @return user and system time of the process, in seconds.
double processor_seconds(pid_t pid) {
  std::ifstream file{fmt::format("/proc/{}/stat", pid)};
  std::string line;
  std::getline(file, line);
  std::istringstream fields{line.substr(line.rfind(')') + 2)};
  std::string field;
  std::uint64_t ticks = 0;
  // User and system time are fields 12 and 13 after the name of the program.
  for (int i = 1; i <= 13 && fields >> field; ++i) {
    if (i >= 12) ticks += std::stoull(field);
  }
  return static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t resident_kilobytes(pid_t pid) {
  std::ifstream file{fmt::format("/proc/{}/status", pid)};
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) return std::stoull(line.substr(6));
  }
  return 0;
}

/// Measures the throughput of reads and the processor time of the proxy.
json measure_throughput(local_fleet& fleet, std::chrono::seconds span) {
  event_loop loop;
  std::vector<std::unique_ptr<repeater>> callers;
  int opened = 0;
  for (int i = 0; i < throughput_connections; ++i) {
    callers.push_back(std::make_unique<repeater>(loop, proxy_request(fleet, "get a")));
    callers.back()->open(fleet.caller_address("entry-1"), [&] {
      if (++opened == throughput_connections) loop.stop();
    });
  }
  loop.run_for(setup_bound);
  const auto pid = fleet.daemon("entry-1").pid();
  const auto busy_before = processor_seconds(pid);
  const auto start = loop.now();
  std::uint64_t statements = 0;
  for (const auto& each : callers) {
    each->run([&](duration) {
      ++statements;
      return loop.now() - start < span;
    });
  }
  loop.run_for(span + 2s);
  const auto busy = processor_seconds(pid) - busy_before;
  const auto elapsed = std::chrono::duration<double>(span).count();
  return {{"statements_per_second", static_cast<double>(statements) / elapsed},
          {"daemon_cores", busy / elapsed},
          {"statements_per_second_per_core", static_cast<double>(statements) / busy}};
}

/// Measures the growth of the resident memory of the proxy with many idle connections.
json measure_memory(local_fleet& fleet) {
  const auto pid = fleet.daemon("entry-1").pid();
  const auto before = resident_kilobytes(pid);
  event_loop loop;
  const auto address = parse_address(fleet.caller_address("entry-1")).value_or(net_address{});
  std::vector<std::unique_ptr<repeater>> callers;
  // Each connection carries one request before the measurement, as connections of real callers have.
  for (int i = 0; i < idle_connections; ++i) {
    callers.push_back(std::make_unique<repeater>(loop, proxy_request(fleet, "get a")));
    callers.back()->open(address.str(), [&] { loop.stop(); });
    loop.run_for(setup_bound);
    callers.back()->run([&](duration) {
      loop.stop();
      return false;
    });
    loop.run_for(setup_bound);
  }
  const auto after = resident_kilobytes(pid);
  return {{"connections", idle_connections},
          {"resident_kb_before", before},
          {"resident_kb_after", after},
          {"kb_per_connection", static_cast<double>(after - before) / idle_connections}};
}

}  // namespace

int main(int argc, char** argv) {
  const std::chrono::seconds span{argc > 1 ? std::max(1, std::atoi(argv[1])) : 5};
  auto fleet = start_fleet();
  await_service(fleet);
  json out;
  out["read"] = measure_latency(fleet, "get a", "orders-2");
  out["throughput"] = measure_throughput(fleet, span);
  out["memory"] = measure_memory(fleet);
  fmt::print("{}\n", out.dump(2));
}
