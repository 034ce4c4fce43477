// Stand-ins for the review's scripts: the platform's store and promotion call, a database service with a
// primary and replicas, clients, and the proxies as child processes. They speak what PROTOCOL.md says, over
// loopback addresses and the real clock. One thread serves each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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
#include <filesystem>
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
#include <string>
#include <thread>
#include <vector>

namespace standin {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void pause_ms(int ms) { std::this_thread::sleep_for(milliseconds{ms}); }

// ---------------------------------------------------------------- record

// Writes what was sent, answered and run, with seconds since the start.
class record_file {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  double now() const { return std::chrono::duration<double>(clock::now() - start_).count(); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock{mutex_};
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f  ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_ = nullptr;
  std::mutex mutex_;
  clock::time_point start_ = clock::now();
};
inline record_file record;

// A text with its control characters written out.
inline std::string shown(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\r') out += "\\r";
    else if (c == '\n') out += "\\n";
    else out += c;
  }
  return out.size() > 160 ? out.substr(0, 160) + "..." : out;
}

inline std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  std::lock_guard lock{mutex};
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

// ---------------------------------------------------------------- sockets

inline int listen_on_free_port(int& port) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = 0;
  socklen_t size = sizeof address;
  if (::bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(handle, 256) != 0 ||
      ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  port = ntohs(address.sin_port);
  return handle;
}

// Ports that nothing uses at present, below the range from which connections take theirs.
inline std::vector<int> free_ports(int count) {
  std::vector<int> ports;
  std::mt19937 random{std::random_device{}()};
  for (int port = 20000 + static_cast<int>(random() % 8000); static_cast<int>(ports.size()) < count; ++port) {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) ports.push_back(port);
    ::close(handle);
  }
  return ports;
}

inline std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

inline bool send_all(int handle, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline void accept_loop(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    while (true) {
      const int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) return;
      int flag = 1;
      ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &flag, sizeof flag);
      std::thread([handle, serve] {
        serve(handle);
        ::close(handle);
      }).detach();
    }
  }).detach();
}

// Reads lines that end with CR LF, and only with that.
class line_input {
 public:
  explicit line_input(int handle) : handle_(handle) {}
  // @return the next line without its end; nothing if the connection ended or the time is over.
  std::optional<std::string> next(std::optional<clock::time_point> until = std::nullopt) {
    while (true) {
      const auto end = bytes_.find("\r\n");
      if (end != std::string::npos) {
        auto line = bytes_.substr(0, end);
        bytes_.erase(0, end + 2);
        return line;
      }
      if (until) {
        const auto left = std::chrono::duration_cast<milliseconds>(*until - clock::now()).count();
        pollfd each{handle_, POLLIN, 0};
        if (left <= 0 || ::poll(&each, 1, static_cast<int>(left)) <= 0) {
          is_timed_out = true;
          return std::nullopt;
        }
      }
      char buffer[65536];
      const auto n = ::recv(handle_, buffer, sizeof buffer, 0);
      if (n <= 0) return std::nullopt;
      bytes_.append(buffer, static_cast<std::size_t>(n));
    }
  }
  bool is_timed_out = false;

 private:
  int handle_;
  std::string bytes_;
};

inline std::string take_field(std::string& rest) {
  const auto end = rest.find(' ');
  auto field = rest.substr(0, end);
  rest = end == std::string::npos ? std::string{} : rest.substr(end + 1);
  return field;
}

// ---------------------------------------------------------------- the platform

struct http_call {
  std::string method, path;
  std::map<std::string, std::string> query, headers;
  std::string body;
};
struct http_answer {
  int status = 200;
  json body = json::object();
};

inline void serve_http(int handle, const std::function<http_answer(const http_call&)>& answer) {
  std::string bytes;
  char buffer[65536];
  while (true) {
    auto end = bytes.find("\r\n\r\n");
    while (end == std::string::npos) {
      const auto n = ::recv(handle, buffer, sizeof buffer, 0);
      if (n <= 0) return;
      bytes.append(buffer, static_cast<std::size_t>(n));
      end = bytes.find("\r\n\r\n");
    }
    http_call call;
    std::istringstream head{bytes.substr(0, end)};
    std::string line, target;
    std::getline(head, line);
    std::istringstream{line} >> call.method >> target;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto name = line.substr(0, colon);
      for (auto& c : name) c = static_cast<char>(std::tolower(c));
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      call.headers[name] = value;
    }
    const auto length = call.headers.count("content-length") != 0
                            ? static_cast<std::size_t>(std::stoul(call.headers["content-length"]))
                            : std::size_t{0};
    bytes.erase(0, end + 4);
    while (bytes.size() < length) {
      const auto n = ::recv(handle, buffer, sizeof buffer, 0);
      if (n <= 0) return;
      bytes.append(buffer, static_cast<std::size_t>(n));
    }
    call.body = bytes.substr(0, length);
    bytes.erase(0, length);
    const auto mark = target.find('?');
    call.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      std::istringstream items{target.substr(mark + 1)};
      std::string item;
      while (std::getline(items, item, '&')) {
        const auto equals = item.find('=');
        if (equals != std::string::npos) call.query[item.substr(0, equals)] = item.substr(equals + 1);
      }
    }
    const auto result = answer(call);
    const auto text = result.body.dump();
    std::string out = "HTTP/1.1 " + std::to_string(result.status) + " Status\r\nContent-Type: application/json\r\n";
    out += "Store-Era: 1\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    if (!send_all(handle, out)) return;
  }
}

