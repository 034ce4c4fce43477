#pragma once

// Stand-ins for the cases of this review: the platform's store, its promotion call, the back ends of
// one database group and clients, all in one process on loopback addresses, and the proxies as child
// processes. They do what PROTOCOL.md says; a case decides what is late or lost.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;

inline clock_type::time_point started = clock_type::now();
/// @return milliseconds since the start of the case.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(clock_type::now() - started).count();
}
inline std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}
inline void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// The record of what was sent, answered and run.
class recorder {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock{mutex_};
    if (file_ == nullptr) return;
    std::fprintf(file_, "%10.1f ms  ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline recorder record;

// ---- sockets ----

inline int listen_on_loopback(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  ::listen(fd, 512);
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
/// @return a free port below those that the system gives to outgoing connections.
inline int free_port() {
  constexpr int first = 12'000;
  constexpr int count = 18'000;
  static int next = static_cast<int>(::getpid()) * 61 % count;
  while (true) {
    int port = first + next;
    next = (next + 1) % count;
    const int fd = listen_on_loopback(port);
    if (fd < 0) continue;
    ::close(fd);
    return port;
  }
}
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}
inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads lines and counted bytes from a socket.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}
  std::optional<std::string> line() {
    while (true) {
      const auto end = buffer_.find("\r\n");
      if (end != std::string::npos) {
        auto text = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return text;
      }
      if (!fill()) return std::nullopt;
    }
  }
  std::optional<std::string> bytes(std::size_t count) {
    while (buffer_.size() < count) {
      if (!fill()) return std::nullopt;
    }
    auto text = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return text;
  }

 private:
  bool fill() {
    char block[16384];
    const auto n = ::recv(fd_, block, sizeof block, 0);
    if (n <= 0) return false;
    buffer_.append(block, static_cast<std::size_t>(n));
    return true;
  }
  int fd_;
  std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class server {
 public:
  using handler = std::function<void(int)>;
  int port = 0;

  void start(handler serve) {
    fd_ = listen_on_loopback(port);
    std::thread([this, serve = std::move(serve)] {
      while (true) {
        const int peer = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) return;
        const int one = 1;
        ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
          std::lock_guard lock{mutex_};
          open_.insert(peer);
        }
        std::thread([this, peer, serve] {
          serve(peer);
          std::lock_guard lock{mutex_};
          open_.erase(peer);
          ::close(peer);
        }).detach();
      }
    }).detach();
  }
  /// Refuses new connections and resets the open ones, as if the process had died.
  void stop() {
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    std::lock_guard lock{mutex_};
    for (const int each : open_) ::shutdown(each, SHUT_RDWR);
  }

 private:
  int fd_ = -1;
  std::mutex mutex_;
  std::set<int> open_;
};

// ---- HTTP ----

struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

inline std::string percent_decode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline std::optional<http_request> read_request(reader& in) {
  const auto start = in.line();
  if (!start) return std::nullopt;
  http_request request;
  std::istringstream words{*start};
  std::string target;
  words >> request.method >> target;
  const auto mark = target.find('?');
  request.path = percent_decode(target.substr(0, mark));
  if (mark != std::string::npos) {
    std::istringstream pairs{target.substr(mark + 1)};
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      const auto equals = pair.find('=');
      request.query[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : percent_decode(pair.substr(equals + 1));
    }
  }
  while (true) {
    const auto header = in.line();
    if (!header) return std::nullopt;
    if (header->empty()) break;
    const auto colon = header->find(':');
    auto name = header->substr(0, colon);
    for (auto& c : name) c = static_cast<char>(std::tolower(c));
    auto value = header->substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    request.headers[name] = value;
  }
  const auto length = request.headers.find("content-length");
  if (length != request.headers.end()) {
    auto body = in.bytes(std::stoul(length->second));
    if (!body) return std::nullopt;
    request.body = std::move(*body);
  }
  return request;
}

inline std::string response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the platform's store ----

class store {
 public:
  int port() const { return server_.port; }

  void start() {
    server_.start([this](int fd) { serve(fd); });
  }

