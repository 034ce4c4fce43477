// STALE: a read on a primary route runs on a log that lacks a commit which was acknowledged before.
//
// With the disruption, the primary crashes and is dark for 7 s, four times, 3.2 s apart. The old primary that
// comes back first is promoted while those with newer terms are dark, and then the next one.

#include <set>
#include <thread>

#include "deployment.h"

using namespace world;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[1]);
  deployment_options options;
  auto& all = *new deployment(options, argv[2]);
  all.database.is_recording_commits = false;
  struct read_run {
    double at_ms;
    std::string target;
    std::string log_end;
    std::set<std::string> log;
  };
  std::mutex mutex;
  std::map<std::string, read_run> reads;                          // By the id of the read.
  std::map<std::string, std::pair<double, double>> read_answers;  // When it was sent, when it succeeded.
  std::map<std::string, double> acknowledged;                     // Id of the write -> when its client knew.
  all.database.on_read = [&](const std::string& id, const group::member& each) {
    std::lock_guard lock{mutex};
    read_run run{now_ms(), each.id, each.received().str(), {}};
    for (const auto& entry : each.log) run.log.insert(entry.id);
    reads[id] = std::move(run);
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
  for (int i = 0; i < 10; ++i) {
    clients.emplace_back([&, i] {
      client session;
      const bool is_reader = i % 2 == 1;
      while (!is_over) {
        auto& via = *all.proxies[static_cast<std::size_t>(i / 2) % all.proxies.size()];
        if (!session.is_open() && !session.open(via.caller_port, deployment::database_name, deployment::key)) {
          sleep_ms(100);
          continue;
        }
        const auto id = unique_id(is_reader ? "r" : "w");
        const auto sent = now_ms();
        const auto answered =
            session.query(id, is_reader ? "READ item1" : "WRITE item" + std::to_string(i) + " data");
        if (answered.is_complete && answered.error.empty()) {
          std::lock_guard lock{mutex};
          record.line("client %d: %s, sent at %.1f ms: success", i, id.c_str(), sent);
          if (is_reader) {
            read_answers[id] = {sent, now_ms()};
          } else {
            acknowledged[id] = now_ms();
          }
        } else {
          record.line("client %d: %s, sent at %.1f ms: %s", i, id.c_str(), sent,
                      answered.is_complete ? answered.error.c_str() : "no answer");
        }
        sleep_ms(50);
      }
    });
  }
  sleep_ms(4000);
  const double first_crash = now_ms();
  if (has_trouble()) {
    for (int i = 0; i < 4; ++i) {
      sleep_ms(first_crash + 3200 * i - now_ms());
      if (const auto old = all.database.primary()) all.database.crash(old, 7000);
    }
  }
  sleep_ms(first_crash + 22'000 - now_ms());
  is_over = true;
  for (auto& each : clients) each.join();
  const auto last = all.database.primary();
  if (!last) {
    record.line("no primary at the end");
    finish(2);
  }
  // Commits that a promotion rolled back do not count: those that are not in the last log.
  std::map<std::string, double> kept;
  for (const auto& [id, when] : acknowledged) {
    if (all.database.has_commit(*last, id)) kept.emplace(id, when);
  }
  int stale = 0;
  for (const auto& [id, times] : read_answers) {
    const auto& run = reads.at(id);
    for (const auto& [write, when] : kept) {
      if (when >= times.first || run.log.contains(write)) continue;
      ++stale;
      record.line("STALE: read %s, sent at %.1f ms, ran at %.1f ms on %s with its log up to %s, which lacks write %s, "
                  "acknowledged at %.1f ms and kept to the end",
                  id.c_str(), times.first, run.at_ms, run.target.c_str(), run.log_end.c_str(), write.c_str(), when);
      break;
    }
  }
  record.line("%zu acknowledged writes, %zu of them in the last log; %zu reads, %d of them stale", acknowledged.size(),
              kept.size(), read_answers.size(), stale);
  finish(stale > 0 ? 1 : 0);
}
