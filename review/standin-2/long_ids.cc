// One tenant, within its rate, opens sessions and begins a transaction in each with a message of legal size
// whose id is long. The process must stay within the memory of its machine.
// TROUBLE=0: the same sessions and transactions, with short ids.

#include "bed.h"

using namespace bed;

namespace {

// Resident anonymous memory of a process, in MB.
double memory_of(pid_t pid) {
  std::ifstream in{"/proc/" + std::to_string(pid) + "/status"};
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("RssAnon:", 0) == 0) return std::stod(line.substr(8)) / 1024.0;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  record.open(argv[2]);
  const proxy_limits limits{260, 4'300};
  store platform;
  std::unique_ptr<database> data;
  promotion_duty duty{[&](const std::string&, const std::string& target) { data->promote(target); }};
  data = std::make_unique<database>(platform, "ledger",
                                    std::vector<std::pair<std::string, std::string>>{
                                        {"i-a", "zone-1"}, {"i-b", "zone-2"}, {"i-c", "zone-3"}},
                                    database_options{});
  platform.put("config", "main",
               desired_state(7, {"ledger"}, 0, {{"growers", "key-growers-1", 121, 121}, {"clerks", "key-clerks-1", 121, 121}}));
  std::vector<std::unique_ptr<proxy>> proxies;
  proxies.push_back(std::make_unique<proxy>(argv[1], "front-1", "zone-1", platform.port(), duty.port(), limits));
  wait_until_ready(proxies);
  sleep_ms(2'500);
  auto& front = *proxies.front();

  constexpr int sessions = 600;
  constexpr size_t id_bytes = 1'000'000;
  std::vector<std::unique_ptr<client>> open;
  double peak = memory_of(front.pid);
  record.line("memory at rest " + std::to_string(peak) + " MB of " + std::to_string(limits.memory_mb));
  int begun = 0;
  bool is_killed = false, has_ended = false;
  for (int n = 0; n < sessions && !is_killed && !has_ended; ++n) {
    auto session = std::make_unique<client>();
    if (session->open(front.callers, "orders-1", "key-growers-1")) {
      auto id = "b" + std::to_string(n) + "x";
      if (is_trouble_on()) id.resize(id_bytes, 'b');
      const auto got = session->run(id, "BEGIN");
      if (got.is_success()) ++begun;
      if (n % 50 == 0 || !got.is_success()) {
        record.line("session " + std::to_string(n) + ", BEGIN with an id of " + std::to_string(id.size()) + " bytes: " +
                    describe(got) + "; memory " + std::to_string(memory_of(front.pid)) + " MB");
      }
    }
    open.push_back(std::move(session));
    sleep_ms(20);
    has_ended = front.has_ended();
    if (has_ended) break;
    peak = std::max(peak, memory_of(front.pid));
    // DEPLOY.md: a process that exceeds memoryMb is killed.
    if (peak > limits.memory_mb) {
      record.line("memory " + std::to_string(peak) + " MB is above memoryMb " + std::to_string(limits.memory_mb) + ": the platform kills the process");
      is_killed = true;
    }
  }
  bool is_served = false;
  if (is_killed) {
    front.end();
  } else if (!has_ended) {
    client ordinary;
    is_served = ordinary.open(front.callers, "orders-1", "key-clerks-1") && ordinary.run("c1", "WRITE k v").is_success();
  }
  const auto summary = "transactions begun " + std::to_string(begun) + ", peak memory " + std::to_string(peak) + " MB of " +
                       std::to_string(limits.memory_mb) + (is_killed ? ", killed" : has_ended ? ", ended by itself" : "") +
                       (is_served ? ", an ordinary caller is served" : ", an ordinary caller isn't served");
  record.line(summary);
  std::cout << summary << std::endl;
  front.end();
  _exit(is_killed || has_ended || !is_served ? 1 : begun < 200 && !is_trouble_on() ? 2 : 0);
}
