// Planned work: the primaries of six services with syncReplicas = 1 are replaced, twice, while
// callers read at the replicas and write. Acknowledged commits must be in the log of the backend that is promoted.
// TROUBLE=0: the same load, and no primary drains.

#include "bed.h"

using namespace bed;

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const std::string folder = argv[1];
  record.open(argv[2]);
  const bool is_trouble = is_trouble_on();

  store platform;
  std::map<std::string, std::unique_ptr<database>> databases;
  std::mutex mutex;
  std::set<std::string> acknowledged;
  std::atomic<int> promotions{0};
  int lost = 0;

  promotion_duty duty{[&](const std::string& service, const std::string& target) {
                        const auto it = databases.find(service);
                        if (it == databases.end() || !it->second->has_member(target)) return;
                        if (it->second->promote(target)) ++promotions;
                      }};

  database_options options;
  options.is_sync = true;
  options.read_ms = 40;
  constexpr int readers = 5;  // of each service
  const std::vector<std::string> services{"ledger-a", "ledger-b", "ledger-c", "ledger-d", "ledger-e", "ledger-f"};
  int number = 0;
  for (const auto& service : services) {
    ++number;
    const auto id = [&](const char* mark) { return std::string{"i-"} + std::to_string(number) + mark; };
    databases.emplace(service, std::make_unique<database>(
                                   platform, service,
                                   std::vector<std::pair<std::string, std::string>>{
                                       {id("a"), "zone-1"}, {id("b"), "zone-2"}, {id("c"), "zone-3"}},
                                   options));
  }
  std::vector<tenant> tenants{{"growers", "key-growers-1", 1000, 1000}, {"clerks", "key-clerks-1", 1000, 1000}};
  platform.put("config", "main", desired_state(7, services, 1, tenants));

  std::vector<std::unique_ptr<proxy>> proxies;
  for (int i = 1; i <= 3; ++i) {
    proxies.push_back(std::make_unique<proxy>(folder, "front-" + std::to_string(i), "zone-" + std::to_string(i),
                                              platform.port(), duty.port()));
  }
  wait_until_ready(proxies);
  sleep_ms(2'500);

  std::atomic<bool> is_over{false};
  std::atomic<int> reads{0}, writes{0}, failed{0};
  std::vector<std::thread> load;
  for (size_t s = 0; s < services.size(); ++s) {
    const auto host = std::to_string(s + 1);
    for (int r = 0; r < readers; ++r) {
      load.emplace_back([&, host, r] {
        client session;
        for (int n = 0; !is_over; ++n) {
          if (!session.is_open() && !session.open(proxies[static_cast<size_t>(r) % 3]->callers, "stock-" + host, "key-clerks-1")) {
            sleep_ms(50);
            continue;
          }
          const auto got = session.run("r" + host + std::to_string(r) + "x" + std::to_string(n), "READ 1a" + std::to_string(n % 50));
          if (got.is_success()) ++reads;
        }
      });
    }
    for (int w = 0; w < 2; ++w) {
      load.emplace_back([&, s, host, w] {
        client session;
        for (int n = 0; !is_over; ++n) {
          if (!session.is_open() && !session.open(proxies[static_cast<size_t>(w + 1) % 3]->callers, "orders-" + host, "key-growers-1")) {
            sleep_ms(50);
            continue;
          }
          const auto& service = services[s];
          const auto id = service + "/" + std::to_string(w) + "x" + std::to_string(n);
          const auto got = session.run(id, "WRITE k" + std::to_string(n % 40) + " v" + std::to_string(n));
          if (got.is_success()) {
            ++writes;
            std::lock_guard lock{mutex};
            acknowledged.insert(id);
            record.line("acknowledged " + id);
          } else {
            ++failed;
            record.line("write " + id + ": " + describe(got));
          }
          sleep_ms(15);
        }
      });
    }
  }
  sleep_ms(2'000);
  for (int round = 0; round < 2; ++round) {
    if (is_trouble) {
      for (auto& [service, each] : databases) each->drain_primary();
    }
    // DEPLOY.md: a backend serves for drainMs (7 s) after its report, and a little longer.
    sleep_ms(9'000);
    for (auto& [service, each] : databases) each->replace_drained();
    sleep_ms(2'000);
  }
  is_over = true;
  for (auto& each : load) each.join();
  for (auto& each : proxies) each->end();
  // What isn't in the log of the present primary wasn't in the log of a backend when that was promoted.
  for (const auto& service : services) {
    const auto kept = databases[service]->kept_ids();
    for (const auto& id : acknowledged) {
      if (id.rfind(service + "/", 0) != 0 || kept.contains(id)) continue;
      ++lost;
      record.line("LOST: acknowledged commit " + id + " isn't in the log of " + databases[service]->primary_id());
    }
  }
  const auto summary = "reads " + std::to_string(reads) + ", writes acknowledged " + std::to_string(writes) + ", failed " +
                       std::to_string(failed) + ", promotions " + std::to_string(promotions) + ", acknowledged commits lost " + std::to_string(lost);
  record.line(summary);
  std::cout << summary << "\n";
  const int code = lost > 0 ? 1 : is_trouble && promotions == 0 ? 2 : writes < 100 ? 2 : 0;
  std::cout.flush();
  _exit(code);
}
