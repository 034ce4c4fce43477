#include "standins/session_database.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace bulrushlift {
namespace {

std::string take_word(std::string_view& rest) {
  const auto end = rest.find(' ');
  std::string word{rest.substr(0, end)};
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return word;
}

std::string complete_line(std::string_view signature) { return fmt::format("COMPLETE {}\r\n", signature); }
std::string error_line(std::string_view code) { return fmt::format("ERROR {} stand-in\r\n", code); }

}  // namespace

struct session_database::member_state {
  std::string id;
  net_address address;
  std::uint64_t term = 1;
  std::uint64_t position = 1;
  std::map<std::string, std::string> data;
  std::uint64_t held_term = 0;  ///< Of the newest PAUSE.
  bool is_paused = false;
  std::unique_ptr<tcp_listener> listener;
};

struct session_database::connection : public tcp_stream_observer {
  connection(session_database& owner, member_state& served_member, std::uint64_t number)
      : database(owner), member(served_member), id(number), stream(owner.loop_, *this) {}

  void on_bytes(std::string_view bytes) override {
    input += bytes;
    for (auto end = input.find("\r\n"); end != std::string::npos; end = input.find("\r\n")) {
      if (unconfirmed) return;
      const auto line = input.substr(0, end);
      input.erase(0, end + 2);
      database.on_line(*this, line);
      if (!stream.is_open()) return;
    }
  }
  void on_closed(const error& /*reason*/) override { database.close(*this); }

  session_database& database;
  member_state& member;
  std::uint64_t id;
  tcp_stream stream;
  std::string input;
  std::string customer;
  char state = 'I';  ///< As in READY: I (idle), T (in a transaction) or E (failed transaction).
  bool is_read_only = false;
  std::uint64_t transaction = 0;  ///< As in `database_run`.
  std::map<std::string, std::string> values;
  std::map<std::string, std::string> prepared;  ///< Kind (READ or WRITE) of each prepared statement, by name.
  std::map<std::string, std::string> writes;    ///< Uncommitted writes of the open transaction.
  /// Position of the commit whose answer waits for a replica.
  std::optional<std::uint64_t> unconfirmed = std::nullopt;
};

session_database::session_database(event_loop& loop, std::string service, std::vector<std::string> members)
    : loop_(loop), service_(std::move(service)), primary_(members.front()) {
  for (const auto& id : members) {
    auto& member = members_[id];
    member = std::make_unique<member_state>();
    member->id = id;
    member->listener = std::make_unique<tcp_listener>(loop_, [this, state = member.get()](int handle) {
      const auto number = ++last_connection_;
      auto accepted = std::make_unique<connection>(*this, *state, number);
      if (accepted->stream.adopt(handle)) connections_.emplace(number, std::move(accepted));
    });
    const auto bound = member->listener->listen({"127.0.0.1", 0});
    if (!bound) throw std::runtime_error{bound.error().message};
    member->address = *bound;
  }
}

session_database::~session_database() = default;

std::string session_database::address_of(const std::string& member) const {
  return members_.at(member)->address.str();
}

std::vector<std::string> session_database::members() const {
  std::vector<std::string> ids;
  for (const auto& [id, member] : members_) ids.push_back(id);
  return ids;
}

void session_database::promote(const std::string& member) {
  primary_ = member;
  members_.at(member)->term = ++term_;
  for (const auto& [id, each] : members_) each->is_paused = false;
  replicate();
}

bool session_database::is_paused(const std::string& member) const { return members_.at(member)->is_paused; }

void session_database::close_connections(const std::string& member) {
  std::vector<connection*> open;
  for (const auto& [number, each] : connections_) {
    if (each->member.id == member) open.push_back(each.get());
  }
  for (auto* each : open) close(*each);
}

void session_database::set_replicating(bool is_replicating) {
  is_replicating_ = is_replicating;
  replicate();
}

std::string session_database::value_of(const std::string& item) const {
  const auto& data = members_.at(primary_)->data;
  const auto it = data.find(item);
  return it == data.end() ? std::string{} : it->second;
}