// The platform's store: objects by kind and name, one counter of revisions, watches.
class object_store {
 public:
  object_store() {
    listener_ = listen_on_free_port(port_);
    accept_loop(listener_, [this](int handle) {
      serve_http(handle, [this](const http_call& call) { return on_call(call); });
    });
  }
  int port() const { return port_; }

  // Opens another address of the store, at which the records of the given machines name other peer addresses:
  // the near ends of links that a script can slow down.
  int open_view(const std::map<std::string, std::string>& peer_addresses) {
    int port = 0;
    accept_loop(listen_on_free_port(port), [this, peer_addresses](int handle) {
      serve_http(handle, [&](const http_call& call) {
        auto answer = on_call(call);
        const auto change = [&](json& object) {
          if (!object.is_object() || !object.contains("meta") || !object["spec"].contains("peerAddress")) return;
          const auto it = peer_addresses.find(object["meta"]["name"].get<std::string>());
          if (it != peer_addresses.end()) object["spec"]["peerAddress"] = it->second;
        };
        if (answer.body.contains("items"))
          for (auto& each : answer.body["items"]) change(each);
        if (answer.body.contains("events"))
          for (auto& each : answer.body["events"]) change(each["object"]);
        return answer;
      });
    });
    return port;
  }

  std::uint64_t put(const std::string& kind, const std::string& name, const json& spec) {
    std::lock_guard lock{mutex_};
    return store(kind, name, spec);
  }

 private:
  struct event {
    std::uint64_t revision;
    std::string kind;
    json object;
    bool is_removed;
  };

  std::uint64_t store(const std::string& kind, const std::string& name, const json& spec) {
    auto& object = objects_[kind][name];
    if (object.is_object() && object["spec"] == spec) return object["meta"]["revision"];
    const auto created = object.is_object() ? object["meta"]["created"].get<std::uint64_t>() : revision_ + 1;
    ++revision_;
    object = json{{"meta",
                   {{"name", name},
                    {"revision", revision_},
                    {"created", created},
                    {"finalizers", json::array()},
                    {"pendingDeletion", false}}},
                  {"spec", spec},
                  {"status", json::object()}};
    events_.push_back({revision_, kind, object, false});
    changed_.notify_all();
    return revision_;
  }

  http_answer on_call(const http_call& call) {
    const std::string prefix = "/-/objects/";
    if (call.path.rfind(prefix, 0) != 0) return {404};
    auto kind = call.path.substr(prefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind = kind.substr(0, slash);
    }
    std::unique_lock lock{mutex_};
    if (call.method == "GET" && name.empty() && call.query.count("watch") != 0) {
      const auto from = std::stoull(call.query.at("watch"));
      const auto wait = call.query.count("waitMs") != 0 ? std::stoi(call.query.at("waitMs")) : 0;
      const auto until = clock::now() + milliseconds{wait};
      auto found = json::array();
      const auto collect = [&] {
        for (const auto& each : events_) {
          if (each.kind == kind && each.revision > from)
            found.push_back({{"object", each.object}, {"removed", each.is_removed}});
        }
        return !found.empty();
      };
      changed_.wait_until(lock, until, collect);
      return {200, {{"events", found}, {"at", revision_}}};
    }
    if (call.method == "GET" && name.empty()) {
      auto items = json::array();
      const auto after = call.query.count("after") != 0 ? call.query.at("after") : std::string{};
      for (const auto& [each, object] : objects_[kind]) {
        if (each > after) items.push_back(object);
      }
      return {200, {{"items", items}, {"more", false}, {"at", revision_}}};
    }
    if (call.method == "GET") {
      const auto it = objects_[kind].find(name);
      return it == objects_[kind].end() ? http_answer{404} : http_answer{200, it->second};
    }
    auto body = json::parse(call.body, nullptr, false);
    if (!body.is_object()) return {400};
    if (call.method == "POST") {
      name = body["meta"]["name"];
      if (objects_[kind].count(name) != 0) return {409, objects_[kind][name]};
    } else if (call.method == "PUT") {
      const auto it = objects_[kind].find(name);
      if (it == objects_[kind].end()) return {404};
      if (body["meta"].contains("revision") && body["meta"]["revision"] != it->second["meta"]["revision"])
        return {409, it->second};
    } else {
      return {400};
    }
    store(kind, name, body["spec"]);
    return {call.method == "POST" ? 201 : 200, objects_[kind][name]};
  }

  int listener_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::deque<event> events_;
};

// ---------------------------------------------------------------- the database service

