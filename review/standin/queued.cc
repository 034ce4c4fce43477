// Clients write documents through a proxy whose link to the machine that holds the service's connections is
// slow. Judged by what the clients were told and what the database kept: REFUSED.
#include "standin.h"

using namespace standin;

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  limit_time(100);
  installation site{true};
  site.await_service();

  const auto at = find_holder(site);
  auto* holder = site.proxies[at].get();
  auto* entry = site.proxies[at == 0 ? 1 : 0].get();
  record.line("%s holds the connections; the clients are on %s", holder->name.c_str(), entry->name.c_str());
  if (has_trouble()) {
    record.line("the link of %s passes 10 Mbit/s", holder->name.c_str());
    site.links[at]->set_rate(10);
  }

  // Sixteen clients; each writes one document of 250 kB, the larger ones that the configuration allows.
  constexpr int writers = 16;
  std::vector<client_answer> answers(writers);
  std::vector<std::thread> threads;
  for (int i = 0; i < writers; ++i) {
    threads.emplace_back([&, i] {
      client session{"client " + std::to_string(i + 1), entry->callers};
      if (!session.start("burn-order", i % 2 == 0 ? "key-grove-1" : "key-depot-1")) return;
      const std::string document(250'000, static_cast<char>('a' + i));
      answers[static_cast<std::size_t>(i)] =
          session.query("WRITE d" + std::to_string(i) + " " + document, 1200);
    });
  }
  for (auto& each : threads) each.join();
  pause_ms(5000);

  static const std::set<std::string> promises{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};
  std::vector<std::string> broken;
  const auto runs = site.database.runs();
  for (int i = 0; i < writers; ++i) {
    const auto& answer = answers[static_cast<std::size_t>(i)];
    const bool is_kept = site.database.value("d" + std::to_string(i)).size() == 250'000;
    record.line("client %d: %s, kept by the database: %s", i + 1,
                !answer.is_complete ? "no answer" : answer.code.empty() ? "success" : answer.code.c_str(),
                is_kept ? "yes" : "no");
    if (is_kept && answer.is_complete && promises.count(answer.code) != 0)
      broken.push_back("the write " + answer.id + " of client " + std::to_string(i + 1) + " was answered with " +
                       answer.code + " and is committed");
  }
  finish(site, broken, "REFUSED");
}