  /// Writes as the operator or a back end does. @return the revision.
  std::uint64_t put(const std::string& kind, const std::string& name, const json& spec) {
    std::lock_guard lock{mutex_};
    auto& object = kinds_[kind][name];
    const bool is_new = object.revision == 0;
    if (!is_new && object.spec == spec) return object.revision;
    object.spec = spec;
    object.revision = ++revision_;
    if (is_new) object.created = object.revision;
    note(kind, name, object, false);
    return object.revision;
  }
  void remove(const std::string& kind, const std::string& name) {
    std::lock_guard lock{mutex_};
    erase(kind, name);
  }

 private:
  struct object {
    json spec;
    json status = nullptr;
    json finalizers = json::array();
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct event {
    std::uint64_t revision;
    std::string kind;
    std::string text;
  };

  static json to_json(const std::string& name, const object& each) {
    return {{"meta",
             {{"name", name},
              {"revision", each.revision},
              {"created", each.created},
              {"finalizers", each.finalizers},
              {"pendingDeletion", false}}},
            {"spec", each.spec},
            {"status", each.status}};
  }
  void note(const std::string& kind, const std::string& name, const object& each, bool is_removed) {
    events_.push_back({revision_, kind, json{{"object", to_json(name, each)}, {"removed", is_removed}}.dump()});
    changed_.notify_all();
  }
  bool erase(const std::string& kind, const std::string& name) {
    auto& objects = kinds_[kind];
    const auto it = objects.find(name);
    if (it == objects.end()) return false;
    auto gone = it->second;
    objects.erase(it);
    gone.revision = ++revision_;
    note(kind, name, gone, true);
    return true;
  }

  void serve(int fd) {
    reader in{fd};
    while (const auto request = read_request(in)) {
      if (!send_all(fd, answer(*request))) return;
    }
  }

  std::string answer(const http_request& request) {
    const std::string prefix = "/-/objects/";
    if (request.path.rfind(prefix, 0) != 0) return response(404, "{}");
    auto kind = request.path.substr(prefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind = kind.substr(0, slash);
    }
    sleep_ms(4);
    std::unique_lock lock{mutex_};
    if (request.method == "GET" && request.query.contains("watch")) return watch(lock, kind, request);
    if (request.method == "GET") return get(kind, name, request);
    return write(kind, name, request);
  }

  std::string watch(std::unique_lock<std::mutex>& lock, const std::string& kind, const http_request& request) {
    const auto from = std::stoull(request.query.at("watch"));
    if (from > revision_) return response(410, "{}");
    const auto wait = request.query.contains("waitMs") ? std::stoul(request.query.at("waitMs")) : 0;
    const auto end = clock_type::now() + std::chrono::milliseconds{wait};
    while (true) {
      std::string list;
      for (const auto& each : events_) {
        if (each.revision <= from || each.kind != kind) continue;
        list += (list.empty() ? "" : ",") + each.text;
      }
      if (!list.empty() || clock_type::now() >= end) {
        return response(200, "{\"events\":[" + list + "],\"at\":" + std::to_string(revision_) + "}");
      }
      changed_.wait_until(lock, end);
    }
  }

  std::string get(const std::string& kind, const std::string& name, const http_request& request) {
    auto& objects = kinds_[kind];
    if (!name.empty()) {
      const auto it = objects.find(name);
      return it == objects.end() ? response(404, "{}") : response(200, to_json(name, it->second).dump());
    }
    json items = json::array();
    const auto after = request.query.contains("after") ? request.query.at("after") : std::string{};
    for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
      items.push_back(to_json(it->first, it->second));
    }
    return response(200, json{{"items", items}, {"more", false}, {"at", revision_}}.dump());
  }

