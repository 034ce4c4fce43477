// Fault: processes go above the memory of their machines, three times on two machines.
//
// A client that is not under the operators' control opens sessions on a public route. With the disruption its
// keys are 1,000,000 bytes long, which is a legal size; without it they are short. It sends nothing else.

#include <thread>

#include "deployment.h"

using namespace world;

namespace {

constexpr int sessions_per_round = 600;
constexpr int needed_ends = 3;

/// Opens sessions with such keys until the process is above its memory.
/// @return the number of sessions, or nothing if the process stayed within its memory.
std::optional<int> fill(proxy& machine, std::size_t key_bytes) {
  std::vector<std::unique_ptr<client>> sessions;
  const std::string key(key_bytes, 'k');
  double most = 0;
  for (int i = 0; i < sessions_per_round; ++i) {
    sessions.push_back(std::make_unique<client>());
    if (!sessions.back()->open(machine.caller_port, deployment::database_name, key)) continue;
    most = std::max(most, machine.used_mb());
    if (most <= machine.memory_mb()) continue;
    record.line("%s has %.1f MB of %.0f MB after %d sessions", machine.name().c_str(), most, machine.memory_mb(), i + 1);
    return i + 1;
  }
  int open = 0;
  for (const auto& each : sessions) open += each->is_open() ? 1 : 0;
  record.line("%s stays within its memory: at most %.1f MB of %.0f MB, %d of %d sessions opened", machine.name().c_str(),
              most, machine.memory_mb(), open, sessions_per_round);
  return std::nullopt;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[1]);
  deployment_options options;
  options.proxies = 3;
  options.is_public = true;
  auto& all = *new deployment(options, argv[2]);
  all.database.is_recording_commits = false;
  const auto finish = [&](int result) {
    for (const auto& each : all.proxies) each->kill();
    std::fflush(nullptr);
    ::_exit(result);
  };
  if (!all.start()) {
    record.line("the proxies did not become ready");
    finish(2);
  }
  record.line("all proxies are ready");
  const std::size_t key_bytes = has_trouble() ? 1'000'000 : 20;
  std::vector<int> ends(2, 0);
  std::vector<std::thread> rounds;
  for (std::size_t i = 0; i < ends.size(); ++i) {
    rounds.emplace_back([&, i] {
      auto& machine = *all.proxies[i];
      for (int round = 0; round < needed_ends; ++round) {
        if (!fill(machine, key_bytes)) return;
        // "A process that exceeds memoryMb is killed", and "is restarted after a short delay".
        machine.kill();
        ++ends[i];
        sleep_ms(500);
        machine.start();
        if (!wait_until(5000, [&] { return machine.is_ready(); })) return;
      }
    });
  }
  for (auto& each : rounds) each.join();
  client ordinary;
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    auto& via = *all.proxies[2];
    if (!ordinary.is_open()) ordinary.open(via.caller_port, deployment::database_name, deployment::key);
    const auto answered = ordinary.query(unique_id("w"), "WRITE item1 data");
    if (answered.is_complete && answered.error.empty()) ++served;
  }
  record.line("ends for memory: %d on %s, %d on %s; %d of 20 ordinary writes served by %s", ends[0],
              all.proxies[0]->name().c_str(), ends[1], all.proxies[1]->name().c_str(), served,
              all.proxies[2]->name().c_str());
  finish(ends[0] >= needed_ends && ends[1] >= needed_ends ? 1 : 0);
}