struct log_entry {
  std::uint64_t term;
  std::uint64_t number;
  std::map<std::string, std::string> writes;
  clock::time_point received;
};

// A statement as a back end ran it.
struct run_statement {
  double at;
  std::string backend;
  std::uint64_t connection;
  int peer_port;
  std::string tenant, id, text, outcome;
  std::uint64_t transaction;  // Number of the transaction on the back end; 0 outside of one.
  std::map<std::string, std::string> values;
};

class database_service {
 public:
  std::string name;
  int slots = 5;
  int connection_limit = 308;
  int handshake_ms = 27;
  int replica_lag_ms = 20;
  int promote_ms = 600;
  std::atomic<int> work_ms{8};
  // May answer a statement in place of the back end, before it runs.
  std::function<std::optional<std::string>(const std::string& backend, const std::string& id,
                                           const std::string& text)>
      interfere;

  database_service(std::string service, const std::vector<std::string>& ids, object_store& store)
      : name(std::move(service)), store_(store) {
    for (const auto& id : ids) {
      auto& each = members_[id];
      each = std::make_unique<member>();
      each->id = id;
      each->log.push_back({1, 1, {}, clock::now()});
      const int listener = listen_on_free_port(each->port);
      accept_loop(listener, [this, raw = each.get()](int handle) { serve(*raw, handle); });
    }
    primary_ = ids.front();
    born_ = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (const auto& id : ids) report(id);
    std::thread([this] { replicate_loop(); }).detach();
    std::thread([this] {
      while (true) {
        pause_ms(1000);
        std::lock_guard lock{mutex_};
        for (const auto& [id, each] : members_) report(id);
      }
    }).detach();
    accept_loop(listen_on_free_port(cloud_port_), [this](int handle) {
      serve_http(handle, [this](const http_call& call) { return on_promotion(call); });
    });
  }

  int cloud_port() const { return cloud_port_; }
  std::vector<run_statement> runs() {
    std::lock_guard lock{mutex_};
    return runs_;
  }
  // Resets every second one of the connections whose far ports are chosen.
  // @return their number.
  int reset_half(const std::function<bool(int port)>& is_chosen) {
    std::lock_guard lock{mutex_};
    int seen = 0, reset = 0;
    for (const auto& [port, handle] : handles_) {
      if (!is_chosen(port) || seen++ % 2 == 1) continue;
      const linger at_once{1, 0};
      ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      sockaddr unspecified{};
      unspecified.sa_family = AF_UNSPEC;
      ::connect(handle, &unspecified, sizeof unspecified);  // Sends a reset.
      ::shutdown(handle, SHUT_RDWR);
      ++reset;
    }
    return reset;
  }
  // @return the value of an item in the primary's log.
  std::string value(const std::string& item) {
    std::lock_guard lock{mutex_};
    return read(*members_.at(primary_), item);
  }

 private:
  struct member {
    std::string id;
    int port = 0;
    std::vector<log_entry> log;
    int busy = 0;
    int connections = 0;
    std::uint64_t held_term = 0;
    std::condition_variable slot;
  };
  struct session {
    std::uint64_t number = 0;
    int peer_port = 0;
    std::string tenant;
    char state = 'I';
    bool is_read_only = false;
    bool has_written = false;
    std::uint64_t transaction = 0;
    std::uint64_t term = 0;
    std::map<std::string, std::string> values, writes;
    std::map<std::string, std::pair<bool, std::string>> prepared;
  };

  void report(const std::string& id) {
    auto& each = *members_.at(id);
    store_.put("servers", id,
               {{"service", name},
                {"address", loopback(each.port)},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", slots},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"databaseRole", id == primary_ ? "primary" : "replica"},
                {"born", born_},
                {"sequence", ++sequence_}});
  }

  http_answer on_promotion(const http_call& call) {
    const auto body = json::parse(call.body, nullptr, false);
    if (call.path != "/promotion" || !body.is_object() || body.value("service", "") != name) return {404};
    const auto token = std::stoull(call.headers.count("x-fencing-token") != 0 ? call.headers.at("x-fencing-token") : "0");
    const auto target = body.value("identifier", "");
    std::lock_guard lock{mutex_};
    record.line("platform: promotion of %s ordered with token %llu", target.c_str(), token);
    if (token < newest_token_ || members_.count(target) == 0) return {409};
    newest_token_ = token;
    if (target == primary_) return {200};
    std::thread([this, target] {
      pause_ms(promote_ms);
      std::lock_guard inner{mutex_};
      auto& next = *members_.at(target);
      next.held_term = 0;
      primary_ = target;
      ++term_;
      for (auto& [id, each] : members_) {
        while (each->log.size() > next.log.size()) each->log.pop_back();
        report(id);
      }
      record.line("database: %s leads term %llu", target.c_str(), static_cast<unsigned long long>(term_));
    }).detach();
    return {200};
  }

