// Busy sessions on a proxy that gets SIGTERM. Judged by what the clients and the back ends saw: LOST.
#include "standin.h"

using namespace standin;

namespace {

// A request whose connection ended without a complete answer.
struct cut_request {
  std::string client, id, text;
  double sent, ended;
};

constexpr double grace_s = 6.0;
constexpr double loss_slack_s = 0.2;
constexpr double time_limit_s = 1.2;

}  // namespace

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  limit_time(100);
  installation site;
  site.database.work_ms = 24;  // The mean of the sheet's read_your_writes route.
  site.await_service();
  auto& leaving = *site.proxies[0];

  std::mutex mutex;
  std::vector<cut_request> cuts;
  std::atomic<bool> is_over{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  // Sixteen clients with one session each. A client sends its next statement 10 to 30 ms after the answer to the
  // one before, and opens its next session on another proxy when the proxy closes the session.
  for (int i = 0; i < 16; ++i) {
    clients.emplace_back([&, i] {
      const auto label = "client " + std::to_string(i + 1);
      std::mt19937 random{static_cast<unsigned>(i)};
      std::size_t at = 0;
      std::unique_ptr<client> session;
      while (!is_over) {
        if (!session || session->is_closed_by_peer()) {
          if (session) {
            record.line("%s: its session was closed between requests", label.c_str());
            at = 1 + static_cast<std::size_t>(i) % (site.proxies.size() - 1);
          }
          session = std::make_unique<client>(label, site.proxies[at]->callers);
          if (!session->start("dispatch-note", i % 2 == 0 ? "key-grove-1" : "key-depot-1")) {
            session.reset();
            at = 1;
            pause_ms(50);
            continue;
          }
        }
        const auto item = "i" + std::to_string(random() % 50);
        const auto text = random() % 8 == 0 ? "WRITE " + item + " v" + std::to_string(random() % 1000) : "READ " + item;
        const auto sent = record.now();
        const auto id = new_id();
        const auto answer = session->query(text, static_cast<int>(time_limit_s * 1000), id);
        if (answer.is_complete) {
          served += answer.is_success() ? 1 : 0;
        } else {
          if (!answer.is_timed_out) {
            std::lock_guard lock{mutex};
            cuts.push_back({label, id, text, sent, record.now()});
          }
          session.reset();
          at = 1;
        }
        pause_ms(10 + static_cast<int>(random() % 21));
      }
    });
  }
  pause_ms(5000);
  const double stopped = record.now();
  if (has_trouble()) leaving.signal(SIGTERM, "SIGTERM");
  for (int i = 0; i < 80; ++i) {
    pause_ms(100);
    if (has_trouble() && leaving.has_ended()) {
      record.line("%s: ended %.2f s after SIGTERM", leaving.name.c_str(), record.now() - stopped);
      break;
    }
    if (has_trouble() && record.now() - stopped > grace_s && leaving.pid > 0) {
      leaving.signal(SIGKILL, "killed at the end of its grace period");
      leaving.stop();
    }
  }
  pause_ms(1500);
  is_over = true;
  for (auto& each : clients) each.join();

  std::vector<std::string> broken;
  const auto runs = site.database.runs();
  for (const auto& each : cuts) {
    const double after = each.sent - stopped;
    bool is_passed_on = false;
    for (const auto& run : runs) is_passed_on = is_passed_on || run.id == each.id;
    const bool is_by_sigterm = has_trouble() && after > 0 && each.ended <= stopped + grace_s + 1;
    // Excused: sent no later than 3 s after SIGTERM and still at work in the last sixth of the grace period.
    const bool is_excused = after <= 3.0 && each.ended - stopped >= grace_s * 5 / 6;
    const bool counts = is_passed_on || each.ended - each.sent > loss_slack_s;
    char text[256];
    std::snprintf(text, sizeof text, "request %s '%s' of %s, sent %.2f s after SIGTERM, %s, cut %.0f ms later without an answer",
                  each.id.c_str(), each.text.c_str(), each.client.c_str(), after,
                  is_passed_on ? "run by a back end" : "not seen by a back end", (each.ended - each.sent) * 1000);
    record.line("%s", text);
    if (is_by_sigterm && counts && !is_excused && each.ended - each.sent < time_limit_s) broken.push_back(text);
  }
  record.line("%d requests served, %zu cut", served.load(), cuts.size());
  finish(site, broken, "LOST");
}