  std::string write(const std::string& kind, std::string name, const http_request& request) {
    if (request.method == "DELETE") return response(erase(kind, name) ? 200 : 404, "{}");
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) return response(400, "{}");
    auto& objects = kinds_[kind];
    const auto meta = body.value("meta", json::object());
    if (request.method == "POST") name = meta.value("name", "");
    const auto it = objects.find(name);
    if (request.method == "POST" && it != objects.end()) {
      return response(409, to_json(name, it->second).dump());
    }
    if (request.method == "PUT" && it == objects.end()) return response(404, "{}");
    if (it != objects.end() && meta.contains("revision") &&
        meta["revision"].get<std::uint64_t>() != it->second.revision) {
      return response(409, to_json(name, it->second).dump());
    }
    auto& each = objects[name];
    const auto spec = body.value("spec", json{});
    const auto finalizers = meta.value("finalizers", json::array());
    const bool is_new = each.revision == 0;
    // "A PUT that changes nothing does not increase the revision and produces no event."
    if (is_new || each.spec != spec || each.finalizers != finalizers) {
      each.spec = spec;
      each.finalizers = finalizers;
      each.revision = ++revision_;
      if (is_new) each.created = revision_;
      note(kind, name, each, false);
    }
    record.line("store  %s %s/%s %s -> revision %llu", request.method.c_str(), kind.c_str(), name.c_str(),
                spec.dump().c_str(), static_cast<unsigned long long>(each.revision));
    return response(is_new ? 201 : 200, to_json(name, each).dump());
  }

  server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::deque<event> events_;
};

// ---- one database group ----

struct position {
  std::uint64_t term = 1;
  std::uint64_t number = 0;
  auto operator<=>(const position&) const = default;
  std::string str() const { return std::to_string(term) + "." + std::to_string(number); }
};

struct commit_entry {
  position at;
  std::string id;  ///< Of the statement or of the COMMIT.
};

class group {
 public:
  struct member {
    std::string id;
    std::string zone;
    server front;
    std::vector<commit_entry> log;
    std::uint64_t term = 1;
    std::uint64_t held_term = 0;  ///< Of the newest PAUSE.
    bool is_primary = false;
    bool is_paused = false;
    bool is_draining = false;
    bool is_alive = true;
    std::atomic<bool> is_dark = false;  ///< Crashed: it answers nothing, and connections to it hang.
    int start_count = 0;
    double draining_acked_ms = -1;
    std::uint64_t born = unix_ms();
    std::uint64_t sequence = 0;
    int connections = 0;
    position received() const { return log.empty() ? position{} : log.back().at; }
  };
  /// What happens to an order (PAUSE, RESUME): nothing is answered, and it is carried out so much later.
  using late_order = std::function<std::optional<double>(const std::string& target, const std::string& text)>;
  struct run_entry {
    double at_ms;
    std::string target;
    std::string customer;
    std::string id;
    std::string text;
  };

  group(store& platform, std::string service, int sync, double work_ms)
      : platform_(platform), service_(std::move(service)), sync_(sync), work_ms_(work_ms) {}

  void add(const std::string& id, const std::string& zone, bool is_primary) {
    auto each = std::make_shared<member>();
    each->id = id;
    each->zone = zone;
    each->is_primary = is_primary;
    each->front.start([this, each](int fd) { serve(*each, fd); });
    std::lock_guard lock{mutex_};
    members_.push_back(each);
  }
  void start() {
    for (const auto& each : members()) announce(*each);
    std::thread([this] {
      while (true) {
        sleep_ms(1200);
        for (const auto& each : members()) {
          if (each->is_alive && !each->is_dark) announce(*each);
        }
      }
    }).detach();
  }
  /// A member crashes and is silent for a while. It comes back with its log, as a replica if another one was
  /// promoted meanwhile. Its entry goes after three report intervals.
  void crash(const std::shared_ptr<member>& each, double dark_ms) {
    {
      std::lock_guard lock{mutex_};
      each->is_dark = true;
      ++each->start_count;
      record.line("back end %s (%s, log up to %s) crashes and is dark for %.0f ms", each->id.c_str(),
                  each->is_primary ? "primary" : "replica", each->received().str().c_str(), dark_ms);
    }
    std::thread([this, each] {
      sleep_ms(3600);
      if (each->is_dark) platform_.remove("servers", each->id);
    }).detach();
    std::thread([this, each, dark_ms] {
      sleep_ms(dark_ms);
      {
        std::lock_guard lock{mutex_};
        each->is_dark = false;
        each->born = unix_ms();
        each->sequence = 0;
        for (const auto& other : members_) {
          // A primary that it reaches brings its log up to date, or rolls it back.
          if (other->is_primary && other->is_alive && !other->is_dark) each->log = other->log;
        }
        record.line("back end %s is back as %s with its log up to %s", each->id.c_str(),
                    each->is_primary ? "primary" : "replica", each->received().str().c_str());
      }
      announce(*each);
    }).detach();
  }
  /// Called for each read of a client, with the log on which it runs.
  std::function<void(const std::string& id, const member& each)> on_read;