  void replicate_loop() {
    while (true) {
      pause_ms(5);
      std::lock_guard lock{mutex_};
      const auto& source = members_.at(primary_)->log;
      for (auto& [id, each] : members_) {
        if (id == primary_ || each->held_term > term_) continue;
        while (each->log.size() < source.size() &&
               clock::now() - source[each->log.size()].received >= milliseconds{replica_lag_ms})
          each->log.push_back(source[each->log.size()]);
      }
    }
  }

  std::string read(const member& from, const std::string& item) const {
    for (auto it = from.log.rbegin(); it != from.log.rend(); ++it) {
      const auto found = it->writes.find(item);
      if (found != it->writes.end()) return found->second;
    }
    return "empty";
  }

  static std::string position(const member& from) {
    return std::to_string(from.log.back().term) + "." + std::to_string(from.log.back().number);
  }

  void serve(member& at, int handle) {
    session here;
    {
      std::lock_guard lock{mutex_};
      here.number = ++last_connection_;
    }
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getpeername(handle, reinterpret_cast<sockaddr*>(&address), &size) == 0) here.peer_port = ntohs(address.sin_port);
    line_input input{handle};
    auto line = input.next();
    if (!line) return;
    auto rest = *line;
    if (take_field(rest) != "START") return;
    const auto service = take_field(rest);
    here.tenant = take_field(rest);
    if (service != name || (!rest.empty() && rest != at.id)) {
      send_all(handle, "ERROR MISROUTED " + at.id + "\r\n");
      return;
    }
    pause_ms(handshake_ms);
    {
      std::lock_guard lock{mutex_};
      if (at.connections >= connection_limit) {
        send_all(handle, "ERROR TOOMANY " + at.id + "\r\n");
        return;
      }
      ++at.connections;
    }
    {
      std::lock_guard lock{mutex_};
      handles_[here.peer_port] = handle;
    }
    bool is_open = send_all(handle, ready(at, here));
    while (is_open && (line = input.next())) {
      if (*line == "CLOSE") break;
      rest = *line;
      if (take_field(rest) != "QUERY") break;
      const auto id = take_field(rest);
      const auto answer = run(at, here, id, rest);
      is_open = send_all(handle, answer + ready(at, here));
    }
    std::lock_guard lock{mutex_};
    --at.connections;
    handles_.erase(here.peer_port);
    if (here.state != 'I') record.line("%s conn %llu: closed, transaction %llu rolled back", at.id.c_str(),
                                       static_cast<unsigned long long>(here.number),
                                       static_cast<unsigned long long>(here.transaction));
  }

  std::string ready(member& at, const session& here) {
    std::lock_guard lock{mutex_};
    return std::string{"READY "} + here.state + " " + position(at) + "\r\n";
  }

  std::string run(member& at, session& here, const std::string& id, const std::string& whole) {
    auto rest = whole;
    std::unique_lock lock{mutex_};
    if (rest.rfind("AFTER ", 0) == 0) {
      take_field(rest);
      const auto wanted = take_field(rest);
      const auto dot = wanted.find('.');
      const std::pair needed{std::stoull(wanted.substr(0, dot)), std::stoull(wanted.substr(dot + 1))};
      if (std::pair<unsigned long long, unsigned long long>{at.log.back().term, at.log.back().number} < needed)
        return "ERROR LAGGING " + at.id + "\r\n";
    }
    const auto text = rest;
    if (interfere) {
      lock.unlock();
      if (auto answer = interfere(at.id, id, text)) {
        if (here.state == 'T') here.state = 'E';
        note(at, here, id, text, *answer);
        return *answer;
      }
      lock.lock();
    }
    const auto verb = take_field(rest);
    const auto fail = [&](const char* code) {
      if (here.state == 'T') here.state = 'E';
      const auto answer = std::string{"ERROR "} + code + " " + at.id + "\r\n";
      lock.unlock();
      note(at, here, id, text, answer);
      return answer;
    };
    const auto done = [&](const std::string& rows, const std::string& signature) {
      const auto answer = rows + "COMPLETE " + signature + "\r\n";
      lock.unlock();
      note(at, here, id, text, answer);
      return answer;
    };
    if (here.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") return fail("MALFORMED");
    const bool has_lost_lead =
        here.state == 'T' && !here.is_read_only && (at.id != primary_ || here.term != term_);
    if (has_lost_lead && verb != "ROLLBACK" && !(verb == "COMMIT" && !here.has_written)) {
      if (verb == "COMMIT") {
        const auto answer = fail("READONLY");
        end(here);
        return answer;
      }
      return fail("READONLY");
    }
    if (verb == "BEGIN") {
      here.is_read_only = rest == "READ";
      if (!here.is_read_only && at.id != primary_) return fail("READONLY");
      here.state = 'T';
      here.has_written = false;
      here.term = term_;
      here.transaction = ++last_transaction_;
      return done("", "-");
    }
    if (verb == "ROLLBACK") {
      const auto answer = done("", "-");
      end(here);
      return answer;
    }
    if (verb == "SET") {
      const auto key = take_field(rest);
      here.values[key] = rest;
      return done("", "-");
    }
    if (verb == "PREPARE") {
      const auto key = take_field(rest);
      const bool is_write = take_field(rest) == "WRITE";
      here.prepared[key] = {is_write, rest};
      return done("", "-");
    }
    if (verb == "DEALLOCATE") {
      here.prepared.erase(rest);
      return done("", "-");
    }
    if (verb == "RESET") {
      here.values.clear();
      here.prepared.clear();
      return done("", "-");
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE") {
      if (verb == "PAUSE") at.held_term = std::max<std::uint64_t>(at.held_term, std::stoull(rest));
      if (verb == "RESUME") at.held_term = 0;
      const auto row = std::string{"ROW "} + (at.id == primary_ ? "primary " : "replica ") + std::to_string(term_) +
                       " " + position(at) + " " + std::to_string(at.held_term) + " 0 " + std::to_string(at.busy) +
                       " " + std::to_string(at.connections) + "\r\n";
      return done(row, "-");
    }
    bool is_write = verb == "WRITE";
    if (verb == "EXECUTE") {
      const auto found = here.prepared.find(take_field(rest));
      if (found == here.prepared.end()) return fail("UNDEFINED");
      is_write = found->second.first;
    }
    if (verb != "READ" && verb != "WRITE" && verb != "EXECUTE" && verb != "COMMIT") return fail("MALFORMED");
    if (verb == "COMMIT" && here.state == 'I') return fail("MALFORMED");
    if (verb == "COMMIT" && here.state == 'E') {
      const auto answer = fail("ABORTED");
      end(here);
      return answer;
    }
    if (is_write && (here.state == 'T' ? here.is_read_only : at.id != primary_)) return fail("READONLY");
    at.slot.wait(lock, [&] { return at.busy < slots; });
    ++at.busy;
    lock.unlock();
    pause_ms(work_ms);
    lock.lock();
    --at.busy;
    at.slot.notify_one();
    const auto signature = std::to_string(term_) + "." + std::to_string(here.number) + "." + new_id();
    if (verb == "COMMIT") {
      if (here.has_written && at.id == primary_) append(at, here.writes);
      const auto answer = done("", signature);
      end(here);
      return answer;
    }
    const auto item = take_field(rest);
    if (is_write) {
      if (here.state == 'T') {
        here.writes[item] = rest;
        here.has_written = true;
      } else {
        if (at.id != primary_) return fail("READONLY");
        append(at, {{item, rest}});
      }
      return done("", signature);
    }
    const auto own = here.writes.find(item);
    const auto value = own != here.writes.end() ? own->second : read(at, item);
    return done("ROW " + value + "\r\n", signature);
  }

  void append(member& at, const std::map<std::string, std::string>& writes) {
    at.log.push_back({term_, at.log.back().number + 1, writes, clock::now()});
  }

  static void end(session& here) {
    here.state = 'I';
    here.writes.clear();
    here.has_written = false;
    here.transaction = 0;
  }

  void note(const member& at, const session& here, const std::string& id, const std::string& text,
            const std::string& answer) {
    if (id == "-" && text != "ROLLBACK" && text != "BEGIN" && text.rfind("SET ", 0) != 0) return;
    std::lock_guard lock{mutex_};
    auto first = answer.substr(0, answer.find("\r\n"));
    if (is_noting_all || id != "-")
      record.line("%s conn %llu tenant %s tx %llu: ran %s '%s' -> %s", at.id.c_str(),
                  static_cast<unsigned long long>(here.number), here.tenant.c_str(),
                  static_cast<unsigned long long>(here.transaction), id.c_str(), shown(text).c_str(), first.c_str());
    runs_.push_back({record.now(), at.id, here.number, here.peer_port, here.tenant, id, text, first, here.transaction,
                     here.values});
  }

 public:
  bool is_noting_all = false;

 private:
  object_store& store_;
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<member>> members_;
  std::string primary_;
  std::uint64_t term_ = 1;
  std::map<int, int> handles_;  // Connections by the port at which they begin.
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_transaction_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t newest_token_ = 0;
  std::int64_t born_ = 0;
  std::vector<run_statement> runs_;
  int cloud_port_ = 0;
};

