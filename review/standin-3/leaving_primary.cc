// DRAIN: statements reach a back end later than drainMs after the store acknowledged that it is draining.
//
// The primary leaves, as planned work. With the disruption, the platform is slow with promotion calls: it
// carries them out, and answers them, 9 s later.

#include <thread>

#include "deployment.h"

using namespace world;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[1]);
  deployment_options options;
  auto& all = *new deployment(options, argv[2]);
  constexpr double drain_ms = 7000;
  constexpr double slow_ms = 9000;
  all.database.is_recording_commits = false;
  std::atomic<bool> is_slow = false;
  all.promotions.set_delay([&] { return is_slow ? slow_ms : 0.0; });
  std::mutex mutex;
  std::map<std::string, double> sent;
  std::vector<group::run_entry> runs;
  all.database.on_run = [&](const group::run_entry& each) {
    std::lock_guard lock{mutex};
    runs.push_back(each);
    record.line("back end %s runs %s (sent at %.1f ms)", each.target.c_str(), each.id.c_str(), sent[each.id]);
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
  record.line("all proxies are ready");
  std::atomic<bool> is_over = false;
  std::vector<std::thread> clients;
  for (int i = 0; i < 5; ++i) {
    clients.emplace_back([&, i] {
      client session;
      while (!is_over) {
        auto& via = *all.proxies[static_cast<std::size_t>(i) % all.proxies.size()];
        if (!session.is_open() && !session.open(via.caller_port, deployment::database_name, deployment::key)) {
          sleep_ms(100);
          continue;
        }
        const auto id = unique_id("w");
        {
          std::lock_guard lock{mutex};
          sent[id] = now_ms();
        }
        static_cast<void>(session.query(id, "WRITE item" + std::to_string(i) + " data"));
        sleep_ms(50);
      }
    });
  }
  sleep_ms(5000);
  if (has_trouble()) {
    is_slow = true;
    record.line("the platform is slow with promotion calls");
  }
  const auto old = all.database.primary();
  all.database.replace(old, "i-4", 12'000);
  const double acknowledged = old->draining_acked_ms;
  sleep_ms(13'000);
  is_over = true;
  for (auto& each : clients) each.join();

  std::lock_guard lock{mutex};
  int late = 0;
  for (const auto& each : runs) {
    if (each.target != old->id || each.at_ms <= acknowledged + drain_ms) continue;
    ++late;
    record.line("DRAIN: %s, sent by its client at %.1f ms, reaches %s at %.1f ms, %.1f ms after the store had "
                "acknowledged that it is draining",
                each.id.c_str(), sent[each.id], each.target.c_str(), each.at_ms, each.at_ms - acknowledged);
  }
  record.line("%zu statements ran; %d reached %s later than %.0f ms after it was acknowledged as draining",
              runs.size(), late, old->id.c_str(), drain_ms);
  finish(late > 0 ? 1 : 0);
}