void session_database::replicate() {
  if (!is_replicating_) return;
  const auto& source = *members_.at(primary_);
  for (const auto& [id, member] : members_) {
    if (member->is_paused) continue;
    member->term = source.term;
    member->position = source.position;
    member->data = source.data;
  }
  answer_commits();
}

bool session_database::has_replica(const member_state& source, std::uint64_t position) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& each) {
    const auto& member = *each.second;
    return &member != &source && member.term == source.term && member.position >= position;
  });
}

void session_database::answer_commits() {
  std::vector<connection*> waiting;
  for (const auto& [number, each] : connections_) {
    if (each->unconfirmed) waiting.push_back(each.get());
  }
  for (auto* each : waiting) {
    if (!each->unconfirmed) continue;
    if (each->member.id != primary_) {
      close(*each);
    } else if (has_replica(each->member, *each->unconfirmed)) {
      each->unconfirmed.reset();
      each->stream.write(complete_line("signed") + ready_line(*each));
      each->on_bytes({});
    }
  }
}

void session_database::run_control(member_state& member, const std::string& verb, std::uint64_t term) {
  if (verb == "PAUSE" && term > term_) {
    member.held_term = std::max(member.held_term, term);
    member.is_paused = member.id != primary_;
  }
  if (verb != "RESUME") return;
  member.is_paused = false;
  replicate();
}

std::optional<std::string> session_database::answer_control(member_state& member, const std::string& verb,
                                                            std::string_view term) {
  const auto number = term.empty() ? 0 : std::stoull(std::string{term});
  const auto fate = decide_control_ ? decide_control_(member.id, verb) : control_fate{};
  if (fate.is_busy) return error_line("BUSY");
  if (fate.delay > duration::zero()) {
    loop_.schedule(fate.delay, [this, &member, verb, number] { run_control(member, verb, number); });
    return std::nullopt;
  }
  run_control(member, verb, number);
  return fmt::format("ROW {} {} {}.{} {} 0 0 1\r\n", member.id == primary_ ? "primary" : "replica",
                     member.term, member.term, member.position, member.held_term) +
         complete_line("-");
}

void session_database::close(connection& closed) {
  closed.stream.close();
  const auto it = connections_.find(closed.id);
  if (it == connections_.end()) return;
  // The connection may be running its own callback, so it is destroyed later, by the event loop.
  std::shared_ptr<connection> last{std::move(it->second)};
  connections_.erase(it);
  loop_.post([last] {});
}

std::string session_database::ready_line(const connection& from) const {
  return fmt::format("READY {} {}.{}\r\n", from.state, from.member.term, from.member.position);
}

void session_database::on_line(connection& from, std::string_view line) {
  if (faults_[from.member.id].is_silent) return;
  const auto verb = take_word(line);
  if (verb == "START") {
    on_start(from, line);
  } else if (verb == "QUERY") {
    on_query(from, line);
  } else {
    close(from);
  }
}

void session_database::on_start(connection& from, std::string_view rest) {
  const auto service = take_word(rest);
  from.customer = take_word(rest);
  const auto expected = take_word(rest);
  if (service != service_ || (!expected.empty() && expected != from.member.id)) {
    from.stream.write(error_line("MISROUTED"));
    close(from);
    return;
  }
  from.stream.write(ready_line(from));
}

void session_database::on_query(connection& from, std::string_view rest) {
  const auto id = take_word(rest);
  auto argument = rest;
  const auto verb = take_word(argument);
  if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME") {
    const auto status =
        is_failed(from, id, verb) ? error_line("FAILED") : answer_control(from.member, verb, argument);
    if (status) from.stream.write(*status + ready_line(from));
    return;
  }
  const auto answer = run(from, id, std::string{rest});
  if (from.unconfirmed) return;
  auto& faults = faults_[from.member.id];
  if (id != "-" && faults.lost_answers > 0) {
    --faults.lost_answers;
    close(from);
    return;
  }
  from.stream.write(answer + ready_line(from));
}

// A target that fails a statement still runs those that were sent behind it.
bool session_database::is_failed(const connection& from, const std::string& id, std::string_view verb) {
  auto& faults = faults_[from.member.id];
  if (verb == "READ" && id != "-" && faults.failed_reads > 0) return faults.failed_reads-- > 0;
  if ((verb == "SET" || verb == "RESET") && faults.failed_setups > 0) return faults.failed_setups-- > 0;
  return faults.failed_percent > 0 && random_() % 100 < static_cast<std::uint64_t>(faults.failed_percent);
}

