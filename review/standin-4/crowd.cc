// Callers that nobody controls: sessions that each set many short values. All messages are of legal size.
//
//     crowd ROOT FOLDER RECORD values   a crowd at one machine; is its process within the machine's memory?
//     crowd ROOT FOLDER RECORD starve   60 sessions of one tenant, within its rate; are the other tenants served?
//     crowd ROOT FOLDER RECORD owner    32 sessions, none of them at the machine that owns the service; each runs
//                                       transactions of 12 statements with large prepared statements. Is each
//                                       process within its machine's memory?



#include "world.h"

using namespace world;

namespace {

struct tally {
  std::atomic<std::uint64_t> served{0};
  std::atomic<std::uint64_t> other{0};
};

/// A caller who writes and reads, and opens a new session after an error.
void ordinary(int port, const std::string& database, const std::string& key, tally& all, const std::atomic<bool>& stop) {
  unsigned n = 0;
  while (!stop) {
    client each{port};
    each.limit_wait(2s);
    if (!each.start(database, key)) {
      ++all.other;
      std::this_thread::sleep_for(100ms);
      continue;
    }
    while (!stop && each.is_open()) {
      const auto item = "item" + std::to_string(n++ % 50);
      const auto text = n % 4 == 0 ? "WRITE " + item + " v" + std::to_string(n) : "READ " + item;
      const auto answer = each.ask("QUERY " + next_id() + " " + text);
      ++(answer.find("COMPLETE") != std::string::npos ? all.served : all.other);
      std::this_thread::sleep_for(100ms);
    }
  }
}

/// Sets `count` values of a session, some at a time. @return how many were accepted.
std::size_t set_values(client& session, std::size_t count, std::size_t name_bytes, std::size_t value_bytes) {
  constexpr std::size_t at_a_time = 50;
  std::size_t accepted = 0;
  const std::string value(value_bytes, 'v');
  for (std::size_t done = 0; done < count && session.is_open();) {
    std::string lines;
    std::size_t sent = 0;
    for (; sent < at_a_time && done < count; ++sent, ++done) {
      auto name = std::to_string(done);
      name.insert(0, name_bytes > name.size() ? name_bytes - name.size() : 0, 'n');
      lines += "QUERY s SET " + name + " " + value + "\r\n";
    }
    if (!session.send(lines)) break;
    for (std::size_t i = 0; i < sent; ++i) {
      const auto answer = session.read_answer();
      if (answer.rfind("COMPLETE", 0) != 0) {
        std::printf("after %zu values: %s\n", accepted, answer.c_str());
        return accepted;
      }
      ++accepted;
    }
  }
  return accepted;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string root = argv[1];
  const std::string folder = argv[2];
  const std::string mode = argv[4];
  std::ofstream record_file{argv[3]};
  std::mutex record_mutex;
  const auto note = [&](const std::string& line) {
    std::lock_guard lock{record_mutex};
    record_file << line << std::endl;
  };
  const char* setting = std::getenv("TROUBLE");
  const bool has_trouble = setting == nullptr || std::string{setting} != "0";
  ::signal(SIGPIPE, SIG_IGN);

  platform store;
  service ledger{"huvo11a", {"i-1", "i-2", "i-3"}, {"tanta", "banha", "zagazig"}, 3, 34, {}};
  service second{"kafi81c", {"i-4", "i-5", "i-6"}, {"banha", "zagazig", "tanta"}, 3, 34, {}};
  service third{"wuno96b", {"i-7", "i-8", "i-9"}, {"zagazig", "tanta", "banha"}, 3, 34, {}};
  store.on_promotion = [&](const std::string& name, const std::string& id) {
    return (name == ledger.name() ? ledger : name == second.name() ? second : third).promote(id);
  };
  const auto report_all = [&] {
    for (auto* each : {&ledger, &second, &third}) each->report(store);
  };
  const auto route = [&](const char* name, const char* kind, int timeout, int objective, const service& of) {
    return json{{"name", name},     {"host", name},           {"pathPrefix", "/"},   {"kind", kind},
                {"timeoutMs", timeout}, {"targetLatencyMs", objective}, {"priority", 1},       {"service", of.name()},
                {"attempts", 2},     {"maxStalenessMs", 2500}, {"public", false}};
  };
  json tenants = json::array();
  for (int i = 0; i < 8; ++i) {
    tenants.push_back({{"name", "t" + std::to_string(i)},
                       {"accessKeys", {"key" + std::to_string(i)}},
                       {"ratePerS", 100},
                       {"burst", 100}});
  }
  store.put("config", "main",
            {{"version", 7},
             {"routes",
              {route("orders", "primary", 1000, 200, ledger), route("notes", "read_your_writes", 1000, 400, ledger),
               route("stock", "bounded", 2000, 600, ledger), route("stock-2", "bounded", 2000, 600, second),
               route("stock-3", "bounded", 2000, 600, third)}},
             {"services",
              {{{"name", ledger.name()}, {"connectionLimit", 34}, {"syncReplicas", 0}},
               {{"name", second.name()}, {"connectionLimit", 34}, {"syncReplicas", 0}},
               {{"name", third.name()}, {"connectionLimit", 34}, {"syncReplicas", 0}}}},
             {"limits", {{"transactionIdleMs", 3000}}},
             {"tenants", tenants}});
  report_all();
  std::atomic<bool> stop{false};
  std::thread reports{[&] {
    while (!stop) {
      std::this_thread::sleep_for(1200ms);
      report_all();
    }
  }};

  std::vector<proxy> proxies;
  const int memory[] = {260, 260, 520, 260, 260};
  const double cores[] = {0.25, 0.25, 0.5, 0.25, 0.25};
  const int descriptors[] = {4300, 4300, 8600, 4300, 4300};
  const char* zones[] = {"tanta", "tanta", "banha", "zagazig", "damanhur"};
  for (int i = 0; i < 5; ++i) {
    proxies.push_back(start_proxy(root, folder, "front-" + std::to_string(i), zones[i], cores[i], memory[i],
                                  descriptors[i], store.port()));
  }
  const auto finish = [&](int code, const std::string& why) {
    for (auto& each : proxies) {
      ::kill(each.pid, SIGKILL);
      ::waitpid(each.pid, nullptr, 0);
    }
    note("result " + std::to_string(code) + ": " + why);
    std::printf("result %d: %s\n", code, why.c_str());
    std::fflush(stdout);
    ::_exit(code);
  };
  for (auto& each : proxies) {
    const auto end = clock_type::now() + 10s;
    while (!is_ready(each.ready)) {
      if (clock_type::now() > end) finish(2, each.name + " is not ready");
      std::this_thread::sleep_for(100ms);
    }
  }
  std::this_thread::sleep_for(2s);

  std::vector<std::unique_ptr<tally>> tallies;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < proxies.size(); ++i) {
    tallies.push_back(std::make_unique<tally>());
    for (int n = 0; n < 2; ++n) {
      callers.emplace_back(ordinary, proxies[i].callers, n == 0 ? "orders" : "notes", "key" + std::to_string(6 + n),
                           std::ref(*tallies.back()), std::cref(stop));
    }
  }
  const auto start = clock_type::now();
  const auto seconds = [&] {
    return std::chrono::duration<double>(clock_type::now() - start).count();
  };
  std::string broken;
  std::mutex broken_mutex;
  std::vector<double> last_served(proxies.size(), 0);
  std::vector<double> longest_pause(proxies.size(), 0);
  std::vector<std::uint64_t> served_before(proxies.size(), 0);
  std::atomic<bool> is_measuring{false};
  std::thread watcher{[&] {
    double next = 0;
    while (!stop) {
      for (auto& each : proxies) {
        each.most_kb = std::max(each.most_kb, each.resident_kb());
        std::lock_guard lock{broken_mutex};
        if (each.has_ended()) broken = each.name + " ended";
        if (broken.empty() && each.most_kb > 1024L * each.memory_mb) {
          broken = each.name + " holds " + std::to_string(each.most_kb) + " kB, its machine has " +
                   std::to_string(1024L * each.memory_mb) + " kB";
        }
      }
      for (std::size_t i = 0; i < proxies.size(); ++i) {
        const auto now = seconds();
        const std::uint64_t served = tallies[i]->served;
        if (served != served_before[i] || !is_measuring) last_served[i] = now;
        served_before[i] = served;
        longest_pause[i] = std::max(longest_pause[i], now - last_served[i]);
      }
      if (seconds() >= next) {
        next += 1;
        std::ostringstream line;
        line << "at " << static_cast<int>(seconds()) << " s, resident kB:";
        for (const auto& each : proxies) line << " " << each.name << " " << each.resident_kb();
        line << "; ordinary operations served of sent:";
        for (const auto& each : tallies) line << " " << each->served << "/" << each->served + each->other;
        line << "; values set at backends "
             << ledger.counts.settings + second.counts.settings + third.counts.settings;
        note(line.str());
      }
      std::this_thread::sleep_for(50ms);
    }
  }};
  const auto is_over = [&] {
    std::lock_guard lock{broken_mutex};
    return broken.find("ended") != std::string::npos || seconds() > 75;
  };
  std::this_thread::sleep_for(3s);

