#pragma once

// A small deployment on loopback for the scripts of this review: the platform's store, its /promotion call, a
// database service with one primary and two replicas, client sessions, and proxies as separate processes.
// All of it follows PROTOCOL.md and DEPLOY.md. One thread for each connection; one lock for each stand-in.

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
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
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

namespace bed {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline double seconds_since_start() {
  static const auto start = steady::now();
  return std::chrono::duration<double>(steady::now() - start).count();
}

inline void sleep_ms(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

// record.txt: what was sent, answered and run.
class record_file {
 public:
  void open(const std::string& path) { out_.open(path); }
  void line(const std::string& text) {
    std::lock_guard lock{mutex_};
    char time[32];
    std::snprintf(time, sizeof time, "%9.4f  ", seconds_since_start());
    out_ << time << text << "\n";
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
inline record_file record;

// ---- sockets -------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return to;
}

inline int listen_on_loopback(int& port) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = loopback(port);
  if (::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(handle, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return handle;
}

// A port that is free for TCP and UDP now.
inline int free_port() {
  for (int i = 0; i < 200; ++i) {
    int port = 0;
    const int tcp = listen_on_loopback(port);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    auto address = loopback(port);
    const bool is_free = ::bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(udp);
    ::close(tcp);
    if (is_free) return port;
  }
  std::exit(2);
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

// A blocking stream that reads lines ended by CR LF.
class stream {
 public:
  explicit stream(int handle) : handle_(handle) {
    const int on = 1;
    ::setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;
  ~stream() { ::close(handle_); }

  static std::unique_ptr<stream> connect(int port) {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto to = loopback(port);
    if (::connect(handle, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      ::close(handle);
      return nullptr;
    }
    return std::make_unique<stream>(handle);
  }

  bool write(std::string_view bytes) {
    while (!bytes.empty()) {
      const auto n = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<size_t>(n));
    }
    return true;
  }

  // @return false if the stream has ended or nothing came in time.
  bool read_line(std::string& line, int timeout_ms = -1) {
    const auto end = steady::now() + milliseconds{timeout_ms < 0 ? 3'600'000 : timeout_ms};
    size_t searched = 0;
    for (;;) {
      const auto at = input_.find("\r\n", searched);
      if (at != std::string::npos) {
        line = input_.substr(0, at);
        input_.erase(0, at + 2);
        return true;
      }
      searched = input_.empty() ? 0 : input_.size() - 1;
      if (!fill(end)) return false;
    }
  }

  bool read_bytes(std::string& out, size_t count) {
    while (input_.size() < count) {
      if (!fill(steady::now() + milliseconds{30'000})) return false;
    }
    out = input_.substr(0, count);
    input_.erase(0, count);
    return true;
  }

  void shut() { ::shutdown(handle_, SHUT_RDWR); }

 private:
  bool fill(steady::time_point end) {
    const auto left = std::chrono::duration_cast<milliseconds>(end - steady::now()).count();
    if (left <= 0) return false;
    pollfd wait{handle_, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    char buffer[65536];
    const auto n = ::recv(handle_, buffer, sizeof buffer, 0);
    if (n <= 0) return false;
    input_.append(buffer, static_cast<size_t>(n));
    return true;
  }

  int handle_;
  std::string input_;
};

// Accepts connections for ever; one detached thread for each.
inline void serve(int listener, std::function<void(std::shared_ptr<stream>)> handle) {
  std::thread([listener, handle = std::move(handle)] {
    for (;;) {
      const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) return;
      auto connection = std::make_shared<stream>(accepted);
      std::thread([connection, handle] { handle(connection); }).detach();
    }
  }).detach();
}

inline std::string take_word(std::string& rest) {
  const auto end = rest.find(' ');
  auto word = rest.substr(0, end);
  rest = end == std::string::npos ? std::string{} : rest.substr(end + 1);
  return word;
}

// ---- HTTP ----------------------------------------------------------------------------------------------

struct http_call {
  std::string method, path;
  std::map<std::string, std::string> query, headers;
  std::string body;
};

inline bool read_call(stream& from, http_call& call) {
  std::string line;
  if (!from.read_line(line)) return false;
  call = {};
  call.method = take_word(line);
  auto target = take_word(line);
  const auto mark = target.find('?');
  call.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::stringstream parts{target.substr(mark + 1)};
    for (std::string part; std::getline(parts, part, '&');) {
      const auto equal = part.find('=');
      call.query[part.substr(0, equal)] = equal == std::string::npos ? "" : part.substr(equal + 1);
    }
  }
  while (from.read_line(line) && !line.empty()) {
    const auto colon = line.find(':');
    auto name = line.substr(0, colon);
    for (auto& c : name) c = static_cast<char>(std::tolower(c));
    auto value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.erase(0, 1);
    call.headers[name] = value;
  }
  const auto length = call.headers.find("content-length");
  if (length == call.headers.end()) return true;
  return from.read_bytes(call.body, std::stoul(length->second));
}

inline std::string http_answer(int status, const std::string& body, const std::string& extra = "") {
  const char* reason = status == 200 ? "OK" : status == 409 ? "Conflict" : status == 404 ? "Not Found" : "Other";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\nContent-Type: application/json\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the platform's store ------------------------------------------------------------------------------

class store {
 public:
  store() {
    const int listener = listen_on_loopback(port_);
    serve(listener, [this](std::shared_ptr<stream> connection) {
      http_call call;
      while (read_call(*connection, call)) {
        if (!connection->write(answer(call))) return;
      }
    });
  }
  [[nodiscard]] int port() const { return port_; }

  // What an operator or a backend writes.
  void put(const std::string& kind, const std::string& name, const json& spec) {
    std::lock_guard lock{mutex_};
    write(kind, name, spec, json::array());
  }
  void remove(const std::string& kind, const std::string& name) {
    std::lock_guard lock{mutex_};
    auto& objects = kinds_[kind];
    const auto it = objects.find(name);
    if (it == objects.end()) return;
    auto gone = it->second;
    objects.erase(it);
    gone["meta"]["revision"] = ++revision_;
    events_.push_back({revision_, kind, gone, true});
    changed_.notify_all();
  }

 private:
  struct event {
    uint64_t revision;
    std::string kind;
    json object;
    bool is_removed;
  };

  json write(const std::string& kind, const std::string& name, const json& spec, const json& finalizers) {
    auto& objects = kinds_[kind];
    const auto it = objects.find(name);
    // A write that changes nothing gives no revision and no event.
    if (it != objects.end() && it->second["spec"] == spec) return it->second;
    ++revision_;
    const uint64_t created = it == objects.end() ? revision_ : it->second["meta"]["created"].get<uint64_t>();
    json object{{"meta",
                 {{"name", name},
                  {"revision", revision_},
                  {"created", created},
                  {"finalizers", finalizers},
                  {"pendingDeletion", false}}},
                {"spec", spec},
                {"status", nullptr}};
    objects[name] = object;
    events_.push_back({revision_, kind, object, false});
    changed_.notify_all();
    return object;
  }

  std::string reply(int status, const json& body) { return http_answer(status, body.dump(), "Store-Era: 1\r\n"); }

  std::string answer(const http_call& call) {
    sleep_ms(4);
    const std::string prefix = "/-/objects/";
    if (call.path.rfind(prefix, 0) != 0) return reply(404, json::object());
    auto kind = call.path.substr(prefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind = kind.substr(0, slash);
    }
    std::unique_lock lock{mutex_};
    if (call.method == "GET" && name.empty()) return call.query.contains("watch") ? watch(lock, kind, call) : list(kind);
    auto& objects = kinds_[kind];
    if (call.method == "GET") {
      const auto it = objects.find(name);
      return it == objects.end() ? reply(404, json::object()) : reply(200, it->second);
    }
    const auto body = json::parse(call.body, nullptr, false);
    if (!body.is_object()) return reply(400, json::object());
    const auto meta = body.value("meta", json::object());
    const auto finalizers = meta.value("finalizers", json::array());
    if (call.method == "POST") {
      name = meta.value("name", "");
      if (objects.contains(name)) return reply(409, objects[name]);
      return reply(200, write(kind, name, body["spec"], finalizers));
    }
    const auto it = objects.find(name);
    if (it == objects.end()) return reply(404, json::object());
    if (meta.contains("revision") && meta["revision"] != it->second["meta"]["revision"]) return reply(409, it->second);
    if (call.method == "PUT") return reply(200, write(kind, name, body["spec"], finalizers));
    return reply(404, json::object());
  }

  std::string list(const std::string& kind) {
    json items = json::array();
    for (const auto& [name, object] : kinds_[kind]) items.push_back(object);
    return reply(200, {{"items", items}, {"more", false}, {"at", revision_}});
  }

  std::string watch(std::unique_lock<std::mutex>& lock, const std::string& kind, const http_call& call) {
    const auto from = std::stoull(call.query.at("watch"));
    const auto end = steady::now() + milliseconds{std::stoll(call.query.contains("waitMs") ? call.query.at("waitMs") : "0")};
    for (;;) {
      json found = json::array();
      for (const auto& each : events_) {
        if (each.revision > from && each.kind == kind) {
          found.push_back({{"removed", each.is_removed}, {"object", each.object}});
        }
      }
      if (!found.empty() || steady::now() >= end) return reply(200, {{"events", found}, {"at", revision_}});
      changed_.wait_until(lock, end);
    }
  }

  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, json>> kinds_;
  std::vector<event> events_;
};

// ---- a database service --------------------------------------------------------------------------------

struct log_entry {
  uint64_t term = 1;
  std::string id;  // of the commit, or of the single write
  std::map<std::string, std::string> writes;
  steady::time_point received{};
};

struct database_options {
  int slots = 3;
  bool is_sync = false;         // a commit is acknowledged once one replica has received it
  double link_ms = 0.9;         // from the primary to a replica
  double apply_ms = 20;         // from receiving to applying at a replica
  double read_ms = 24;          // work of a read
  double write_ms = 8;          // work of a write and of a commit
  double promote_ms = 1000;
  double open_ms = 27;          // a new connection
};

class database {
 public:
  struct member {
    std::string id, zone;
    int port = 0;
    bool is_leaving = false, is_paused = false;
    uint64_t pause_term = 0;
    std::vector<log_entry> log;
    int running = 0, connections = 0;
    uint64_t sequence = 0;
    uint64_t born = 0;
  };

  database(store& platform, std::string service, std::vector<std::pair<std::string, std::string>> members,
           database_options options)
      : store_(platform), service_(std::move(service)), options_(options) {
    for (auto& [id, zone] : members) {
      auto each = std::make_unique<member>();
      each->id = id;
      each->zone = zone;
      each->born = static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count());
      auto* state = each.get();
      const int listener = listen_on_loopback(state->port);
      serve(listener, [this, state](std::shared_ptr<stream> connection) { talk(*state, *connection); });
      members_.push_back(std::move(each));
    }
    primary_ = members_.front().get();
    for (auto& each : members_) {
      if (each.get() != primary_) {
        std::thread([this, replica = each.get()] { replicate(*replica); }).detach();
      }
    }
    // All members get a link in each direction; a new primary sends to the others.
    std::thread([this, first = members_.front().get()] { replicate(*first); }).detach();
    std::thread([this] {
      for (;;) {
        report();
        sleep_ms(1'200);
      }
    }).detach();
  }

  // Called for each statement, with what it ran in.
  struct run {
    std::string target, id, text, transaction;  // id of the BEGIN; empty outside of a transaction
    uint64_t connection = 0;
  };
  std::function<void(const run&)> on_run;
  // An answer of more than a megabyte is written with its last line in two pieces, a moment apart.
  std::atomic<bool> splits_large_answers{false};
  // Rows that a read of the item returns; one row if nothing is set.
  std::function<std::vector<std::string>(const std::string& item)> rows_of;

  void drain_primary() {
    {
      std::lock_guard lock{mutex_};
      primary_->is_leaving = true;
      record.line("backend " + primary_->id + " (primary) reports draining");
    }
    report();
  }

  // The end of a release: backends that drained and lead no more are gone, and a new one at the address of each
  // has its log.
  void replace_drained() {
    std::vector<std::string> gone;
    {
      std::lock_guard lock{mutex_};
      for (auto& each : members_) {
        if (!each->is_leaving || each.get() == primary_) continue;
        gone.push_back(each->id);
        each->id += "r";
        each->is_leaving = false;
        each->sequence = 0;
        each->born += 60'000;
        record.line("backend " + gone.back() + " is gone, " + each->id + " is in its place");
      }
    }
    for (const auto& id : gone) store_.remove("servers", id);
    report();
  }

  // Some hundred ms after the order the backend leads the next term with what it has received.
  // @return whether it leads now and didn't before.
  bool promote(const std::string& id) {
    sleep_ms(options_.promote_ms);
    {
      std::lock_guard lock{mutex_};
      auto* next = find(id);
      if (next == nullptr || next == primary_) return false;
      ++term_;
      record.line("backend " + id + " leads term " + std::to_string(term_) + " with " +
                  std::to_string(next->log.size()) + " entries; " + primary_->id + " had " +
                  std::to_string(primary_->log.size()));
      primary_ = next;
      for (auto& each : members_) {
        each->is_paused = false;
        // Replicas that were ahead are rolled back.
        size_t same = 0;
        while (same < each->log.size() && same < next->log.size() && each->log[same].id == next->log[same].id) ++same;
        each->log.resize(same);
      }
      changed_.notify_all();
    }
    report();
    return true;
  }

  [[nodiscard]] std::string primary_id() {
    std::lock_guard lock{mutex_};
    return primary_->id;
  }
  // @return the ids in the log of the primary.
  [[nodiscard]] std::set<std::string> kept_ids() {
    std::lock_guard lock{mutex_};
    std::set<std::string> ids;
    for (const auto& each : primary_->log) ids.insert(each.id);
    return ids;
  }
  [[nodiscard]] bool has_member(const std::string& id) {
    std::lock_guard lock{mutex_};
    return find(id) != nullptr;
  }

 private:
  struct session {
    char state = 'I';
    bool is_read_only = false;
    std::string begin_id;
    std::map<std::string, std::string> writes, values;
    std::map<std::string, std::string> prepared;
    uint64_t number = 0;
  };

  member* find(const std::string& id) {
    for (auto& each : members_) {
      if (each->id == id) return each.get();
    }
    return nullptr;
  }

  void report() {
    std::lock_guard lock{mutex_};
    for (auto& each : members_) {
      store_.put("servers", each->id,
                 {{"service", service_},
                  {"address", address_of(each->port)},
                  {"zone", each->zone},
                  {"version", "v1"},
                  {"slots", options_.slots},
                  {"state", each->is_leaving ? "draining" : "ready"},
                  {"coldRemainingMs", 0},
                  {"databaseRole", each.get() == primary_ ? "primary" : "replica"},
                  {"born", each->born},
                  {"sequence", ++each->sequence}});
    }
  }

  // Sends the primary's log to one replica, entry by entry.
  void replicate(member& replica) {
    std::unique_lock lock{mutex_};
    for (;;) {
      changed_.wait(lock, [&] {
        return primary_ != &replica && !replica.is_paused && replica.log.size() < primary_->log.size();
      });
      const auto* source = primary_;
      const auto next = replica.log.size();
      lock.unlock();
      sleep_ms(options_.link_ms);
      lock.lock();
      const bool is_same = source == primary_ && !replica.is_paused && replica.log.size() == next;
      if (!is_same || primary_ == &replica || next >= primary_->log.size()) continue;
      // All that is waiting goes together.
      while (replica.log.size() < primary_->log.size()) {
        auto entry = primary_->log[replica.log.size()];
        entry.received = steady::now();
        replica.log.push_back(std::move(entry));
      }
      changed_.notify_all();
    }
  }

  size_t applied(const member& each) const {
    if (&each == primary_) return each.log.size();
    const auto until = steady::now() - std::chrono::microseconds{static_cast<int64_t>(options_.apply_ms * 1000)};
    size_t n = each.log.size();
    while (n > 0 && each.log[n - 1].received > until) --n;
    return n;
  }
  static std::string point_of(const member& each, size_t n) {
    return std::to_string(n == 0 ? 1 : each.log[n - 1].term) + "." + std::to_string(n);
  }

  void talk(member& self, stream& connection) {
    std::string line;
    if (!connection.read_line(line)) return;
    auto rest = line;
    const auto verb = take_word(rest);
    const auto service = take_word(rest);
    take_word(rest);  // the tenant
    if (verb != "START" || service != service_ || (!rest.empty() && rest != id_of(self))) {
      connection.write("ERROR MISROUTED " + id_of(self) + "\r\n");
      return;
    }
    session its;
    {
      std::lock_guard lock{mutex_};
      its.number = ++last_connection_;
      ++self.connections;
    }
    sleep_ms(options_.open_ms);
    {
      std::unique_lock lock{mutex_};
      const auto ready = ready_line(self, its);
      lock.unlock();
      connection.write(ready);
    }
    while (connection.read_line(line)) {
      rest = line;
      if (take_word(rest) != "QUERY") break;
      const auto id = take_word(rest);
      auto answer = run_statement(self, its, id, rest);
      if (!answer) break;  // the outcome isn't known here
      std::unique_lock lock{mutex_};
      const auto ready = ready_line(self, its);
      lock.unlock();
      if (splits_large_answers && answer->size() > (size_t{1} << 20U)) {
        connection.write(*answer + ready.substr(0, 6));
        sleep_ms(30);
        if (!connection.write(ready.substr(6))) break;
      } else if (!connection.write(*answer + ready)) {
        break;
      }
    }
    std::lock_guard lock{mutex_};
    --self.connections;
  }

  std::string ready_line(const member& self, const session& its) {
    return std::string{"READY "} + its.state + " " + point_of(self, applied(self)) + "\r\n";
  }

  static std::string complete(const std::string& signature) { return "COMPLETE " + signature + "\r\n"; }
  static std::string fail(session& its, const std::string& code) {
    if (its.state == 'T') its.state = 'E';
    return "ERROR " + code + " -\r\n";
  }
  // A statement that had no slot didn't run; the transaction stays as it is.
  static std::string busy() { return "ERROR BUSY -\r\n"; }

  bool take_slot(member& self) {
    std::lock_guard lock{mutex_};
    if (self.running >= options_.slots) return false;
    ++self.running;
    return true;
  }
  void give_slot(member& self) {
    std::lock_guard lock{mutex_};
    --self.running;
  }

  // The id changes when another backend takes the place.
  std::string id_of(const member& self) {
    std::lock_guard lock{mutex_};
    return self.id;
  }

  void note(member& self, const session& its, const std::string& id, const std::string& text) {
    if (on_run) on_run({id_of(self), id, text, its.state == 'T' ? its.begin_id : std::string{}, its.number});
  }

  std::string status_row(const member& self) {
    return "ROW " + std::string{&self == primary_ ? "primary" : "replica"} + " " + std::to_string(term_) + " " +
           point_of(self, self.log.size()) + " " + std::to_string(self.pause_term) + " 0 " +
           std::to_string(self.running) + " " + std::to_string(self.connections) + "\r\n" + complete("-");
  }

  std::optional<std::string> run_statement(member& self, session& its, const std::string& id, std::string text) {
    auto rest = text;
    auto verb = take_word(rest);
    if (verb == "AFTER") {
      const auto point = take_word(rest);
      const auto dot = point.find('.');
      const std::pair<uint64_t, uint64_t> wanted{std::stoull(point.substr(0, dot)), std::stoull(point.substr(dot + 1))};
      std::lock_guard lock{mutex_};
      const auto n = applied(self);
      const std::pair<uint64_t, uint64_t> held{n == 0 ? 1 : self.log[n - 1].term, n};
      if (held < wanted) return fail(its, "LAGGING");
      text = rest;
      verb = take_word(rest);
    }
    if (its.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") return "ERROR MALFORMED -\r\n";
    if (verb == "BEGIN") {
      std::lock_guard lock{mutex_};
      its.is_read_only = rest == "READ";
      if (!its.is_read_only && &self != primary_) return fail(its, "READONLY");
      its.state = 'T';
      its.begin_id = id;
      return complete("-");
    }
    if (verb == "ROLLBACK") {
      its.state = 'I';
      its.writes.clear();
      return complete("-");
    }
    if (verb == "RESET") {
      its.values.clear();
      its.prepared.clear();
      return complete("-");
    }
    if (verb == "SET") {
      const auto name = take_word(rest);
      its.values[name] = rest;
      return complete("-");
    }
    if (verb == "PREPARE") {
      const auto name = take_word(rest);
      its.prepared[name] = take_word(rest);
      return complete("-");
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME") return run_control(self, verb, rest);
    if (verb == "COMMIT") return run_commit(self, its, id);
    if (verb == "EXECUTE") {
      const auto it = its.prepared.find(take_word(rest));
      if (it == its.prepared.end()) return fail(its, "UNDEFINED");
      verb = it->second;
    }
    const auto item = take_word(rest);
    if (verb == "READ") return run_read(self, its, id, text, item);
    if (verb == "WRITE") return run_write(self, its, id, text, item, rest);
    return fail(its, "MALFORMED");
  }

  // These occupy a slot like STATUS, and answer BUSY if there is none.
  std::string run_control(member& self, const std::string& verb, const std::string& rest) {
    if (!take_slot(self)) {
      record.line("backend " + id_of(self) + " answers BUSY to " + verb + " " + rest);
      return busy();
    }
    sleep_ms(0.5);
    std::lock_guard lock{mutex_};
    --self.running;
    if (verb == "PAUSE" && &self != primary_) {
      const uint64_t term = std::stoull(rest);
      if (term > term_) {
        self.is_paused = true;
        self.pause_term = std::max(self.pause_term, term);
      }
    }
    if (verb == "RESUME") self.is_paused = false;
    changed_.notify_all();
    if (verb != "STATUS") record.line("backend " + self.id + " runs " + verb + " " + rest + ", has received " + point_of(self, self.log.size()));
    return status_row(self);
  }

  bool has_lost_lead(member& self, const session& its) {
    std::lock_guard lock{mutex_};
    return its.state == 'T' && !its.is_read_only && &self != primary_;
  }

  std::string run_read(member& self, session& its, const std::string& id, const std::string& text,
                       const std::string& item) {
    if (has_lost_lead(self, its)) return fail(its, "READONLY");
    if (!take_slot(self)) return busy();
    sleep_ms(options_.read_ms);
    note(self, its, id, text);
    std::vector<std::string> rows;
    if (rows_of) rows = rows_of(item);
    if (rows.empty()) {
      std::lock_guard lock{mutex_};
      std::string value;
      const auto n = applied(self);
      for (size_t i = 0; i < n; ++i) {
        const auto it = self.log[i].writes.find(item);
        if (it != self.log[i].writes.end()) value = it->second;
      }
      if (its.writes.contains(item)) value = its.writes[item];
      rows.push_back(value.empty() ? "none" : value);
    }
    give_slot(self);
    std::string answer;
    for (const auto& row : rows) answer += "ROW " + row + "\r\n";
    return answer + complete(id_of(self) + "." + id);
  }

  std::optional<std::string> run_write(member& self, session& its, const std::string& id, const std::string& text,
                                       const std::string& item, const std::string& value) {
    {
      std::lock_guard lock{mutex_};
      if (&self != primary_) return fail(its, "READONLY");
    }
    if (!take_slot(self)) return busy();
    sleep_ms(options_.write_ms);
    note(self, its, id, text);
    if (its.state == 'T') {
      its.writes[item] = value;
      give_slot(self);
      return complete(id_of(self) + "." + id);
    }
    const bool is_known = append(self, {0, id, {{item, value}}, {}});
    give_slot(self);
    if (!is_known) return std::nullopt;
    return complete(id_of(self) + "." + id);
  }

  std::optional<std::string> run_commit(member& self, session& its, const std::string& id) {
    if (its.state != 'T') {
      its.state = 'I';
      its.writes.clear();
      return "ERROR MALFORMED -\r\n";
    }
    {
      std::lock_guard lock{mutex_};
      if (&self != primary_ && !its.writes.empty()) {
        its.state = 'I';
        its.writes.clear();
        return "ERROR READONLY -\r\n";
      }
    }
    if (!take_slot(self)) return busy();
    sleep_ms(options_.write_ms);
    note(self, its, id, "COMMIT");
    its.state = 'I';
    const auto writes = std::exchange(its.writes, {});
    const bool is_known = writes.empty() || append(self, {0, id, writes, {}});
    give_slot(self);
    if (!is_known) return std::nullopt;
    return complete(id_of(self) + "." + id);
  }

  // @return whether the commit is acknowledged; if not, nobody knows whether it will be kept.
  bool append(member& self, log_entry entry) {
    std::unique_lock lock{mutex_};
    if (&self != primary_) return false;
    const auto id = entry.id;
    entry.term = term_;
    entry.received = steady::now();
    self.log.push_back(std::move(entry));
    const auto index = self.log.size() - 1;
    changed_.notify_all();
    if (!options_.is_sync) return true;
    bool is_received = false;
    changed_.wait(lock, [&] {
      if (&self != primary_) return true;
      for (auto& each : members_) {
        is_received = is_received || (each.get() != &self && each->log.size() > index && each->log[index].id == id);
      }
      return is_received;
    });
    return is_received;
  }

  store& store_;
  std::string service_;
  database_options options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::unique_ptr<member>> members_;
  member* primary_ = nullptr;
  uint64_t term_ = 1;
  uint64_t last_connection_ = 0;
};

// ---- POST /promotion -----------------------------------------------------------------------------------

class promotion_duty {
 public:
  // Runs an accepted order; gets service and identifier.
  using run_callback = std::function<void(const std::string&, const std::string&)>;

  explicit promotion_duty(run_callback run) : run_(std::move(run)) {
    const int listener = listen_on_loopback(port_);
    serve(listener, [this](std::shared_ptr<stream> connection) {
      http_call call;
      while (read_call(*connection, call)) {
        const auto body = json::parse(call.body, nullptr, false);
        const auto service = body.value("service", "");
        const auto target = body.value("identifier", "");
        const auto token = std::stoull(call.headers["x-fencing-token"]);
        const auto text = "promotion of " + target + " for " + service + ", holder " + call.headers["x-duty-holder"] +
                          ", token " + std::to_string(token);
        sleep_ms(4);
        const bool is_accepted = execute(service, target, token);
        record.line(text + ": answered " + (is_accepted ? "200" : "409"));
        if (!connection->write(http_answer(is_accepted ? 200 : 409, "{}"))) return;
      }
    });
  }
  [[nodiscard]] int port() const { return port_; }

 private:
  bool execute(const std::string& service, const std::string& target, uint64_t token) {
    {
      std::lock_guard lock{mutex_};
      if (token < newest_[service]) return false;
      newest_[service] = token;
    }
    std::thread([this, service, target] { run_(service, target); }).detach();
    return true;
  }

  int port_ = 0;
  run_callback run_;
  std::mutex mutex_;
  std::map<std::string, uint64_t> newest_;
};

// ---- proxies -------------------------------------------------------------------------------------------

struct proxy_limits {
  double memory_mb = 260;
  int descriptors = 4'300;
};

class proxy {
 public:
  proxy(const std::string& folder, const std::string& vm, const std::string& zone, int store_port, int duty_port,
        proxy_limits limits = {})
      : vm_(vm) {
    callers = free_port();
    readiness = free_port();
    const auto path = folder + "/" + vm + ".toml";
    // As deploy/settings.jsonc renders it.
    const json settings{
        {"vm", vm},
        {"data_centre", zone},
        {"caller_listen", address_of(callers)},
        {"readiness_listen", address_of(readiness)},
        {"peer_listen", address_of(free_port())},
        {"metrics_listen", address_of(free_port())},
        {"store", address_of(store_port)},
        {"promotions", address_of(duty_port)},
        {"drain_seconds", 6},
        {"rate_window_seconds", 5},
        {"rate_overage", 0.1},
        {"rate_slack", 20},
        {"configuration_bound_ms", 3000},
        {"target_report_interval_ms", 1200},
        {"capacity",
         {{"core_share", 0.5},
          {"cores", 1},
          {"memory_mb", limits.memory_mb},
          {"descriptors", limits.descriptors},
          {"link_mbps", 1000.0}}},
        {"crossing", {{"cost_ms", 20}, {"delay_ms", 5}}},
        {"log_level", "info"},
        {"log_lines_per_second", 100}};
    std::ofstream{path} << settings.dump(2) << "\n";
    path_ = path;
    log_ = folder + "/" + vm + ".log";
    start();
    record.line("started " + vm + " in " + zone);
  }
  ~proxy() { end(); }

  // Starts the process with the command of deploy/system.toml; also after it has ended.
  void start() {
    pid = ::fork();
    if (pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("BULRUSHLIFT_NODE_FILE", path_.c_str(), 1);
    ::execl("target/bin/bulrushliftd", "target/bin/bulrushliftd", "--entry", "--settings", path_.c_str(), nullptr);
    _exit(127);
  }

  [[nodiscard]] bool is_ready() const {
    auto connection = stream::connect(readiness);
    if (!connection) return false;
    connection->write("GET /-/readiness HTTP/1.1\r\nHost: proxy\r\n\r\n");
    std::string line;
    return connection->read_line(line, 1000) && line.find(" 200") != std::string::npos;
  }
  // @return whether the process has ended.
  [[nodiscard]] bool has_ended() {
    if (pid <= 0) return true;
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return false;
    pid = -1;
    return true;
  }
  void end() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    pid = -1;
  }
  [[nodiscard]] const std::string& vm() const { return vm_; }

  int callers = 0;
  int readiness = 0;
  pid_t pid = -1;

 private:
  std::string vm_, path_, log_;
};

inline void wait_until_ready(std::vector<std::unique_ptr<proxy>>& proxies) {
  for (int i = 0; i < 200; ++i) {
    bool are_ready = true;
    for (auto& each : proxies) are_ready = are_ready && each->is_ready();
    if (are_ready) return;
    sleep_ms(50);
  }
  std::cerr << "the proxies did not become ready\n";
  std::exit(2);
}

// ---- clients -------------------------------------------------------------------------------------------

struct reply {
  bool is_whole = false;  // an answer with READY came
  std::vector<std::string> rows;
  std::string signature, error;
  char state = '?';
  [[nodiscard]] bool is_success() const { return is_whole && error.empty(); }
};

class client {
 public:
  bool open(int port, const std::string& database, const std::string& key) {
    connection_ = stream::connect(port);
    if (!connection_) return false;
    connection_->write("START " + database + " " + key + "\r\n");
    std::string line;
    return connection_->read_line(line, 2000) && line.rfind("READY", 0) == 0;
  }
  [[nodiscard]] bool is_open() const { return connection_ != nullptr; }
  void close() { connection_.reset(); }

  reply run(const std::string& id, const std::string& text, int timeout_ms = 2000) {
    reply result;
    if (!connection_ || !connection_->write("QUERY " + id + " " + text + "\r\n")) {
      close();
      return result;
    }
    std::string line;
    while (connection_->read_line(line, timeout_ms)) {
      auto rest = line;
      const auto verb = take_word(rest);
      if (verb == "ROW") result.rows.push_back(rest);
      if (verb == "COMPLETE") result.signature = rest;
      if (verb == "ERROR") result.error = rest;
      if (verb == "READY") {
        result.is_whole = true;
        result.state = rest.empty() ? '?' : rest[0];
        return result;
      }
    }
    close();
    return result;
  }

 private:
  std::unique_ptr<stream> connection_;
};

inline std::string describe(const reply& got) {
  if (!got.is_whole) return "no whole answer";
  if (!got.error.empty()) return "ERROR " + got.error + ", READY " + got.state;
  return "COMPLETE " + got.signature + ", " + std::to_string(got.rows.size()) + " rows, READY " + got.state;
}

// ---- the desired state ---------------------------------------------------------------------------------

struct tenant {
  std::string name, key;
  double rate = 400, burst = 400;
};

// Routes "orders-N" (primary), "stock-N" (bounded) and "book-N" (read_your_writes) to service number N.
inline json desired_state(uint64_t version, const std::vector<std::string>& services, int sync_replicas,
                          const std::vector<tenant>& tenants) {
  json routes = json::array(), list = json::array(), customers = json::array();
  int number = 0;
  for (const auto& service : services) {
    ++number;
    const auto add = [&](const std::string& name, const std::string& kind, int timeout, int target, int stale, int priority) {
      json route{{"name", "r-" + name}, {"host", name + "-" + std::to_string(number)}, {"pathPrefix", "/"},
                 {"kind", kind},        {"timeoutMs", timeout},                        {"targetLatencyMs", target},
                 {"priority", priority}, {"service", service},                         {"attempts", 2},
                 {"public", false}};
      if (stale > 0) route["maxStalenessMs"] = stale;
      routes.push_back(route);
    };
    add("orders", "primary", 1000, 400, 0, 1);
    add("stock", "bounded", 2500, 600, 1500, 2);
    add("book", "read_your_writes", 1000, 400, 2500, 2);
    list.push_back({{"name", service}, {"healthPath", "/health"}, {"connectionLimit", 34}, {"protocol", "h1"},
                    {"tls", false},    {"syncReplicas", sync_replicas}});
  }
  for (const auto& each : tenants) {
    customers.push_back({{"name", each.name}, {"accessKeys", {each.key}}, {"priority", 1}, {"ratePerS", each.rate}, {"burst", each.burst}});
  }
  return {{"version", version}, {"routes", routes}, {"services", list},
          {"limits", {{"headerBytes", 16384}, {"bodyBytes", 262144}, {"transactionIdleMs", 3000}}},
          {"tenants", customers}};
}

inline bool is_trouble_on() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string{value} != "0";
}

}  // namespace bed
