#pragma once

// The operators' side of a small deployment, after their pages: the metadata store with the promotion call,
// and one service of three backends. Threads with blocking sockets, loopback only.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace world {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline void must(bool ok, const char* what) {
  if (ok) return;
  std::fprintf(stderr, "%s: %s\n", what, std::strerror(errno));
  throw std::runtime_error(what);
}

struct listener {
  int fd = -1;
  int port = 0;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return to;
}

inline listener listen_anywhere() {
  listener made;
  made.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  must(made.fd >= 0, "socket");
  auto at = loopback(0);
  must(::bind(made.fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0, "bind");
  must(::listen(made.fd, 1024) == 0, "listen");
  socklen_t size = sizeof at;
  must(::getsockname(made.fd, reinterpret_cast<sockaddr*>(&at), &size) == 0, "getsockname");
  made.port = ntohs(at.sin_port);
  return made;
}

inline void no_delay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// ---- the metadata store and the promotion call ----

class platform {
 public:
  std::function<bool(const std::string& service, const std::string& id)> on_promotion;

  platform() : listener_(listen_anywhere()) {
    std::thread([this] { accept(); }).detach();
  }
  int port() const { return listener_.port; }

  void put(const std::string& kind, const std::string& name, const json& spec) {
    std::lock_guard lock{mutex_};
    store(kind, name, spec);
  }
  void erase(const std::string& kind, const std::string& name) {
    std::lock_guard lock{mutex_};
    remove(kind, name);
  }
  json get(const std::string& kind, const std::string& name) {
    std::lock_guard lock{mutex_};
    const auto& all = objects_[kind];
    const auto it = all.find(name);
    return it == all.end() ? json() : it->second["spec"];
  }

 private:
  struct event {
    std::uint64_t revision;
    std::string kind;
    json object;
    bool removed;
  };

  const json& store(const std::string& kind, const std::string& name, const json& spec) {
    auto& all = objects_[kind];
    auto it = all.find(name);
    if (it != all.end() && it->second["spec"] == spec) return it->second;
    ++revision_;
    json object{{"meta",
                 {{"name", name},
                  {"revision", revision_},
                  {"created", it == all.end() ? revision_ : it->second["meta"]["created"].get<std::uint64_t>()},
                  {"finalizers", json::array()},
                  {"pendingDeletion", false}}},
                {"spec", spec},
                {"status", nullptr}};
    all[name] = object;
    events_.push_back({revision_, kind, object, false});
    changed_.notify_all();
    return all[name];
  }
  void remove(const std::string& kind, const std::string& name) {
    auto& all = objects_[kind];
    auto it = all.find(name);
    if (it == all.end()) return;
    ++revision_;
    it->second["meta"]["revision"] = revision_;
    events_.push_back({revision_, kind, it->second, true});
    all.erase(it);
    changed_.notify_all();
  }

  void accept() {
    while (true) {
      const int fd = ::accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      no_delay(fd);
      std::thread([this, fd] {
        serve(fd);
        ::close(fd);
      }).detach();
    }
  }

  void serve(int fd) {
    std::string input;
    char buffer[16384];
    while (true) {
      std::size_t head = std::string::npos;
      while ((head = input.find("\r\n\r\n")) == std::string::npos) {
        const auto n = ::recv(fd, buffer, sizeof buffer, 0);
        if (n <= 0) return;
        input.append(buffer, static_cast<std::size_t>(n));
      }
      std::istringstream lines{input.substr(0, head)};
      std::string method;
      std::string target;
      std::string line;
      std::getline(lines, line);
      std::istringstream{line} >> method >> target;
      std::size_t length = 0;
      std::uint64_t fence = 0;
      while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        while (!value.empty() && value.back() == '\r') value.pop_back();
        if (name == "content-length") length = std::stoul(value);
        if (name == "x-fencing-token") fence = std::stoull(value);
      }
      while (input.size() < head + 4 + length) {
        const auto n = ::recv(fd, buffer, sizeof buffer, 0);
        if (n <= 0) return;
        input.append(buffer, static_cast<std::size_t>(n));
      }
      const auto body = input.substr(head + 4, length);
      input.erase(0, head + 4 + length);
      int status = 200;
      const auto answer = handle(method, target, body, fence, status);
      std::string response = "HTTP/1.1 " + std::to_string(status) +
                             " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: " +
                             std::to_string(answer.size()) + "\r\n\r\n" + answer;
      if (!write_all(fd, response)) return;
    }
  }

  std::string handle(const std::string& method, const std::string& target, const std::string& body,
                     std::uint64_t fence, int& status) {
    std::this_thread::sleep_for(4ms);
    if (target == "/promotion") return promote(body, fence, status);
    const std::string prefix = "/-/objects/";
    if (target.rfind(prefix, 0) != 0) return status = 404, "{}";
    auto path = target.substr(prefix.size());
    std::map<std::string, std::string> query;
    if (const auto mark = path.find('?'); mark != std::string::npos) {
      std::istringstream parts{path.substr(mark + 1)};
      path.resize(mark);
      for (std::string part; std::getline(parts, part, '&');) {
        const auto equal = part.find('=');
        query[part.substr(0, equal)] = equal == std::string::npos ? "" : part.substr(equal + 1);
      }
    }
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
    std::unique_lock lock{mutex_};
    if (method == "GET" && query.count("watch") > 0) {
      const auto after = std::stoull(query["watch"]);
      const auto end = clock_type::now() + std::chrono::milliseconds(std::stoul(query["waitMs"]));
      const auto is_newer = [&] {
        return std::any_of(events_.rbegin(), events_.rend(),
                           [&](const event& each) { return each.revision > after && each.kind == kind; });
      };
      changed_.wait_until(lock, end, is_newer);
      json events = json::array();
      for (const auto& each : events_) {
        if (each.revision > after && each.kind == kind) {
          events.push_back({{"removed", each.removed}, {"object", each.object}});
        }
      }
      return json{{"events", events}, {"at", revision_}}.dump();
    }
    auto& all = objects_[kind];
    if (method == "GET" && name.empty()) {
      json items = json::array();
      for (auto it = query.count("after") > 0 ? all.upper_bound(query["after"]) : all.begin(); it != all.end(); ++it)
        items.push_back(it->second);
      return json{{"items", items}, {"more", false}, {"at", revision_}}.dump();
    }
    if (method == "GET") {
      const auto it = all.find(name);
      if (it == all.end()) return status = 404, "{}";
      return it->second.dump();
    }
    const auto sent = json::parse(body, nullptr, false);
    if (method == "POST") {
      const auto created = sent["meta"]["name"].get<std::string>();
      if (all.count(created) > 0) return status = 409, all[created].dump();
      return store(kind, created, sent["spec"]).dump();
    }
    if (method == "PUT") {
      const auto it = all.find(name);
      if (it == all.end()) return status = 404, "{}";
      const auto& meta = sent["meta"];
      if (meta.contains("revision") && meta["revision"] != it->second["meta"]["revision"]) {
        return status = 409, it->second.dump();
      }
      return store(kind, name, sent["spec"]).dump();
    }
    if (method == "DELETE") {
      remove(kind, name);
      return "{}";
    }
    return status = 404, "{}";
  }

  std::string promote(const std::string& body, std::uint64_t fence, int& status) {
    const auto sent = json::parse(body, nullptr, false);
    const auto service = sent["service"].get<std::string>();
    {
      std::lock_guard lock{mutex_};
      auto& newest = fences_[service];
      if (fence < newest) return status = 409, "{}";
      newest = fence;
    }
    if (on_promotion && !on_promotion(service, sent["identifier"].get<std::string>())) status = 409;
    return "{}";
  }

  listener listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::deque<event> events_;
  std::map<std::string, std::uint64_t> fences_;
};