  /// Replaces a member: the new one starts first, with the log of the old one, then the old one drains. It
  /// goes on serving for `serving_ms` and then ends.
  void replace(const std::shared_ptr<member>& old, const std::string& new_id, double serving_ms) {
    add(new_id, old->zone, false);
    {
      std::lock_guard lock{mutex_};
      const auto added = find(new_id);
      added->log = old->log;
      added->term = old->term;
    }
    announce(*find(new_id));
    sleep_ms(300);
    drain(*old);
    std::thread([this, old, serving_ms] {
      sleep_ms(serving_ms);
      {
        std::lock_guard lock{mutex_};
        old->is_alive = false;
      }
      old->front.stop();
      platform_.remove("servers", old->id);
      record.line("back end %s has ended", old->id.c_str());
    }).detach();
  }
  void set_late_orders(late_order decide) { late_order_ = std::move(decide); }
  /// Called for each statement of a client that a member runs.
  std::function<void(const run_entry&)> on_run;
  /// Whether each acknowledged commit is recorded.
  bool is_recording_commits = true;

  /// The caller holds the lock, or adds no member meanwhile.
  std::shared_ptr<member> find(const std::string& id) {
    for (const auto& each : members_) {
      if (each->id == id) return each;
    }
    return nullptr;
  }
  std::shared_ptr<member> primary() {
    std::lock_guard lock{mutex_};
    for (const auto& each : members_) {
      if (each->is_primary && each->is_alive && !each->is_dark) return each;
    }
    return nullptr;
  }
  void drain(member& each) {
    {
      std::lock_guard lock{mutex_};
      each.is_draining = true;
    }
    announce(each);
    each.draining_acked_ms = now_ms();
    record.line("back end %s (%s) reports draining; the store has accepted it", each.id.c_str(),
                each.is_primary ? "primary" : "replica");
  }
  /// The named member leads the next term with what it had received, and nothing more.
  /// @return false if it is not running.
  bool promote(const std::string& id) {
    std::lock_guard lock{mutex_};
    const auto chosen = find(id);
    if (!chosen || !chosen->is_alive || chosen->is_dark) return false;
    if (chosen->is_primary) return true;
    std::uint64_t term = 0;
    for (const auto& each : members_) term = std::max({term, each->term, each->held_term});
    for (const auto& each : members_) {
      each->is_primary = each == chosen;
      each->term = term + 1;
      if (each->is_dark) continue;
      each->is_paused = false;
      // Those that were ahead are rolled back, the others catch up.
      if (each->is_alive) each->log = chosen->log;
    }
    chosen->term = term + 1;
    record.line("back end %s leads term %llu with its log up to %s", id.c_str(),
                static_cast<unsigned long long>(chosen->term), chosen->received().str().c_str());
    for (const auto& each : members_) {
      if (each->is_alive && !each->is_dark) announce_locked(*each);
    }
    return true;
  }
  bool has_commit(member& each, const std::string& id) {
    std::lock_guard lock{mutex_};
    for (const auto& entry : each.log) {
      if (entry.id == id) return true;
    }
    return false;
  }
  std::vector<std::shared_ptr<member>> members() {
    std::lock_guard lock{mutex_};
    return members_;
  }

 private:
  struct session {
    bool is_open = false;
    bool is_plain = false;
    bool has_failed = false;
    std::uint64_t term = 0;  ///< Of the primary at the begin.
    std::vector<std::string> writes;
    std::string customer;
    void end() {
      is_open = is_plain = has_failed = false;
      writes.clear();
    }
  };