  std::vector<client> crowd;
  std::atomic<std::size_t> accepted{0};
  std::atomic<bool> is_crowd_over{false};
  const auto add_to_crowd = [&](std::size_t vm, const std::string& database, const std::string& key) {
    crowd.emplace_back(proxies[vm].callers);
    if (!crowd.back().start(database, key)) note("a session of the crowd is refused");
  };
  if (has_trouble && mode == "values") {
    // The crowd comes to one machine of 260 MB.
    const std::size_t large = 62;
    const std::size_t small = 2400;
    for (std::size_t i = 0; i < large + small; ++i) add_to_crowd(0, "orders", "key" + std::to_string(i % 6));
    note("the crowd has " + std::to_string(crowd.size()) + " sessions");
    std::vector<std::thread> threads;
    std::atomic<std::size_t> next{0};
    for (int n = 0; n < 4; ++n) {
      threads.emplace_back([&] {
        for (std::size_t i = next++; i < crowd.size() && !is_over(); i = next++) {
          accepted += set_values(crowd[i], i < large ? 21'500 : 160, 16, 16);
        }
      });
    }
    for (auto& each : threads) each.join();
    note("values that were accepted: " + std::to_string(accepted));
  }
  if (mode == "values") {
    const auto end = clock_type::now() + 8s;
    while (clock_type::now() < end && !is_over()) std::this_thread::sleep_for(100ms);
  } else {
    std::atomic<std::uint64_t> operations{0};
    std::mutex answers_mutex;
    std::map<std::string, int> answers;
    const bool is_owner_case = mode == "owner";
    const auto note_answer = [&](const std::string& answer) {
      std::lock_guard lock{answers_mutex};
      ++answers[answer.rfind("ROW", 0) == 0 ? "ROW" : answer.substr(0, answer.find_first_of(" |", 6))];
    };
    if (has_trouble) {
      // In the mode `owner`, front-1 owns the service of these sessions.
      const std::size_t others[] = {0, 2, 3, 4};
      for (std::size_t i = 0; i < (is_owner_case ? 32 : 60); ++i) {
        if (is_owner_case) {
          add_to_crowd(others[i % 4], "stock-3", "key" + std::to_string(i % 6));
        } else {
          add_to_crowd(i % 5, "stock", "key0");
        }
        crowd.back().limit_wait(3s);
      }
    }
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < crowd.size(); ++i) {
      threads.emplace_back([&, i] {
        auto& each = crowd[i];
        const auto is_done = [&] { return is_crowd_over || is_over() || !each.is_open(); };
        if (is_owner_case) {
          std::this_thread::sleep_for(std::chrono::milliseconds(100 * i));
          std::size_t shapes = 0;
          while (!is_done()) {
            ++operations;
            auto answer = each.ask("QUERY " + next_id() + " BEGIN READ");
            for (int n = 0; n < 11 && !is_done() && answer.find("COMPLETE") != std::string::npos; ++n) {
              if (n > 0) std::this_thread::sleep_for(1500ms);
              auto shape = std::to_string(i) + "." + std::to_string(shapes++) + ".";
              shape.append(1'000'000, 's');
              each.ask("QUERY " + next_id() + " PREPARE large READ " + shape);
              answer = each.ask("QUERY " + next_id() + " EXECUTE large item1");
              note_answer(answer);
              each.ask("QUERY " + next_id() + " DEALLOCATE large");
            }
            each.ask("QUERY " + next_id() + (answer.find("COMPLETE") != std::string::npos ? " COMMIT" : " ROLLBACK"));
            std::this_thread::sleep_for(500ms);
          }
          return;
        }
        accepted += set_values(each, 21'500, 16, 16);
        // A transaction of reads with pauses of a second; after a refusal another one, half a second later.
        while (!is_done()) {
          ++operations;
          each.ask("QUERY " + next_id() + " BEGIN READ");
          auto answer = each.ask("QUERY " + next_id() + " READ item1");
          note_answer(answer);
          while (!is_done() && answer.find("COMPLETE") != std::string::npos) {
            std::this_thread::sleep_for(1s);
            answer = each.ask("QUERY " + next_id() + " READ item1");
          }
          each.ask("QUERY " + next_id() + " ROLLBACK");
          std::this_thread::sleep_for(500ms);
        }
      });
    }
    std::this_thread::sleep_for(5s);
    is_measuring = true;
    const auto until = clock_type::now() + 30s;
    while (clock_type::now() < until && !is_over()) {
      std::this_thread::sleep_for(2s);
      std::ostringstream line;
      line << "values accepted " << accepted << "; operations of the crowd so far " << operations
           << (is_owner_case ? "; answers to their statements:" : "; answers to their first statements:");
      std::lock_guard lock{answers_mutex};
      for (const auto& [text, count] : answers) line << " " << text << " " << count;
      note(line.str());
    }
    is_crowd_over = true;
    for (auto& each : threads) each.join();
  }
  stop = true;
  watcher.join();
  for (auto& each : callers) each.join();
  auto why = broken;
  for (std::size_t i = 0; i < proxies.size(); ++i) {
    const auto& each = proxies[i];
    std::ostringstream line;
    line << each.name << " held at most " << each.most_kb << " kB of " << 1024L * each.memory_mb
         << "; ordinary callers: " << tallies[i]->served << " operations served, " << tallies[i]->other
         << " not; longest time without a served one " << longest_pause[i] << " s";
    note(line.str());
    if (mode == "starve" && why.empty() && longest_pause[i] > 15) {
      why = "no ordinary caller of " + each.name + " was served for " +
            std::to_string(static_cast<int>(longest_pause[i])) + " s on end";
    }
  }
  finish(why.empty() ? 0 : 1,
         why.empty() ? "every process stayed within its memory, and ordinary callers were served" : why);
}