// ---------------------------------------------------------------- a slow link

// Passes connections on to a port. What comes from the connecting side passes at a limited rate, with segments
// and a window as on a network; what comes back passes at once. Datagrams pass at once, both ways.
class slow_link {
 public:
  slow_link() {
    listener_ = listen_on_free_port(port_);
    const int segment = 1460;
    const int window = 16384;
    ::setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  }
  int port() const { return port_; }
  void set_rate(double megabits_per_second) { bytes_per_ms_ = megabits_per_second * 125; }
  void connect_to(int port) {
    accept_loop(listener_, [this, port](int handle) { pass(handle, port); });
    std::thread([this, port] { pass_datagrams(port); }).detach();
  }

 private:
  void pass(int near, int port) {
    const int far = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(far, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(far);
      return;
    }
    int flag = 1;
    ::setsockopt(far, IPPROTO_TCP, TCP_NODELAY, &flag, sizeof flag);
    std::thread back([near, far] {
      char buffer[65536];
      for (auto n = ::recv(far, buffer, sizeof buffer, 0); n > 0; n = ::recv(far, buffer, sizeof buffer, 0))
        if (!send_all(near, std::string(buffer, static_cast<std::size_t>(n)))) break;
      ::shutdown(near, SHUT_RDWR);
    });
    char buffer[4096];
    auto next = clock::now();
    for (auto n = ::recv(near, buffer, sizeof buffer, 0); n > 0; n = ::recv(near, buffer, sizeof buffer, 0)) {
      next = std::max(next, clock::now()) +
             std::chrono::microseconds{static_cast<long>(static_cast<double>(n) * 1000 / bytes_per_ms_)};
      std::this_thread::sleep_until(next);
      if (!send_all(far, std::string(buffer, static_cast<std::size_t>(n)))) break;
    }
    ::shutdown(far, SHUT_RDWR);
    back.join();
    ::close(far);
  }