  void announce(member& each) {
    std::lock_guard lock{mutex_};
    announce_locked(each);
  }
  void announce_locked(member& each) {
    platform_.put("servers", each.id,
                  {{"service", service_},
                   {"address", "127.0.0.1:" + std::to_string(each.front.port)},
                   {"zone", each.zone},
                   {"version", "v1"},
                   {"slots", 2},
                   {"state", each.is_draining ? "draining" : "ready"},
                   {"coldRemainingMs", 0},
                   {"born", each.born},
                   {"sequence", ++each.sequence},
                   {"databaseRole", each.is_primary ? "primary" : "replica"}});
  }

  static std::string ready(const session& s, const position& at) {
    return std::string{"READY "} + (s.has_failed ? "E" : s.is_open ? "T" : "I") + " " + at.str() + "\r\n";
  }
  std::string refuse(member& each, session& s, const std::string& code) {
    if (s.is_open) s.has_failed = true;
    return "ERROR " + code + " " + each.id + "\r\n" + ready(s, each.received());
  }
  std::string complete(member& each, session& s, const std::string& id, const std::string& row) {
    std::string lines;
    if (!row.empty()) lines += "ROW " + row + "\r\n";
    const bool is_own = id == "-";
    lines += "COMPLETE " + (is_own ? std::string{"-"} : each.id + ".sig." + id) + "\r\n";
    return lines + ready(s, each.received());
  }

  void serve(member& each, int fd) {
    reader in{fd};
    const int start_count = each.start_count;
    // A crashed process answers nothing, and its connections are gone when it is back.
    const auto has_crashed = [&each, start_count] {
      while (each.is_dark) sleep_ms(5);
      return each.start_count != start_count;
    };
    const auto first = in.line();
    if (!first || has_crashed()) return;
    std::istringstream words{*first};
    std::string start;
    std::string service;
    session s;
    std::string expected;
    words >> start >> service >> s.customer >> expected;
    if (start != "START" || service != service_ || (!expected.empty() && expected != each.id)) {
      send_all(fd, "ERROR MISROUTED " + each.id + "\r\n");
      return;
    }
    sleep_ms(2);
    {
      std::lock_guard lock{mutex_};
      if (!send_all(fd, ready(s, each.received()))) return;
    }
    while (const auto line = in.line()) {
      if (!each.is_alive || has_crashed()) return;
      const auto answer = handle(each, s, *line);
      if (!answer) continue;  // No answer, as the case decided.
      if (has_crashed() || !send_all(fd, *answer)) return;
    }
  }

  static std::string take(std::string& rest) {
    const auto end = rest.find(' ');
    auto word = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    return word;
  }

  std::optional<std::string> handle(member& each, session& s, const std::string& line) {
    auto rest = line;
    take(rest);  // QUERY
    const auto id = take(rest);
    auto text = rest;
    auto verb = take(rest);
    std::optional<position> after;
    if (verb == "AFTER") {
      const auto point = take(rest);
      const auto dot = point.find('.');
      after = position{std::stoull(point.substr(0, dot)), std::stoull(point.substr(dot + 1))};
      text = rest;
      verb = take(rest);
    }
    if (verb == "PAUSE" || verb == "RESUME") return order(each, s, text);
    if (id != "-") {
      if (work_ms_ > 0) sleep_ms(work_ms_);
      if (on_run) on_run({now_ms(), each.id, s.customer, id, text});
    }
    std::unique_lock lock{mutex_};
    if (verb == "STATUS") return status(each, s);
    if (verb == "RESET" || verb == "SET" || verb == "PREPARE" || verb == "DEALLOCATE") {
      return complete(each, s, "-", "");
    }
    if (verb == "ROLLBACK") {
      s.end();
      return complete(each, s, "-", "");
    }
    if (s.has_failed) return "ERROR MALFORMED failed\r\n" + ready(s, each.received());
    if (verb == "BEGIN") {
      const bool is_plain = rest != "READ";
      if (is_plain && !each.is_primary) return refuse(each, s, "READONLY");
      if (after && each.received() < *after) return refuse(each, s, "LAGGING");
      s.is_open = true;
      s.is_plain = is_plain;
      s.term = each.term;
      return complete(each, s, "-", "");
    }
    const bool has_lost_lead = s.is_open && s.is_plain && (!each.is_primary || each.term != s.term);
    if (verb == "COMMIT") {
      if (s.writes.empty()) {
        s.end();
        return complete(each, s, id, "");
      }
      if (has_lost_lead) return refuse(each, s, "READONLY");
      s.end();
      return commit(lock, each, s, id);
    }
    if (has_lost_lead) return refuse(each, s, "READONLY");
    if (verb == "READ") {
      if (after && each.received() < *after) return refuse(each, s, "LAGGING");
      if (on_read) on_read(id, each);
      return complete(each, s, id, "row");
    }
    if (verb == "WRITE") {
      if (!each.is_primary) return refuse(each, s, "READONLY");
      if (s.is_open) {
        s.writes.push_back(id);
        return complete(each, s, id, "");
      }
      return commit(lock, each, s, id);
    }
    return refuse(each, s, "UNDEFINED");
  }

