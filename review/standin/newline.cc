// A client writes a note of two lines, as text with a line feed. Judged by what the back ends ran: UNASKED.
#include "standin.h"

using namespace standin;

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  limit_time(100);
  installation site;
  site.await_service();
  const std::string gap = has_trouble() ? "\n" : " ";

  std::map<std::string, std::string> sent;
  const auto write = [&](const char* label, std::size_t at, const std::string& text) {
    client session{label, site.proxies[at]->callers};
    if (!session.start("burn-order", "key-grove-1")) installation::give_up("no session");
    const auto id = new_id();
    sent[id] = text;
    return session.query(text, 1200, id);
  };
  write("client 1", 0, "WRITE note-1 deliver 12 candles" + gap + "leave them at the south gate");
  write("client 2", 1, "WRITE note-2 the clerk asked for" + gap + "QUERY 0123456789abcdef WRITE stock-7 0");
  pause_ms(300);

  std::vector<std::string> broken;
  for (const auto& each : site.database.runs()) {
    if (each.id == "-" || each.text == "READ warm") continue;
    const auto it = sent.find(each.id);
    if (it == sent.end())
      broken.push_back("a back end ran " + each.id + " '" + shown(each.text) + "', which no client sent -> " + each.outcome);
    else if (it->second != each.text)
      broken.push_back("a back end ran " + each.id + " as '" + shown(each.text) + "', sent as '" + shown(it->second) +
                       "' -> " + each.outcome);
  }
  finish(site, broken, "UNASKED");
}