  void pass_datagrams(int port) {
    const auto address_of = [](int number) {
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      address.sin_port = htons(static_cast<std::uint16_t>(number));
      return address;
    };
    const auto near_address = address_of(port_);
    const auto far_address = address_of(port);
    const int near = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (::bind(near, reinterpret_cast<const sockaddr*>(&near_address), sizeof near_address) != 0) return;
    std::map<int, int> far_of;  // Socket to the far side, by the port of the near side.
    while (true) {
      std::vector<pollfd> waits{{near, POLLIN, 0}};
      std::vector<int> ports{0};
      for (const auto& [from, socket] : far_of) {
        waits.push_back({socket, POLLIN, 0});
        ports.push_back(from);
      }
      ::poll(waits.data(), waits.size(), 1000);
      char buffer[65536];
      for (std::size_t i = 0; i < waits.size(); ++i) {
        if ((waits[i].revents & POLLIN) == 0) continue;
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto n = ::recvfrom(waits[i].fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0) continue;
        if (i > 0) {
          const auto to = address_of(ports[i]);
          ::sendto(near, buffer, static_cast<std::size_t>(n), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
          continue;
        }
        auto& socket = far_of[ntohs(from.sin_port)];
        if (socket == 0) socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        ::sendto(socket, buffer, static_cast<std::size_t>(n), 0, reinterpret_cast<const sockaddr*>(&far_address),
                 sizeof far_address);
      }
    }
  }

  std::atomic<double> bytes_per_ms_{1e6};
  int listener_ = -1;
  int port_ = 0;
};

// ---------------------------------------------------------------- the proxies

class proxy {
 public:
  std::string name;
  int callers = 0;
  int readiness = 0;
  int peers = 0;
  pid_t pid = -1;

  proxy(std::string vm, const std::string& folder, int store_port, const database_service& database)
      : name(std::move(vm)), path_(folder + "/" + name + ".json"), log_(folder + "/" + name + ".log") {
    const auto ports = free_ports(4);
    callers = ports[0];
    readiness = ports[1];
    peers = ports[2];
    // As deploy/settings.jsonc has it, with the figures of a small installation.
    const json settings{{"vm", name},
                        {"data_centre", "zone-a"},
                        {"caller_listen", loopback(ports[0])},
                        {"readiness_listen", loopback(ports[1])},
                        {"peer_listen", loopback(ports[2])},
                        {"metrics_listen", loopback(ports[3])},
                        {"store", loopback(store_port)},
                        {"promotions", loopback(database.cloud_port())},
                        {"drain_seconds", 6},
                        {"rate_window_seconds", 5},
                        {"rate_overage", 0.1},
                        {"rate_slack", 20},
                        {"configuration_bound_ms", 5000},
                        {"target_report_interval_ms", 1200},
                        {"log_level", "info"},
                        {"log_lines_per_second", 100}};
    std::ofstream{path_} << settings.dump(1);
  }
  ~proxy() { stop(); }
  proxy(const proxy&) = delete;
  proxy& operator=(const proxy&) = delete;

