// All proxies are killed and started again; then half of the connections of one of them are reset, while clients
// rest inside transactions. Judged by the share of operations that is served later: RECOVER.
#include "standin.h"

using namespace standin;

namespace {

constexpr double recovery_s = 15;

struct operation {
  double sent = 0;
  bool is_served = false;
};

}  // namespace

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  limit_time(110);
  installation site;
  site.await_service();

  std::atomic<bool> is_over{false};
  std::mutex mutex;
  std::vector<operation> operations;
  std::vector<std::thread> clients;
  // 60 clients of the route burn-order. Two of five operations are transactions, with pauses between their
  // statements; 35 % of the others write. After a failure a client opens a new session on the next proxy.
  for (int i = 0; i < 60; ++i) {
    clients.emplace_back([&, i] {
      const auto label = "client " + std::to_string(i + 1);
      std::mt19937 random{static_cast<unsigned>(i)};
      auto at = static_cast<std::size_t>(i) % site.proxies.size();
      std::unique_ptr<client> session;
      while (!is_over) {
        pause_ms(300 + static_cast<int>(random() % 400));
        operation each{record.now(), false};
        if (!session || session->is_closed_by_peer()) {
          at = (at + 1) % site.proxies.size();
          session = std::make_unique<client>(label, site.proxies[at]->callers);
          if (!session->start("burn-order", i % 2 == 0 ? "key-grove-1" : "key-depot-1")) session.reset();
        }
        if (session) {
          const auto item = "i" + std::to_string(random() % 50);
          if (random() % 5 < 2) {
            each.is_served = session->query("BEGIN").is_success();
            for (int n = 0; n < 2 && each.is_served; ++n) {
              each.is_served = session->query(n == 0 ? "WRITE " + item + " v" : "READ " + item).is_success();
              pause_ms(600 + static_cast<int>(random() % 1000));
            }
            each.is_served = each.is_served && session->query("COMMIT").is_success();
          } else {
            each.is_served = session->query(random() % 100 < 35 ? "WRITE " + item + " w" : "READ " + item).is_success();
          }
          if (!each.is_served) session.reset();
        }
        std::lock_guard lock{mutex};
        operations.push_back(each);
      }
    });
  }
  pause_ms(5000);
  const double fault = record.now();
  if (has_trouble()) {
    for (auto& each : site.proxies) each->signal(SIGKILL, "killed");
    for (auto& each : site.proxies) each->stop();
    pause_ms(1200);
    for (auto& each : site.proxies) each->start();
  }
  const double back = record.now();
  pause_ms(6000);
  if (has_trouble()) {
    const auto& holder = *site.proxies[find_holder(site)];
    const int count = site.database.reset_half([&](int port) { return holder.holds_port(port); });
    record.line("%s: %d of its connections to back ends are reset", holder.name.c_str(), count);
  }
  while (record.now() < back + recovery_s + 10) pause_ms(100);
  is_over = true;
  for (auto& each : clients) each.join();

  const auto share = [&](double from, double to) {
    int sent = 0, served = 0;
    for (const auto& each : operations) {
      if (each.sent < from || each.sent >= to) continue;
      ++sent;
      served += each.is_served ? 1 : 0;
    }
    record.line("operations sent from %.1f to %.1f s: %d, served: %d", from, to, sent, served);
    return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
  };
  const double before = share(fault - 4, fault - 1);
  share(back + 3, back + 6);
  const double after = share(back + recovery_s, back + recovery_s + 10);
  std::vector<std::string> broken;
  if (before >= 0.25 && after < 0.25) {
    char text[160];
    std::snprintf(text, sizeof text, "%.0f %% of the operations were served before the fault, %.0f %% later than %.0f s after it",
                  before * 100, after * 100, recovery_s);
    broken.emplace_back(text);
  }
  finish(site, broken, "RECOVER");
}