// ---- one service of three backends ----

struct work_times {
  std::chrono::microseconds work{5000};
  std::chrono::microseconds opening{5000};
  std::chrono::milliseconds lag{20};
};

/// Counts of what all backends have been sent.
struct run_counts {
  std::atomic<std::uint64_t> settings{0};
  std::atomic<std::uint64_t> reads{0};
  std::atomic<std::uint64_t> writes{0};
  std::atomic<std::uint64_t> commits{0};
};

class service {
 public:
  run_counts counts;

  service(std::string name, std::vector<std::string> ids, std::vector<std::string> zones, unsigned slots,
          unsigned limit, work_times times)
      : name_(std::move(name)), times_(times), slots_(slots), limit_(limit) {
    for (std::size_t i = 0; i < ids.size(); ++i) {
      auto made = std::make_unique<backend>();
      made->id = ids[i];
      made->zone = zones[i];
      made->at = listen_anywhere();
      backends_.push_back(std::move(made));
    }
    for (auto& each : backends_) std::thread([this, at = each.get()] { accept(*at); }).detach();
  }

  const std::string& name() const { return name_; }

  /// Reports all backends to the store, as each does every heartbeat.
  void report(platform& store) {
    std::lock_guard lock{mutex_};
    ++sequence_;
    for (std::size_t i = 0; i < backends_.size(); ++i) {
      const auto& each = *backends_[i];
      store.put("servers", each.id,
                {{"service", name_},
                 {"address", "127.0.0.1:" + std::to_string(each.at.port)},
                 {"zone", each.zone},
                 {"version", "v1"},
                 {"slots", slots_},
                 {"state", "ready"},
                 {"coldRemainingMs", 0},
                 {"databaseRole", i == primary_ ? "primary" : "replica"},
                 {"born", born_},
                 {"sequence", sequence_}});
    }
  }