  void start() {
    pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl("target/bin/bulrushliftd", "target/bin/bulrushliftd", "--entry", "--settings", path_.c_str(),
              static_cast<char*>(nullptr));
      std::_Exit(127);
    }
    record.line("%s: started", name.c_str());
  }
  void signal(int number, const char* word) {
    if (pid <= 0) return;
    record.line("%s: %s", name.c_str(), word);
    ::kill(pid, number);
  }
  // Ends the process at once and waits for its end.
  void stop() {
    if (pid <= 0) return;
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    pid = -1;
  }
  // @return whether the process has ended.
  bool has_ended() {
    if (pid <= 0) return true;
    if (::waitpid(pid, nullptr, WNOHANG) != pid) return false;
    pid = -1;
    return true;
  }
  bool is_ready() const {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(readiness));
    bool is_up = false;
    if (::connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
        send_all(handle, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      pollfd each{handle, POLLIN, 0};
      char buffer[256];
      if (::poll(&each, 1, 500) > 0) {
        const auto n = ::recv(handle, buffer, sizeof buffer, 0);
        is_up = n > 12 && std::string(buffer, static_cast<std::size_t>(n)).find(" 200") == 8;
      }
    }
    ::close(handle);
    return is_up;
  }
  // @return whether the process holds the connection that begins at a local port.
  bool holds_port(int port) const {
    std::ifstream table{"/proc/" + std::to_string(pid) + "/net/tcp"};
    std::string line, inode;
    char wanted[32];
    std::snprintf(wanted, sizeof wanted, "0100007F:%04X", port);
    while (std::getline(table, line)) {
      std::istringstream fields{line};
      std::vector<std::string> each{std::istream_iterator<std::string>{fields}, {}};
      if (each.size() > 9 && each[1] == wanted) inode = each[9];
    }
    if (inode.empty()) return false;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator{"/proc/" + std::to_string(pid) + "/fd", ignored}) {
      if (std::filesystem::read_symlink(entry.path(), ignored).string() == "socket:[" + inode + "]") return true;
    }
    return false;
  }

 private:
  std::string path_, log_;
};

// ---------------------------------------------------------------- clients

struct client_answer {
  bool is_complete = false;  // Ended with READY.
  bool is_timed_out = false;
  std::vector<std::string> rows;
  std::string code;       // Of the error; empty after a success.
  std::string signature;  // After a success.
  char state = '?';
  std::string id;
  bool is_success() const { return is_complete && code.empty(); }
};

// A session of one client.
class client {
 public:
  client(std::string label, int port) : label_(std::move(label)) {
    handle_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    is_open_ = ::connect(handle_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    int flag = 1;
    ::setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &flag, sizeof flag);
    input_ = std::make_unique<line_input>(handle_);
  }
  ~client() { ::close(handle_); }
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  bool start(const std::string& database, const std::string& key) {
    if (!is_open_ || !send_all(handle_, "START " + database + " " + key + "\r\n")) return false;
    const auto answer = receive(2000, "");
    is_open_ = answer.is_success();
    return is_open_;
  }

  client_answer query(const std::string& text, int timeout_ms = 1200, std::string id = new_id()) {
    record.line("%s: sends %s '%s'", label_.c_str(), id.c_str(), shown(text).c_str());
    client_answer answer;
    answer.id = id;
    if (is_open_ && send_all(handle_, "QUERY " + id + " " + text + "\r\n")) answer = receive(timeout_ms, id);
    if (!answer.is_complete) is_open_ = false;
    record.line("%s: gets for %s: %s", label_.c_str(), id.c_str(),
                answer.is_complete ? (answer.code.empty() ? ("COMPLETE " + answer.signature + " " +
                                                             (answer.rows.empty() ? "" : "rows " + shown(answer.rows[0])))
                                                          : "ERROR " + answer.code)
                                         .c_str()
                : answer.is_timed_out ? "no answer within its time limit"
                                      : "the connection ended without a complete answer");
    return answer;
  }

  // @return whether the proxy has closed the connection; reads what has arrived.
  bool is_closed_by_peer() {
    pollfd each{handle_, POLLIN, 0};
    if (!is_open_) return true;
    if (::poll(&each, 1, 0) <= 0) return false;
    is_open_ = false;
    return true;
  }
  bool is_open() const { return is_open_; }
  int handle() const { return handle_; }

 private:
  client_answer receive(int timeout_ms, const std::string& id) {
    client_answer answer;
    answer.id = id;
    const auto until = clock::now() + milliseconds{timeout_ms};
    while (auto line = input_->next(until)) {
      auto rest = *line;
      const auto verb = take_field(rest);
      if (verb == "ROW") answer.rows.push_back(rest);
      if (verb == "COMPLETE") answer.signature = rest;
      if (verb == "ERROR") answer.code = take_field(rest);
      if (verb != "READY") continue;
      answer.is_complete = true;
      answer.state = rest.empty() ? '?' : rest[0];
      return answer;
    }
    answer.is_timed_out = input_->is_timed_out;
    return answer;
  }

  std::string label_;
  int handle_ = -1;
  bool is_open_ = false;
  std::unique_ptr<line_input> input_;
};

// ---------------------------------------------------------------- a small installation

// Three proxies, one service of three back ends, three routes and two tenants. The figures of the service, the
// routes and the bounds are those of the site nfg-orchard-grown; the installation is smaller.
class installation {
 public:
  std::string folder;
  object_store store;
  database_service database{"orders-db", {"i-a", "i-b", "i-c"}, store};
  std::vector<std::unique_ptr<proxy>> proxies;

  std::vector<std::unique_ptr<slow_link>> links;  // To the peer address of each proxy, if asked for.