std::string session_database::run(connection& from, const std::string& id, std::string text) {
  std::string_view rest{text};
  if (rest.starts_with("AFTER ")) {
    take_word(rest);
    const auto point = take_word(rest);
    const auto dot = point.find('.');
    const std::pair<std::uint64_t, std::uint64_t> required{std::stoull(point.substr(0, dot)),
                                                           std::stoull(point.substr(dot + 1))};
    if (std::pair{from.member.term, from.member.position} < required) return error_line("LAGGING");
    text = std::string{rest};
    rest = text;
  }
  const auto verb = take_word(rest);
  if (is_failed(from, id, verb)) {
    if (from.state == 'T') from.state = 'E';
    return error_line("FAILED");
  }
  if (verb == "BEGIN") {
    auto& faults = faults_[from.member.id];
    if (faults.refused_begins > 0 && id != "-") {
      --faults.refused_begins;
      return error_line("LAGGING");
    }
    from.is_read_only = rest == "READ";
    if (!from.is_read_only && from.member.id != primary_) return error_line("READONLY");
    from.state = 'T';
    from.transaction = ++last_transaction_;
    return complete_line("-");
  }
  if (verb == "ROLLBACK") {
    from.state = 'I';
    from.writes.clear();
    return complete_line("-");
  }
  if (verb == "COMMIT") return commit(from, id);
  if (verb == "RESET") {
    from.values.clear();
    from.prepared.clear();
    return complete_line("-");
  }
  if (verb == "SET") {
    const auto name = take_word(rest);
    from.values[name] = std::string{rest};
    return complete_line("-");
  }
  if (verb == "PREPARE") {
    const auto name = take_word(rest);
    from.prepared[name] = take_word(rest);
    return complete_line("-");
  }
  return run_data(from, id, text);
}

std::string session_database::run_data(connection& from, const std::string& id, const std::string& text) {
  if (from.state == 'E') return error_line("MALFORMED");
  std::string_view rest{text};
  auto verb = take_word(rest);
  if (verb == "EXECUTE") {
    const auto it = from.prepared.find(take_word(rest));
    if (it == from.prepared.end()) return error_line("UNDEFINED");
    verb = it->second;
  }
  const auto item = take_word(rest);
  const bool requires_primary = verb == "WRITE" || (from.state == 'T' && !from.is_read_only);
  if (requires_primary && from.member.id != primary_) {
    if (from.state == 'T') from.state = 'E';
    return error_line("READONLY");
  }
  runs_.push_back({from.member.id, from.customer, id, text, from.values, from.state == 'T', from.id,
                   from.state == 'T' ? from.transaction : 0});
  if (verb == "WRITE") {
    from.writes[item] = std::string{rest};
    if (from.state == 'I') return commit(from, id);
    return complete_line("signed");
  }
  const auto written = from.writes.find(item);
  const auto& data = from.member.data;
  const auto stored = data.find(item);
  const auto value = written != from.writes.end() ? written->second
                     : stored != data.end()       ? stored->second
                                                  : std::string{};
  return fmt::format("ROW {}\r\n", value) + complete_line("signed");
}

std::string session_database::commit(connection& from, const std::string& id) {
  if (from.state == 'E') from.writes.clear();
  const bool is_committed = from.writes.empty() || from.member.id == primary_;
  if (from.state == 'T')
    runs_.push_back(
        {from.member.id, from.customer, id, "COMMIT", from.values, true, from.id, from.transaction});
  from.state = 'I';
  const auto writes = std::exchange(from.writes, {});
  if (!is_committed) return error_line("READONLY");
  if (!writes.empty()) {
    for (const auto& [item, value] : writes) from.member.data[item] = value;
    ++from.member.position;
    if (on_commit_) on_commit_({from.member.id, id, writes});
    replicate();
    if (is_synchronous_ && !has_replica(from.member, from.member.position)) {
      from.unconfirmed = from.member.position;
    }
  }
  return complete_line("signed");
}

}  // namespace bulrushlift
