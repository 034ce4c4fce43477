// A back end that fails part of its statements while sessions with different values write. Judged by what the
// back ends ran and what the clients were told: TWICE, PINNED and REFUSED.
#include "standin.h"

using namespace standin;

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  limit_time(100);
  installation site;
  site.await_service();
  site.database.is_noting_all = true;

  // The primary answers 45 % of its statements with FAILED and doesn't run them.
  std::mt19937 random{7};
  std::mutex random_mutex;
  std::atomic<bool> is_grey{false};
  site.database.interfere = [&](const std::string& backend, const std::string& id,
                                const std::string& text) -> std::optional<std::string> {
    if (!is_grey || backend != "i-a" || text == "STATUS") return std::nullopt;
    std::lock_guard lock{random_mutex};
    if (random() % 100 >= 45) return std::nullopt;
    return "ERROR FAILED " + backend + "\r\n";
  };

  struct write {
    std::string id, value;
    client_answer answer;
  };
  std::mutex mutex;
  std::vector<write> writes;
  std::vector<std::thread> threads;
  if (has_trouble()) {
    record.line("i-a fails 45 %% of its statements");
    is_grey = true;
  }
  // Four sessions of one tenant, each with a value of its own; each sends 25 single writes in 4 to 5 seconds.
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&, i] {
      const auto label = "client " + std::to_string(i + 1);
      const auto value = "depot-" + std::to_string(i + 1);
      std::unique_ptr<client> session;
      for (int n = 0; n < 25; ++n) {
        if (!session || !session->is_open()) {
          session = std::make_unique<client>(label, site.proxies[static_cast<std::size_t>(i) % 3]->callers);
          if (!session->start("burn-order", "key-grove-1")) continue;
          if (!session->query("SET place " + value).is_success()) continue;
        }
        const auto id = new_id();
        const auto answer =
            session->query("WRITE o" + std::to_string(i) + "-" + std::to_string(n) + " order", 1200, id);
        {
          std::lock_guard lock{mutex};
          writes.push_back({id, value, answer});
        }
        pause_ms(120);
      }
    });
  }
  for (auto& each : threads) each.join();
  is_grey = false;
  pause_ms(500);

  static const std::set<std::string> promises{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};
  const auto runs = site.database.runs();
  std::vector<std::string> broken;
  int repeated = 0, with_other_values = 0, promised = 0;
  for (const auto& each : writes) {
    int effects = 0;
    bool is_other = false;
    for (const auto& run : runs) {
      if (run.id != each.id || run.outcome.rfind("COMPLETE", 0) != 0) continue;
      ++effects;
      const auto it = run.values.find("place");
      is_other = is_other || it == run.values.end() || it->second != each.value;
    }
    repeated += effects > 1 ? 1 : 0;
    with_other_values += is_other ? 1 : 0;
    const bool is_promised = effects > 0 && each.answer.is_complete && promises.count(each.answer.code) != 0;
    promised += is_promised ? 1 : 0;
    if (effects > 1) broken.push_back("write " + each.id + " took effect " + std::to_string(effects) + " times");
    if (is_other) record.line("PINNED broken: write %s ran without its session's value", each.id.c_str());
    if (is_promised) record.line("REFUSED broken: write %s was answered with %s", each.id.c_str(), each.answer.code.c_str());
  }
  record.line("%zu writes: %d took effect more than once, %d ran with other values than their session's, %d are kept "
              "though refused as not run",
              writes.size(), repeated, with_other_values, promised);
  finish(site, broken, "TWICE");
}
