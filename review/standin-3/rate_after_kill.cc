// QUOTA: a customer gets more than its rate x window + burst, and the tolerated excess, in one window.
//
// One tenant that has been quiet sends far more than its rate. With the disruption, all proxies are killed
// at the same moment 1.75 s later and are started again after 0.3 s.

#include <algorithm>
#include <thread>

#include "deployment.h"

using namespace world;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[1]);
  deployment_options options;
  options.work_ms = 0;
  options.rate = 300;
  options.burst = 300;
  constexpr double window_ms = 5000;
  const double limit = (options.rate * window_ms / 1000 + options.burst) * 1.1 + 20;
  auto& all = *new deployment(options, argv[2]);
  std::mutex mutex;
  all.database.is_recording_commits = false;
  struct run {
    double sent;
    double arrived;
  };
  std::map<std::string, double> sent;
  std::vector<run> runs;
  all.database.on_run = [&](const group::run_entry& each) {
    std::lock_guard lock{mutex};
    const auto it = sent.find(each.id);
    if (it == sent.end()) return;
    runs.push_back({it->second, each.at_ms});
    record.line("back end %s runs %s (sent at %.1f ms)", each.target.c_str(), each.id.c_str(), it->second);
  };
  const auto finish = [&](int result) {
    for (const auto& each : all.proxies) each->kill();
    std::fflush(nullptr);
    ::_exit(result);
  };
  if (!all.start()) {
    record.line("the proxies did not become ready");
    finish(2);
  }
  record.line("all proxies are ready; the tenant is quiet for 11 s");
  sleep_ms(11'000);

  std::atomic<bool> is_over = false;
  std::atomic<int> refused = 0;
  std::vector<std::thread> clients;
  const double flood_start = now_ms();
  record.line("the tenant begins to send far more than its rate");
  for (int i = 0; i < 40; ++i) {
    clients.emplace_back([&, i] {
      client session;
      auto& via = *all.proxies[static_cast<std::size_t>(i) % all.proxies.size()];
      while (!is_over) {
        if (!session.is_open() && !session.open(via.caller_port, deployment::database_name, deployment::key)) {
          sleep_ms(20);
          continue;
        }
        const auto id = unique_id("w");
        {
          std::lock_guard lock{mutex};
          sent[id] = now_ms();
        }
        const auto answered = session.query(id, "WRITE item" + std::to_string(i) + " data");
        if (answered.is_complete && answered.error.empty()) continue;
        ++refused;
        sleep_ms(5);
      }
    });
  }
  if (has_trouble()) {
    sleep_ms(flood_start + 1750 - now_ms());
    for (const auto& each : all.proxies) each->signal(SIGKILL);
    for (const auto& each : all.proxies) each->kill();
    sleep_ms(300);
    for (const auto& each : all.proxies) each->start();
    const bool are_back = wait_until(3000, [&] { return all.are_ready(); });
    record.line("proxies %s", are_back ? "are ready again" : "did not become ready again");
  }
  sleep_ms(flood_start + 7000 - now_ms());
  is_over = true;
  for (auto& each : clients) each.join();

  std::lock_guard lock{mutex};
  std::sort(runs.begin(), runs.end(), [](const run& a, const run& b) { return a.arrived < b.arrived; });
  std::size_t most = 0;
  double most_from = 0;
  for (const auto& first : runs) {
    const double from = first.sent;
    const auto count = static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](const run& each) {
      return each.sent >= from && each.arrived <= from + window_ms;
    }));
    if (count > most) {
      most = count;
      most_from = from;
    }
  }
  for (double at = flood_start; at < flood_start + 7000; at += 250) {
    const auto count = std::count_if(runs.begin(), runs.end(), [&](const run& each) {
      return each.arrived >= at && each.arrived < at + 250;
    });
    record.line("from %.0f ms on, in 250 ms: %ld operations ran", at, static_cast<long>(count));
  }
  record.line("rate %.0f, burst %.0f: the rule allows %.0f in %.0f ms", options.rate, options.burst, limit, window_ms);
  record.line("most in one window: %zu, in the one from %.0f ms on; %d attempts were not served", most, most_from,
              refused.load());
  finish(static_cast<double>(most) > limit ? 1 : 0);
}
