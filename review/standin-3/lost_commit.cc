// LOST: an acknowledged commit is not in the log of the back end that is promoted.
//
// The primary of a service with syncReplicas 1 leaves. With the disruption, the first promotion call gets no
// answer and is carried out 2.2 s later, and so is the RESUME that follows to the same back end.

#include <thread>

#include "deployment.h"

using namespace world;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[1]);
  const std::string folder = argv[2];
  deployment_options options;
  options.sync_replicas = 1;
  auto& all = *new deployment(options, folder);
  std::mutex mutex;
  std::string first_target;
  bool has_late_resume = false;
  if (has_trouble()) {
    all.promotions.set_late_calls([&](const cloud::call& call) -> std::optional<double> {
      std::lock_guard lock{mutex};
      if (!first_target.empty()) return std::nullopt;
      first_target = call.identifier;
      return 2200;
    });
    all.database.set_late_orders([&](const std::string& target, const std::string& text) -> std::optional<double> {
      std::lock_guard lock{mutex};
      if (text.rfind("RESUME", 0) != 0 || target != first_target || has_late_resume) return std::nullopt;
      has_late_resume = true;
      return 2200;
    });
  }
  if (!all.start()) {
    record.line("the proxies did not become ready");
    for (const auto& each : all.proxies) each->kill();
    return 2;
  }
  record.line("all proxies are ready");

  std::atomic<bool> is_over = false;
  std::map<std::string, double> acknowledged;  // Id of the write -> when its client had the answer.
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
        const auto answered = session.query(id, "WRITE item" + std::to_string(i) + " data");
        if (answered.is_complete && answered.error.empty()) {
          std::lock_guard lock{mutex};
          acknowledged[id] = now_ms();
          record.line("client %d: write %s: success", i, id.c_str());
        } else {
          record.line("client %d: write %s: %s", i, id.c_str(),
                      answered.is_complete ? answered.error.c_str() : "no answer");
        }
        sleep_ms(40);
      }
    });
  }
  sleep_ms(4000);
  const auto old_primary = all.database.primary();
  all.database.drain(*old_primary);
  const bool is_promoted = wait_until(12'000, [&] {
    const auto now = all.database.primary();
    return now && now != old_primary;
  });
  sleep_ms(1500);
  is_over = true;
  for (auto& each : clients) each.join();
  int result = 2;
  if (is_promoted) {
    const auto promoted = all.database.primary();
    int lost = 0;
    for (const auto& [id, when] : acknowledged) {
      if (all.database.has_commit(*promoted, id)) continue;
      ++lost;
      record.line("LOST: write %s was acknowledged to its client at %.1f ms and is not in the log of %s", id.c_str(),
                  when, promoted->id.c_str());
    }
    record.line("%zu acknowledged writes, %d of them lost", acknowledged.size(), lost);
    result = lost > 0 ? 1 : 0;
  } else {
    record.line("no promotion in 12 s");
  }
  for (const auto& each : all.proxies) each->kill();
  std::fflush(nullptr);
  ::_exit(result);
}
