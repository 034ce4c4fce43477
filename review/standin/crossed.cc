// Two clients with a transaction each, on the same proxy. The process that holds the first transaction is
// killed and started again. Judged by what the back ends ran: PINNED and UNASKED.
#include "standin.h"

using namespace standin;

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  limit_time(100);
  installation site;
  site.await_service();

  // Finds the process that holds the service's connections, to kill it, and another one for the clients.
  auto* holder = site.proxies[find_holder(site)].get();
  auto* entry = site.proxies[0].get() == holder ? site.proxies[1].get() : site.proxies[0].get();
  record.line("%s holds the connections; both clients are on %s", holder->name.c_str(), entry->name.c_str());

  std::map<std::string, char> owner;  // Client of each statement.
  std::set<std::string> commits;      // Statements that ask for a commit.
  client first{"client A", entry->callers};
  client second{"client B", entry->callers};
  if (!first.start("burn-order", "key-grove-1") || !second.start("burn-order", "key-depot-1"))
    installation::give_up("no session");
  const auto ask = [&](client& from, char who, const std::string& text) {
    const auto id = new_id();
    owner[id] = who;
    if (text == "COMMIT") commits.insert(id);
    return from.query(text, 1200, id);
  };

  ask(first, 'A', "BEGIN");
  if (!ask(first, 'A', "WRITE a1 of-A").is_success()) installation::give_up("no transaction");
  const auto paused = clock::now();
  if (has_trouble()) {
    holder->signal(SIGKILL, "killed");
    holder->stop();
    pause_ms(300);
    holder->start();
  }
  // Client B's operations go on all the while; its transactions are retried as a whole after a failure.
  // Client A pauses within its transaction for less than transactionIdleMs.
  std::unique_ptr<client> retry;
  auto* b = &second;
  bool is_b_open = false;
  while (clock::now() - paused < milliseconds{2600}) {
    if (!b->is_open()) {
      retry = std::make_unique<client>("client B", entry->callers);
      b = retry.get();
      if (!b->start("burn-order", "key-depot-1")) {
        pause_ms(100);
        continue;
      }
    }
    ask(*b, 'B', "BEGIN");
    const auto wrote = ask(*b, 'B', "WRITE b1 of-B");
    auto* runner = wrote.is_success() ? site.runner_of(wrote.id) : nullptr;
    const bool is_late = clock::now() - paused > milliseconds{1900};
    if (wrote.is_success() && (runner == holder || is_late)) {
      is_b_open = true;
      break;
    }
    // A transaction that another process holds ends before the next one begins.
    if (wrote.is_success()) ask(*b, 'B', "ROLLBACK");
    if (wrote.is_complete && !wrote.is_success()) ask(*b, 'B', "ROLLBACK");
    pause_ms(100);
  }
  record.line("client A paused for %.2f s; client B has %s", std::chrono::duration<double>(clock::now() - paused).count(),
              is_b_open ? "an open transaction" : "no transaction");
  const auto a2 = ask(first, 'A', "WRITE a2 of-A");
  if (a2.is_success()) ask(first, 'A', "COMMIT");
  else ask(first, 'A', "ROLLBACK");
  if (is_b_open) {
    ask(*b, 'B', "WRITE b2 of-B");
    ask(*b, 'B', "ROLLBACK");
  }
  pause_ms(300);

  // Who began each transaction on the back ends, and whose statements ran in it.
  std::vector<std::string> broken;
  std::map<std::uint64_t, char> began;
  for (const auto& each : site.database.runs()) {
    const auto who = owner.find(each.id);
    if (who == owner.end() || each.transaction == 0) continue;
    const auto [it, is_new] = began.emplace(each.transaction, who->second);
    if (it->second == who->second) continue;
    broken.push_back("statement " + each.id + " '" + each.text + "' of client " + who->second +
                     " ran inside transaction " + std::to_string(each.transaction) + " of client " + it->second +
                     " as tenant " + each.tenant + " -> " + each.outcome);
  }
  record.line("in the end a1 is '%s', a2 '%s', b1 '%s'; client B asked for no commit",
              site.database.value("a1").c_str(), site.database.value("a2").c_str(), site.database.value("b1").c_str());
  finish(site, broken, "PINNED");
}
