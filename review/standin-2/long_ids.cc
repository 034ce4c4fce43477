// One tenant, within its rate, opens sessions and begins a transaction in each with a message of legal size
// whose id is long. Each process must stay within the memory of its machine; the platform kills one that
// doesn't, and starts it again. The rule is broken if that happens three times on two machines.
// TROUBLE=0: the same sessions and transactions, with short ids.

#include "bed.h"

using namespace bed;

namespace {

constexpr proxy_limits limits{260, 4'300};
constexpr int most_sessions = 400;  // of each process
constexpr int most_ends = 3;
constexpr size_t id_bytes = 1'000'000;

// Resident anonymous memory of a process, in MB.
double memory_of(pid_t pid) {
  std::ifstream in{"/proc/" + std::to_string(pid) + "/status"};
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("RssAnon:", 0) == 0) return std::stod(line.substr(8)) / 1024.0;
  }
  return 0;
}

struct tally {
  int begun = 0, ends = 0;
  double peak = 0;
};

// @return whether the process was killed, or ended, because of its memory.
bool press(proxy& front, tally& count) {
  std::vector<std::unique_ptr<client>> open;
  for (int n = 0; n < most_sessions; ++n) {
    auto session = std::make_unique<client>();
    if (session->open(front.callers, "orders-1", "key-growers-1")) {
      auto id = "b" + std::to_string(n) + "x";
      if (is_trouble_on()) id.resize(id_bytes, 'b');
      const auto got = session->run(id, "BEGIN");
      if (got.is_success()) ++count.begun;
      if (n % 50 == 0 || !got.is_success()) {
        record.line(front.vm() + ", session " + std::to_string(n) + ", BEGIN with an id of " + std::to_string(id.size()) +
                    " bytes: " + describe(got) + "; memory " + std::to_string(memory_of(front.pid)) + " MB");
      }
    }
    open.push_back(std::move(session));
    sleep_ms(30);
    if (front.has_ended()) {
      record.line(front.vm() + " ended by itself");
      return true;
    }
    const auto memory = memory_of(front.pid);
    count.peak = std::max(count.peak, memory);
    // DEPLOY.md: a process that exceeds memoryMb is killed.
    if (memory <= limits.memory_mb) continue;
    record.line(front.vm() + " has " + std::to_string(memory) + " MB, above memoryMb " + std::to_string(limits.memory_mb) +
                ": the platform kills it, with " + std::to_string(open.size()) + " sessions");
    front.end();
    return true;
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  record.open(argv[2]);
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
  for (int i = 1; i <= 3; ++i) {
    proxies.push_back(std::make_unique<proxy>(argv[1], "front-" + std::to_string(i), "zone-" + std::to_string(i),
                                              platform.port(), duty.port(), limits));
  }
  wait_until_ready(proxies);
  sleep_ms(2'500);

  // Two of the three machines; 60 begins a second at most, of a rate of 121.
  std::vector<tally> counts(2);
  std::vector<std::thread> threads;
  for (size_t i = 0; i < counts.size(); ++i) {
    threads.emplace_back([&, i] {
      auto& front = *proxies[i];
      while (counts[i].ends < most_ends && press(front, counts[i])) {
        ++counts[i].ends;
        sleep_ms(500);
        front.start();
        for (int n = 0; n < 100 && !front.is_ready(); ++n) sleep_ms(50);
        sleep_ms(500);
      }
    });
  }
  for (auto& each : threads) each.join();
  client ordinary;
  const bool is_served = ordinary.open(proxies[2]->callers, "orders-1", "key-clerks-1") &&
                         ordinary.run("c1", "WRITE k v").is_success();
  std::string summary;
  bool is_broken = true;
  for (size_t i = 0; i < counts.size(); ++i) {
    summary += proxies[i]->vm() + ": " + std::to_string(counts[i].begun) + " transactions begun, peak memory " +
               std::to_string(counts[i].peak) + " MB of " + std::to_string(limits.memory_mb) + ", killed or ended " +
               std::to_string(counts[i].ends) + " times; ";
    is_broken = is_broken && counts[i].ends >= most_ends;
  }
  summary += is_served ? "an ordinary caller is served elsewhere" : "an ordinary caller isn't served elsewhere";
  record.line(summary);
  std::cout << summary << std::endl;
  for (auto& each : proxies) each->end();
  _exit(is_broken ? 1 : !is_served || counts[0].begun < 100 ? 2 : 0);
}
