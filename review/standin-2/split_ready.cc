// A transaction reads a large answer for which the proxy has no memory, and the last line of that answer
// arrives in two pieces. The connection must not go to another session while the transaction is open on it,
// and a write that was acknowledged must be there.
// TROUBLE=0: the same answer, and its last line arrives in one piece.

#include "bed.h"

using namespace bed;

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  record.open(argv[2]);
  store platform;
  std::unique_ptr<database> data;
  promotion_duty duty{[&](const std::string&, const std::string& target) { data->promote(target); }};
  data = std::make_unique<database>(platform, "ledger",
                                    std::vector<std::pair<std::string, std::string>>{
                                        {"i-a", "zone-1"}, {"i-b", "zone-2"}, {"i-c", "zone-3"}},
                                    database_options{});
  std::mutex mutex;
  std::vector<database::run> foreign;
  data->on_run = [&](const database::run& run) {
    if (run.id == "-") return;
    record.line("backend " + run.target + " runs " + run.id + " " + run.text + " on connection " + std::to_string(run.connection) +
                (run.transaction.empty() ? "" : ", in the transaction that " + run.transaction + " began"));
    // Ids of a session begin with its name and a colon; the proxy's own BEGIN has the id "-".
    const auto session = run.id.substr(0, run.id.find(':'));
    if (run.transaction.empty() || run.transaction == "-" || run.transaction.rfind(session + ":", 0) == 0) return;
    std::lock_guard lock{mutex};
    foreign.push_back(run);
  };
  data->rows_of = [](const std::string& item) {
    if (item != "archive") return std::vector<std::string>{};
    return std::vector<std::string>(256, std::string(250'000, 'x'));
  };
  data->splits_large_answers = is_trouble_on();
  auto desired = desired_state(7, {"ledger"}, 0, {{"growers", "key-growers-1"}});
  // Large answers take a while.
  desired["routes"][0]["timeoutMs"] = 4000;
  desired["routes"][0]["targetLatencyMs"] = 2000;
  platform.put("config", "main", desired);

  std::vector<std::unique_ptr<proxy>> proxies;
  proxies.push_back(std::make_unique<proxy>(argv[1], "front-1", "zone-1", platform.port(), duty.port()));
  wait_until_ready(proxies);
  sleep_ms(2'500);

  const auto port = proxies.front()->callers;
  const auto ask = [](client& session, const std::string& id, const std::string& text) {
    const auto got = session.run(id, text, 8'000);
    record.line("client " + id + " " + text + ": " + describe(got));
    return got;
  };
  int checked = 0, lost = 0;
  for (int n = 0; n < 5; ++n) {
    const auto mark = std::to_string(n);
    client reader, checker;
    std::vector<client> writers(4);
    bool are_open = reader.open(port, "orders-1", "key-growers-1") && checker.open(port, "orders-1", "key-growers-1");
    for (auto& writer : writers) are_open = are_open && writer.open(port, "orders-1", "key-growers-1");
    if (!are_open) {
      std::cerr << "no session\n";
      _exit(2);
    }
    ask(reader, "reader" + mark + ":1", "BEGIN");
    ask(reader, "reader" + mark + ":2", "READ archive");
    // Other sessions of the tenant go on with their work.
    std::vector<reply> written(writers.size());
    std::vector<std::thread> threads;
    for (size_t w = 0; w < writers.size(); ++w) {
      threads.emplace_back([&, w] {
        const auto name = mark + "x" + std::to_string(w);
        written[w] = ask(writers[w], "writer" + name + ":1", "WRITE order" + name + " paid" + name);
      });
    }
    for (auto& each : threads) each.join();
    ask(reader, "reader" + mark + ":3", "ROLLBACK");
    sleep_ms(300);
    for (size_t w = 0; w < writers.size(); ++w) {
      const auto name = mark + "x" + std::to_string(w);
      const auto read = ask(checker, "checker" + name + ":1", "READ order" + name);
      if (!written[w].is_success() || !read.is_success()) continue;
      ++checked;
      if (read.rows.size() == 1 && read.rows[0] == "paid" + name) continue;
      ++lost;
      record.line("LOST: the write writer" + name + ":1 was acknowledged with " + written[w].signature +
                  ", and a later read has " + (read.rows.empty() ? "no row" : read.rows[0]));
    }
  }
  proxies.front()->end();
  std::lock_guard lock{mutex};
  for (const auto& run : foreign) {
    record.line("PINNED: " + run.id + " ran inside the transaction that " + run.transaction + " of another client began");
  }
  const auto summary = "writes checked " + std::to_string(checked) + ", statements inside another client's transaction " +
                       std::to_string(foreign.size()) + ", acknowledged writes lost " + std::to_string(lost);
  record.line(summary);
  std::cout << summary << std::endl;
  _exit(!foreign.empty() || lost > 0 ? 1 : checked < 10 ? 2 : 0);
}