  bool promote(const std::string& id) {
    std::lock_guard lock{mutex_};
    for (std::size_t i = 0; i < backends_.size(); ++i) {
      if (backends_[i]->id != id) continue;
      if (i != primary_) ++term_;
      primary_ = i;
      return true;
    }
    return false;
  }

  unsigned connections(std::size_t i) const { return backends_[i]->connections; }

 private:
  struct backend {
    std::string id;
    std::string zone;
    listener at;
    std::atomic<unsigned> connections{0};
    std::mutex slots_mutex;
    std::condition_variable slot_free;
    unsigned running = 0;
    unsigned waiting = 0;
  };
  struct commit {
    clock_type::time_point at;
    std::map<std::string, std::string> writes;
  };
  struct session {
    char state = 'I';
    bool is_plain = false;
    std::uint64_t term = 0;
    std::map<std::string, std::string> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, std::pair<bool, std::string>> prepared;
  };

  void accept(backend& at) {
    while (true) {
      const int fd = ::accept4(at.at.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      no_delay(fd);
      std::thread([this, &at, fd] {
        serve(at, fd);
        ::close(fd);
      }).detach();
    }
  }

  /// Occupies a slot for some time. @return false if all are taken and too many wait.
  bool work(backend& at, std::chrono::microseconds time) {
    {
      std::unique_lock lock{at.slots_mutex};
      if (at.running >= slots_) {
        if (at.waiting >= 24) return false;
        ++at.waiting;
        at.slot_free.wait(lock, [&] { return at.running < slots_; });
        --at.waiting;
      }
      ++at.running;
    }
    std::this_thread::sleep_for(time);
    std::lock_guard lock{at.slots_mutex};
    --at.running;
    at.slot_free.notify_one();
    return true;
  }

  bool is_primary(const backend& at) { return backends_[primary_].get() == &at; }

  std::uint64_t applied(const backend& at) {
    if (is_primary(at)) return log_.size();
    const auto limit = clock_type::now() - times_.lag;
    auto n = log_.size();
    while (n > 0 && log_[n - 1].at > limit) --n;
    return n;
  }

  std::string position(const backend& at) { return std::to_string(term_) + "." + std::to_string(applied(at)); }

  std::string ready(const backend& at, const session& of) {
    std::lock_guard lock{mutex_};
    return std::string{"READY "} + of.state + " " + position(at) + "\r\n";
  }

  std::string signature() {
    static std::atomic<std::uint64_t> next{1};
    return "COMPLETE sig." + std::to_string(next++) + "\r\n";
  }

  void serve(backend& at, int fd) {
    struct counted {
      std::atomic<unsigned>& count;
      unsigned held;
      explicit counted(std::atomic<unsigned>& c) : count(c), held(++c) {}
      ~counted() { --count; }
    } one{at.connections};
    std::string input;
    std::string output;
    std::vector<char> buffer(65536);
    session of;
    bool is_started = false;
    while (true) {
      const auto n = ::recv(fd, buffer.data(), buffer.size(), 0);
      if (n <= 0) return;
      input.append(buffer.data(), static_cast<std::size_t>(n));
      std::size_t from = 0;
      std::string batch_ready;
      for (std::size_t end = 0; (end = input.find("\r\n", from)) != std::string::npos; from = end + 2) {
        const auto line = input.substr(from, end - from);
        if (!is_started) {
          is_started = true;
          std::istringstream words{line};
          std::string verb;
          std::string service_name;
          std::string tenant;
          std::string expected;
          words >> verb >> service_name >> tenant >> expected;
          if (verb != "START" || service_name != name_ || (!expected.empty() && expected != at.id)) {
            write_all(fd, "ERROR MISROUTED\r\n");
            return;
          }
          if (one.held > limit_) {
            write_all(fd, "ERROR TOOMANY\r\n");
            return;
          }
          work(at, times_.opening);
          output += ready(at, of);
          continue;
        }
        if (line == "CLOSE") return;
        if (line.size() > 6 && of.state != 'E') {
          // A value needs no log position newer than that of this batch.
          const auto text = line.find(' ', 6);
          if (text != std::string::npos && line.compare(text + 1, 4, "SET ") == 0) {
            const auto name_end = line.find(' ', text + 5);
            ++counts.settings;
            of.values[line.substr(text + 5, name_end - text - 5)] =
                name_end == std::string::npos ? std::string{} : line.substr(name_end + 1);
            if (batch_ready.empty()) batch_ready = "COMPLETE -\r\n" + ready(at, of);
            output += batch_ready;
            continue;
          }
        }
        batch_ready.clear();
        output += answer(at, of, line);
        if (output.size() > 32768) {
          if (!write_all(fd, output)) return;
          output.clear();
        }
      }
      input.erase(0, from);
      if (!write_all(fd, output)) return;
      output.clear();
    }
  }

  std::string answer(backend& at, session& of, const std::string& line) {
    std::string_view rest{line};
    const auto take = [&rest] {
      const auto end = rest.find(' ');
      const auto field = rest.substr(0, end);
      rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
      return field;
    };
    if (take() != "QUERY") return "ERROR MALFORMED\r\n" + ready(at, of);
    take();
    auto verb = take();
    std::optional<std::pair<std::uint64_t, std::uint64_t>> after;
    if (verb == "AFTER") {
      const auto point = std::string{take()};
      const auto dot = point.find('.');
      after = {std::stoull(point.substr(0, dot)), std::stoull(point.substr(dot + 1))};
      verb = take();
    }
    const auto fail = [&](const char* code) {
      if (of.state == 'T') of.state = 'E';
      return std::string{"ERROR "} + code + "\r\n" + ready(at, of);
    };
    const auto plain = [&] { return "COMPLETE -\r\n" + ready(at, of); };
    if (of.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") return fail("MALFORMED");
    if (verb == "SET") {
      ++counts.settings;
      const auto name = std::string{take()};
      of.values[name] = std::string{rest};
      return plain();
    }
    if (verb == "RESET") {
      of.values.clear();
      of.prepared.clear();
      return plain();
    }
    if (verb == "PREPARE") {
      const auto name = std::string{take()};
      const bool is_write = take() == "WRITE";
      of.prepared[name] = {is_write, std::string{rest}};
      return plain();
    }
    if (verb == "DEALLOCATE") {
      of.prepared.erase(std::string{take()});
      return plain();
    }
    if (verb == "STATUS") {
      std::lock_guard lock{mutex_};
      const auto all = std::to_string(term_) + "." + std::to_string(log_.size());
      return std::string{"ROW "} + (is_primary(at) ? "primary " : "replica ") + std::to_string(term_) + " " +
             all + " 0 12 " + std::to_string(at.running) + " " + std::to_string(at.connections) +
             "\r\nCOMPLETE -\r\nREADY " + of.state + " " + position(at) + "\r\n";
    }
    if (after) {
      std::lock_guard lock{mutex_};
      const bool has = after->first <= term_ && after->second <= applied(at);
      if (!has) return "ERROR LAGGING\r\nREADY " + std::string{of.state} + " " + position(at) + "\r\n";
    }
    if (verb == "BEGIN") {
      std::unique_lock lock{mutex_};
      const bool is_plain = rest != "READ";
      if (is_plain && !is_primary(at)) {
        lock.unlock();
        return fail("READONLY");
      }
      of.is_plain = is_plain;
      of.term = term_;
      of.state = 'T';
      of.writes.clear();
      lock.unlock();
      return plain();
    }
    if (verb == "ROLLBACK") {
      of.state = 'I';
      of.writes.clear();
      return plain();
    }
    if (verb == "COMMIT") {
      if (of.state != 'T') {
        of.state = 'I';
        return fail("MALFORMED");
      }
      if (!work(at, times_.work)) return "ERROR BUSY\r\n" + ready(at, of);
      std::unique_lock lock{mutex_};
      of.state = 'I';
      if (!of.writes.empty()) {
        if (!is_primary(at) || of.term != term_) {
          lock.unlock();
          return fail("READONLY");
        }
        log_.push_back({clock_type::now(), of.writes});
        apply(log_.size(), of.writes);
        ++counts.commits;
      }
      of.writes.clear();
      lock.unlock();
      return signature() + ready(at, of);
    }
    bool is_write = verb == "WRITE";
    if (verb == "EXECUTE") {
      const auto it = of.prepared.find(std::string{take()});
      if (it == of.prepared.end()) return fail("UNDEFINED");
      is_write = it->second.first;
    } else if (verb != "READ" && verb != "WRITE") {
      return fail("MALFORMED");
    }
    const auto item = std::string{take()};
    if (!work(at, times_.work)) return "ERROR BUSY\r\n" + ready(at, of);
    std::unique_lock lock{mutex_};
    if (of.state == 'T' && of.is_plain && (!is_primary(at) || of.term != term_)) {
      lock.unlock();
      return fail("READONLY");
    }
    if (!is_write) {
      ++counts.reads;
      const auto own = of.writes.find(item);
      const auto value = own != of.writes.end() ? own->second : read(item, applied(at));
      lock.unlock();
      return "ROW " + value + "\r\n" + signature() + ready(at, of);
    }
    if (!is_primary(at)) {
      lock.unlock();
      return fail("READONLY");
    }
    ++counts.writes;
    if (of.state == 'T') {
      of.writes[item] = std::string{rest};
    } else {
      log_.push_back({clock_type::now(), {{item, std::string{rest}}}});
      apply(log_.size(), log_.back().writes);
      ++counts.commits;
    }
    lock.unlock();
    return signature() + ready(at, of);
  }

  void apply(std::uint64_t number, const std::map<std::string, std::string>& writes) {
    for (const auto& [item, value] : writes) items_[item].emplace_back(number, value);
  }
  std::string read(const std::string& item, std::uint64_t until) {
    const auto it = items_.find(item);
    if (it == items_.end()) return "none";
    for (auto each = it->second.rbegin(); each != it->second.rend(); ++each) {
      if (each->first <= until) return each->second;
    }
    return "none";
  }

  std::string name_;
  work_times times_;
  unsigned slots_;
  unsigned limit_;
  std::mutex mutex_;
  std::size_t primary_ = 0;
  std::uint64_t term_ = 3;
  std::uint64_t sequence_ = 0;
  std::uint64_t born_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
  std::vector<std::unique_ptr<backend>> backends_;
  std::vector<commit> log_;
  std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> items_;
};

// ---- a client ----

class client {
 public:
  explicit client(int port) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto to = loopback(port);
    timeval limit{10, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    is_open_ = ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
    no_delay(fd_);
  }
  client(client&& other) noexcept : fd_(std::exchange(other.fd_, -1)), is_open_(other.is_open_), input_(std::move(other.input_)), from_(other.from_) {}
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  ~client() {
    if (fd_ >= 0) ::close(fd_);
  }
  bool is_open() const { return is_open_; }
  bool send(std::string_view bytes) { return is_open_ = is_open_ && write_all(fd_, bytes); }
  void limit_wait(std::chrono::milliseconds time) {
    timeval limit{time.count() / 1000, (time.count() % 1000) * 1000};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  /// Reads until the line that ends an answer. @return the answer's lines joined by '|', empty if there is none.
  std::string read_answer() {
    std::string joined;
    while (is_open_) {
      const auto end = input_.find("\r\n", from_);
      if (end == std::string::npos) {
        input_.erase(0, from_);
        from_ = 0;
        char buffer[16384];
        const auto n = ::recv(fd_, buffer, sizeof buffer, 0);
        if (n <= 0) {
          is_open_ = false;
          return joined;
        }
        input_.append(buffer, static_cast<std::size_t>(n));
        continue;
      }
      const auto line = input_.substr(from_, end - from_);
      from_ = end + 2;
      joined += (joined.empty() ? "" : "|") + line;
      if (line.rfind("READY", 0) == 0) return joined;
    }
    return joined;
  }
  std::string ask(const std::string& line) {
    if (!send(line + "\r\n")) return "";
    return read_answer();
  }
  bool start(const std::string& database, const std::string& key) {
    return ask("START " + database + " " + key).rfind("READY", 0) == 0;
  }

 private:
  int fd_ = -1;
  bool is_open_ = false;
  std::string input_;
  std::size_t from_ = 0;
};

inline std::string next_id() {
  static std::atomic<std::uint64_t> next{1};
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
  return text;
}

// ---- the proxies ----

struct proxy {
  std::string name;
  int memory_mb = 0;
  int callers = 0;
  int ready = 0;
  pid_t pid = -1;
  long most_kb = 0;

  long resident_kb() const {
    std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
    }
    return 0;
  }
  bool has_ended() const {
    int status = 0;
    return ::waitpid(pid, &status, WNOHANG) == pid;
  }
};

inline int free_port() {
  const auto made = listen_anywhere();
  ::close(made.fd);
  return made.port;
}

/// Starts the program of the deploy file with settings as its template renders them.
inline proxy start_proxy(const std::string& root, const std::string& folder, const std::string& name,
                         const std::string& zone, double core_share, int memory_mb, int descriptors, int store) {
  proxy made;
  made.name = name;
  made.memory_mb = memory_mb;
  made.callers = free_port();
  made.ready = free_port();
  const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  json settings{{"vm", name},
                {"data_centre", zone},
                {"caller_listen", address(made.callers)},
                {"readiness_listen", address(made.ready)},
                {"peer_listen", address(free_port())},
                {"metrics_listen", address(free_port())},
                {"store", address(store)},
                {"promotions", address(store)},
                {"is_first_start", true},
                {"drain_seconds", 6},
                {"rate_window_seconds", 5},
                {"rate_overage", 0.1},
                {"rate_slack", 20},
                {"configuration_bound_ms", 3000},
                {"target_drain_ms", 7000},
                {"target_report_interval_ms", 1200},
                {"capacity",
                 {{"core_share", core_share},
                  {"cores", 1},
                  {"memory_mb", memory_mb},
                  {"descriptors", descriptors},
                  {"link_mbps", 1000.0}}},
                {"crossing", {{"cost_ms", 20}, {"delay_ms", 5}}},
                {"log_level", "info"},
                {"log_lines_per_second", 100}};
  const auto path = folder + "/" + name + ".jsonc";
  std::ofstream{path} << settings.dump();
  const auto log = folder + "/" + name + ".log";
  made.pid = ::fork();
  must(made.pid >= 0, "fork");
  if (made.pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (std::freopen(log.c_str(), "w", stdout) == nullptr) ::_exit(127);
    if (std::freopen(log.c_str(), "a", stderr) == nullptr) ::_exit(127);
    if (::chdir(root.c_str()) != 0) ::_exit(127);
    ::execl("target/bin/bulrushliftd", "target/bin/bulrushliftd", "--entry", "--settings", path.c_str(), nullptr);
    ::_exit(127);
  }
  return made;
}

inline bool is_ready(int port) {
  client probe{port};
  if (!probe.send("GET /-/readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")) return false;
  return probe.read_answer().rfind("HTTP/1.1 200", 0) == 0;
}

}  // namespace world