  explicit installation(bool has_links = false, int machines = 3) {
    current = this;
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder = ::mkdtemp(pattern.data());
    publish(7, {"key-grove-1", "key-grove-2"});
    const auto name_of = [](int i) { return "front-" + std::to_string(i + 1); };
    for (int i = 0; has_links && i < machines; ++i) links.push_back(std::make_unique<slow_link>());
    for (int i = 0; i < machines; ++i) {
      std::map<std::string, std::string> others;
      for (int k = 0; has_links && k < machines; ++k) {
        if (k != i) others[name_of(k)] = loopback(links[static_cast<std::size_t>(k)]->port());
      }
      proxies.push_back(std::make_unique<proxy>(name_of(i), folder,
                                                has_links ? store.open_view(others) : store.port(), database));
    }
    for (std::size_t i = 0; i < links.size(); ++i) links[i]->connect_to(proxies[i]->peers);
    for (auto& each : proxies) each->start();
  }
  void publish(std::uint64_t version, const std::vector<std::string>& grove_keys) {
    const auto route = [&](const char* label, const char* kind, int timeout, int aim, int priority, int stale) {
      json out{{"name", std::string{"r-"} + label}, {"host", label},         {"pathPrefix", "/"},
               {"kind", kind},                      {"timeoutMs", timeout},  {"targetLatencyMs", aim},
               {"priority", priority},              {"service", "orders-db"}, {"attempts", 2},
               {"public", false}};
      if (stale > 0) out["maxStalenessMs"] = stale;
      return out;
    };
    store.put("config", "main",
              {{"version", version},
               {"routes",
                {route("burn-order", "primary", 1000, 250, 1, 0), route("stock-glance", "bounded", 2000, 600, 2, 1500),
                 route("dispatch-note", "read_your_writes", 1000, 500, 2, 2500)}},
               {"services",
                {{{"name", "orders-db"}, {"healthPath", "/health"}, {"connectionLimit", 308}, {"syncReplicas", 0}}}},
               {"limits", {{"transactionIdleMs", 3000}, {"bodyBytes", 262144}}},
               {"tenants",
                {{{"name", "grove"}, {"accessKeys", grove_keys}, {"ratePerS", 500}, {"burst", 500}},
                 {{"name", "depot"}, {"accessKeys", {"key-depot-1"}}, {"ratePerS", 500}, {"burst", 500}}}}});
  }

  // Waits until all proxies are ready and serve both tenants. Ends the program with 2 if that takes too long.
  void await_service() {
    const auto until = clock::now() + std::chrono::seconds{25};
    for (auto& each : proxies) {
      while (!each->is_ready()) {
        if (clock::now() > until) give_up("a proxy did not become ready");
        pause_ms(50);
      }
    }
    pause_ms(2500);
    for (auto& each : proxies) {
      for (const char* key : {"key-grove-1", "key-depot-1"}) {
        while (true) {
          client warm{"warm-up", each->callers};
          if (warm.start("burn-order", key) && warm.query("READ warm", 2000).is_success()) break;
          if (clock::now() > until) give_up("a proxy does not serve");
          pause_ms(100);
        }
      }
    }
    record.line("all proxies serve");
  }

  [[noreturn]] static void give_up(const char* why) {
    record.line("not run: %s", why);
    std::fprintf(stderr, "not run: %s\n", why);
    current->end(2);
  }

  // Ends all processes and the program. The stand-ins' threads still run, so nothing else is destroyed.
  [[noreturn]] void end(int code) {
    for (auto& each : proxies) each->stop();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder, ignored);
    std::fflush(stdout);
    std::_Exit(code);
  }
  static inline installation* current = nullptr;

  // @return the proxy whose connection to a back end ran a statement.
  proxy* runner_of(const std::string& id) {
    for (const auto& each : database.runs()) {
      if (each.id != id) continue;
      for (auto& candidate : proxies) {
        if (candidate->holds_port(each.peer_port)) return candidate.get();
      }
    }
    return nullptr;
  }
};

// @return the number of the proxy that holds the connections of the service. Ends the program if there is none.
inline std::size_t find_holder(installation& site) {
  for (int i = 0; i < 20; ++i) {
    client probe{"probe", site.proxies[0]->callers};
    if (!probe.start("burn-order", "key-grove-1")) continue;
    const auto answer = probe.query("READ warm", 2000);
    const auto* holder = answer.is_success() ? site.runner_of(answer.id) : nullptr;
    for (std::size_t at = 0; at < site.proxies.size(); ++at)
      if (site.proxies[at].get() == holder) return at;
    pause_ms(100);
  }
  installation::give_up("the holder of the connections was not found");
}

inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string{value} != "0";
}

// Ends the program if a run hangs.
inline void limit_time(int seconds) {
  std::thread([seconds] {
    std::this_thread::sleep_for(std::chrono::seconds{seconds});
    installation::give_up("the script took too long");
  }).detach();
}

[[noreturn]] inline void finish(installation& site, const std::vector<std::string>& broken, const char* rule) {
  for (const auto& each : broken) {
    record.line("%s broken: %s", rule, each.c_str());
    std::printf("%s broken: %s\n", rule, each.c_str());
  }
  if (broken.empty()) {
    record.line("%s held", rule);
    std::printf("%s held\n", rule);
  }
  site.end(broken.empty() ? 0 : 1);
}

}  // namespace standin