  /// Commits at the primary. With synchronous replication it is acknowledged once a replica has it.
  std::string commit(std::unique_lock<std::mutex>& lock, member& each, session& s, const std::string& id) {
    const auto term = each.term;
    each.log.push_back({{each.term, each.received().number + 1}, id});
    const auto at = each.received();
    replicate(each);
    while (sync_ > 0 && each.term == term && received_by(each, at) < sync_) {
      lock.unlock();
      sleep_ms(2);
      lock.lock();
      if (each.term != term) break;
      replicate(each);
    }
    if (each.term != term) {
      // The lead was lost before the commit could be acknowledged: nothing is said about it.
      return "ERROR TIMEOUT " + each.id + "\r\n" + ready(s, each.received());
    }
    if (!is_recording_commits) return complete(each, s, id, "");
    std::string has;
    for (const auto& other : members_) {
      if (other.get() != &each && other->received() >= at) has += " " + other->id;
    }
    record.line("back end %s acknowledges commit %s of %s; received by%s", each.id.c_str(), at.str().c_str(),
                id.c_str(), has.empty() ? " none" : has.c_str());
    return complete(each, s, id, "");
  }
  void replicate(member& from) {
    for (const auto& each : members_) {
      if (each.get() == &from || !each->is_alive || each->is_dark || each->is_paused) continue;
      each->log = from.log;
    }
  }
  int received_by(const member& from, const position& at) const {
    int count = 0;
    for (const auto& each : members_) {
      if (each.get() != &from && each->is_alive && !each->is_dark && each->received() >= at) ++count;
    }
    return count;
  }
  std::string status(member& each, session& s) {
    const auto row = std::string{each.is_primary ? "primary " : "replica "} + std::to_string(each.term) + " " +
                     each.received().str() + " " + std::to_string(each.held_term) + " 0 0 1";
    return complete(each, s, "-", row);
  }
  void carry_out(member& each, const std::string& text) {
    std::lock_guard lock{mutex_};
    if (text.rfind("PAUSE", 0) == 0) {
      const auto term = std::stoull(text.substr(6));
      if (term <= std::max(each.term, each.held_term) && !(term == each.held_term)) return;
      each.held_term = term;
      if (!each.is_primary) each.is_paused = true;
    } else {
      each.is_paused = false;
    }
    record.line("back end %s carries out %s", each.id.c_str(), text.c_str());
  }
  std::optional<std::string> order(member& each, session& s, const std::string& text) {
    const auto late = late_order_ ? late_order_(each.id, text) : std::nullopt;
    if (late) {
      record.line("back end %s leaves \"%s\" unanswered and will carry it out %.0f ms later", each.id.c_str(),
                  text.c_str(), *late);
      std::thread([this, &each, text, late] {
        sleep_ms(*late);
        carry_out(each, text);
      }).detach();
      return std::nullopt;
    }
    carry_out(each, text);
    std::lock_guard lock{mutex_};
    return status(each, s);
  }

  store& platform_;
  std::string service_;
  int sync_;
  double work_ms_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<member>> members_;
  late_order late_order_;
};

// ---- promotion calls ----

/// The platform's `POST /promotion`, which checks fences when a call is carried out.
class cloud {
 public:
  struct call {
    double at_ms;
    std::string holder;
    std::string identifier;
    std::uint64_t token;
    int status;  ///< 0 if it was left unanswered.
  };
  /// @return how much later the call is carried out, without an answer; nothing if it is answered.
  using late_call = std::function<std::optional<double>(const call&)>;

