// ONE: two proxies take turns as the holder of the promotion duty of one service.
//
// The back ends of a service are replaced one after the other, as planned work. With the disruption, the first
// promotion call of each round gets no answer and is carried out 8 s later (its fence is old by then).

#include <thread>

#include "deployment.h"

using namespace world;

namespace {

constexpr double turn_ms = 3000;

/// @return the calls that were answered with 200, in their order.
std::vector<cloud::call> acts_of(const std::vector<cloud::call>& calls) {
  std::vector<cloud::call> acts;
  for (const auto& each : calls) {
    if (each.status == 200) acts.push_back(each);
  }
  return acts;
}

/// @return whether a holder acted, then another one, and then the first one again.
bool is_turn(const std::vector<cloud::call>& acts, std::size_t first) {
  const auto& a = acts[first];
  const auto& c = acts[first + 2];
  return a.holder == c.holder && a.holder != acts[first + 1].holder && c.at_ms - a.at_ms <= turn_ms;
}

bool has_turn(const std::vector<cloud::call>& acts) {
  for (std::size_t i = 0; i + 2 < acts.size(); ++i) {
    if (is_turn(acts, i)) return true;
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[1]);
  deployment_options options;
  auto& all = *new deployment(options, argv[2]);
  const auto finish = [&](int result) {
    for (const auto& each : all.proxies) each->kill();
    std::fflush(nullptr);
    ::_exit(result);
  };
  all.database.is_recording_commits = false;
  std::atomic<bool> is_next_late = false;
  all.promotions.set_late_calls([&](const cloud::call&) -> std::optional<double> {
    if (!is_next_late.exchange(false)) return std::nullopt;
    return 8000;
  });
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
        const auto answered = session.query(id, "WRITE item" + std::to_string(i) + " data");
        if (!answered.error.empty()) record.line("client %d: write %s: %s", i, id.c_str(), answered.error.c_str());
        sleep_ms(300);
      }
    });
  }
  sleep_ms(3000);

  constexpr int rounds = 7;
  int next_member = 4;
  for (int round = 1; round <= rounds; ++round) {
    record.line("round %d", round);
    is_next_late = has_trouble();
    for (int step = 0; step < 2; ++step) {
      const auto old = all.database.primary();
      if (!old) break;
      all.database.replace(old, "i-" + std::to_string(next_member++), 9000);
      if (!wait_until(7000, [&] {
            const auto now = all.database.primary();
            return now && now != old;
          })) {
        record.line("no promotion in 7 s");
      }
      sleep_ms(700);
    }
    if (has_turn(acts_of(all.promotions.calls()))) break;
    sleep_ms(9000 - 300);
  }
  is_over = true;
  for (auto& each : clients) each.join();
  const auto acts = acts_of(all.promotions.calls());
  int turns = 0;
  for (std::size_t i = 0; i + 2 < acts.size(); ++i) {
    if (!is_turn(acts, i)) continue;
    const auto& a = acts[i];
    const auto& b = acts[i + 1];
    const auto& c = acts[i + 2];
    ++turns;
    record.line("ONE: holders acted in turn inside %.0f ms: %s at %.1f ms with token %llu, %s at %.1f ms with token "
                "%llu, %s at %.1f ms with token %llu",
                turn_ms, a.holder.c_str(), a.at_ms, static_cast<unsigned long long>(a.token), b.holder.c_str(),
                b.at_ms, static_cast<unsigned long long>(b.token), c.holder.c_str(), c.at_ms,
                static_cast<unsigned long long>(c.token));
  }
  record.line("%zu promotions were answered with 200; %d turns", acts.size(), turns);
  finish(turns > 0 ? 1 : 0);
}