  cloud(group& database, double promote_ms) : database_(database), promote_ms_(promote_ms) {}
  int port() const { return server_.port; }
  void set_late_calls(late_call decide) { late_call_ = std::move(decide); }
  /// The platform is slow: it carries each call out, and answers it, this much later.
  void set_delay(std::function<double()> delay_ms) { delay_ms_ = std::move(delay_ms); }
  void start() {
    server_.start([this](int fd) {
      reader in{fd};
      while (const auto request = read_request(in)) {
        const auto status = take(*request);
        if (status == 0) {
          // Nothing further comes on a connection on which an answer is lost.
          while (in.line()) {
          }
          return;
        }
        if (!send_all(fd, response(status, "{}"))) return;
      }
    });
  }
  std::vector<call> calls() {
    std::lock_guard lock{mutex_};
    return calls_;
  }

 private:
  int take(const http_request& request) {
    if (request.method != "POST" || request.path != "/promotion") return 404;
    const auto body = json::parse(request.body, nullptr, false);
    call each{now_ms(), request.headers.at("x-duty-holder"), body.at("identifier").get<std::string>(),
              std::stoull(request.headers.at("x-fencing-token")), 0};
    if (const double delay = delay_ms_ ? delay_ms_() : 0; delay > 0) {
      record.line("cloud  promotion of %s by %s with token %llu: the platform is slow, it takes %.0f ms",
                  each.identifier.c_str(), each.holder.c_str(), static_cast<unsigned long long>(each.token), delay);
      sleep_ms(delay);
    }
    std::optional<double> late;
    if (late_call_) late = late_call_(each);
    if (late) {
      record.line("cloud  promotion of %s by %s with token %llu: no answer, carried out %.0f ms later",
                  each.identifier.c_str(), each.holder.c_str(), static_cast<unsigned long long>(each.token),
                  *late);
      note(each);
      std::thread([this, each, late] {
        sleep_ms(*late);
        const auto status = carry_out(each);
        record.line("cloud  the late promotion of %s by %s with token %llu is carried out: %d",
                    each.identifier.c_str(), each.holder.c_str(),
                    static_cast<unsigned long long>(each.token), status);
      }).detach();
      return 0;
    }
    each.status = carry_out(each);
    record.line("cloud  promotion of %s by %s with token %llu: %d", each.identifier.c_str(),
                each.holder.c_str(), static_cast<unsigned long long>(each.token), each.status);
    note(each);
    return each.status;
  }
  void note(const call& each) {
    std::lock_guard lock{mutex_};
    calls_.push_back(each);
  }
  int carry_out(const call& each) {
    {
      std::lock_guard lock{mutex_};
      if (each.token < newest_token_) return 409;
      newest_token_ = each.token;
    }
    const auto target = database_.find(each.identifier);
    if (!target || !target->is_alive || target->is_dark) return 409;
    std::thread([this, each] {
      sleep_ms(promote_ms_);
      database_.promote(each.identifier);
    }).detach();
    return 200;
  }

  group& database_;
  double promote_ms_;
  server server_;
  late_call late_call_;
  std::function<double()> delay_ms_;
  std::mutex mutex_;
  std::uint64_t newest_token_ = 0;
  std::vector<call> calls_;
};

// ---- proxies ----

struct proxy_options {
  std::string name;
  std::string zone;
  double memory_mb = 390;
  double cpu_share = 0.38;
};

/// One proxy, started with the command of the deploy file.
class proxy {
 public:
  int caller_port = free_port();
  int ready_port = free_port();

  proxy(proxy_options options, int store_port, int cloud_port, std::string folder)
      : options_(std::move(options)), folder_(std::move(folder)) {
    const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const json settings{{"vm", options_.name},
                        {"data_centre", options_.zone},
                        {"caller_listen", local(caller_port)},
                        {"readiness_listen", local(ready_port)},
                        {"peer_listen", local(free_port())},
                        {"metrics_listen", local(free_port())},
                        {"store", local(store_port)},
                        {"promotions", local(cloud_port)},
                        {"drain_seconds", 6},
                        {"rate_window_seconds", 5},
                        {"rate_overage", 0.1},
                        {"rate_slack", 20},
                        {"configuration_bound_ms", 3000},
                        {"target_report_interval_ms", 1200},
                        {"capacity",
                         {{"core_share", options_.cpu_share},
                          {"cores", 1},
                          {"memory_mb", options_.memory_mb},
                          {"descriptors", 6300},
                          {"link_mbps", 1500.0}}},
                        {"crossing", {{"cost_ms", 20}, {"delay_ms", 5}}},
                        {"log_level", "info"},
                        {"log_lines_per_second", 100}};
    std::FILE* file = std::fopen(path("json").c_str(), "w");
    std::fputs(settings.dump(2).c_str(), file);
    std::fclose(file);
  }
  void start() {
    const auto settings = path("json");
    const auto log = path("log");
    pid_ = ::fork();
    if (pid_ != 0) {
      record.line("proxy %s started", options_.name.c_str());
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::execl("target/bin/bulrushliftd", "target/bin/bulrushliftd", "--entry", "--settings", settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
    record.line("proxy %s killed", options_.name.c_str());
  }
  /// @return whether the process has ended by itself.
  bool has_ended() {
    if (pid_ <= 0) return false;
    if (::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  bool is_ready() const {
    const int fd = connect_to(ready_port);
    if (fd < 0) return false;
    send_all(fd, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    reader in{fd};
    const auto line = in.line();
    ::close(fd);
    return line && line->find(" 200") != std::string::npos;
  }
  const std::string& name() const { return options_.name; }
  double memory_mb() const { return options_.memory_mb; }
  /// @return the process's own memory in MB.
  double used_mb() const {
    std::FILE* file = std::fopen(("/proc/" + std::to_string(pid_) + "/status").c_str(), "r");
    if (file == nullptr) return 0;
    char line[256];
    long kb = 0;
    while (std::fgets(line, sizeof line, file) != nullptr) {
      if (std::sscanf(line, "RssAnon: %ld kB", &kb) == 1) break;
    }
    std::fclose(file);
    return static_cast<double>(kb) / 1024;
  }

 private:
  std::string path(const std::string& suffix) const { return folder_ + "/" + options_.name + "." + suffix; }
  proxy_options options_;
  std::string folder_;
  pid_t pid_ = -1;
};

// ---- clients ----

struct answer {
  bool is_complete = false;  ///< A whole answer came.
  std::string error;         ///< Code; empty for a success.
  std::string state;
};

/// A session of a client.
class client {
 public:
  client() = default;
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  ~client() { close(); }

  bool open(int port, const std::string& database, const std::string& key, int timeout_ms = 2000) {
    close();
    fd_ = connect_to(port);
    if (fd_ < 0) return false;
    timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    in_ = std::make_unique<reader>(fd_);
    if (!send_all(fd_, "START " + database + " " + key + "\r\n")) return close(), false;
    const auto line = in_->line();
    if (!line || line->rfind("READY", 0) != 0) return close(), false;
    return true;
  }
  answer query(const std::string& id, const std::string& text) {
    answer result;
    if (fd_ < 0 || !send_all(fd_, "QUERY " + id + " " + text + "\r\n")) return close(), result;
    while (const auto line = in_->line()) {
      if (line->rfind("ERROR ", 0) == 0) {
        const auto rest = line->substr(6);
        result.error = rest.substr(0, rest.find(' '));
      }
      if (line->rfind("READY ", 0) == 0) {
        result.state = line->substr(6, 1);
        result.is_complete = true;
        return result;
      }
    }
    close();
    return result;
  }
  bool is_open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
  std::unique_ptr<reader> in_;
};

inline std::string unique_id(const std::string& prefix) {
  static std::atomic<std::uint64_t> next{1};
  return prefix + std::to_string(next++);
}

/// Waits until the condition holds. @return whether it did in time.
inline bool wait_until(double timeout_ms, const std::function<bool()>& condition) {
  const auto end = now_ms() + timeout_ms;
  while (!condition()) {
    if (now_ms() > end) return false;
    sleep_ms(20);
  }
  return true;
}

inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string{value} != "0";
}

}  // namespace world
