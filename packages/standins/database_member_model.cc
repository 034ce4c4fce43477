#include "standins/database_member_model.h"

#include <algorithm>

namespace bulrushlift::standin {
namespace {

/// Maximum number of entries in one answer to a pull, which bounds the size of the message.
constexpr std::size_t pull_limit = 512;

statement_rows& add_rows(statement_rows& rows, const statement_rows& more) {
  rows.insert(rows.end(), more.begin(), more.end());
  return rows;
}

}  // namespace

database_member_model::database_member_model(member_options options, time_point now)
    : options_(std::move(options)), role_(options_.role), last_contact_at_(now) {
  if (role_ != member_role::primary) return;
  term_ = term_id{1};
  primary_ = options_.target;
  append({}, now);
}

tl::unexpected<member_error> database_member_model::fail(member_error_kind kind, std::string message) const {
  return tl::unexpected(member_error{kind, std::move(message), term_, {}});
}

log_point database_member_model::point() const noexcept {
  return entries_.empty() ? log_point{} : entries_.back().point;
}

// ---------------------------------------------------------------------------
// Control requests
// ---------------------------------------------------------------------------

member_status database_member_model::status(time_point now) const {
  const auto contact = role_ == member_role::primary ? duration{} : now - last_contact_at_;
  return {options_.service,
          options_.target,
          role_,
          term_,
          point(),
          primary_,
          contact,
          options_.slots,
          static_cast<std::uint32_t>(running_.size())};
}

void database_member_model::enter_term(term_id term, std::string candidate, time_point now) {
  term_ = term;
  candidate_ = std::move(candidate);
  role_ = member_role::replica;
  primary_ = {};
  primary_address_.clear();
  last_contact_at_ = now;
  for (auto& [connection, transaction] : connections_) transaction.reset();
}

fence_answer database_member_model::fence(term_id term, const std::string& candidate, time_point now) {
  if (term > term_) enter_term(term, candidate, now);
  const bool is_granted = term == term_ && candidate == candidate_ && !candidate.empty();
  return {is_granted, term_, candidate_, point()};
}

member_result<member_status> database_member_model::promote(term_id term, const std::string& candidate,
                                                            time_point now) {
  const bool is_granted = term == term_ && candidate == candidate_ && !candidate.empty();
  const bool is_following = role_ == member_role::replica && !primary_.empty();
  if (!is_granted || is_following)
    return fail(member_error_kind::wrong_term,
                "the term is not granted to this candidate, or the member follows a primary");
  if (role_ == member_role::primary) return status(now);
  role_ = member_role::primary;
  primary_ = options_.target;
  if (options_.broken_rule != member_broken_rule::skip_barrier) append({}, now);
  return status(now);
}

member_result<member_status> database_member_model::follow(term_id term, const target_id& primary,
                                                           const std::string& address, time_point now) {
  if (primary == options_.target) return fail(member_error_kind::bad_request, "a member can't follow itself");
  if (term < term_)
    return fail(member_error_kind::wrong_term, "follow request with a lower term than the member's");
  if (term == term_ && role_ == member_role::primary) {
    return fail(member_error_kind::wrong_term, "this member is the primary of the term");
  }
  if (term > term_) enter_term(term, {}, now);
  if (primary_ != primary) last_contact_at_ = now;
  primary_ = primary;
  primary_address_ = address;
  return status(now);
}

void database_member_model::restart(time_point now) {
  connections_.clear();
  running_.clear();
  last_contact_at_ = now;
}

// ---------------------------------------------------------------------------
// Sessions
// ---------------------------------------------------------------------------

member_result<void> database_member_model::register_connection(connection_number connection) {
  if (connections_.contains(connection)) return {};
  if (connections_.size() >= options_.connections) {
    return fail(member_error_kind::too_many_connections, "connection limit reached");
  }
  connections_[connection];
  return {};
}

void database_member_model::close_connection(connection_number connection) {
  connections_.erase(connection);
  std::erase_if(running_, [&](const auto& item) { return item.second.connection == connection; });
}

member_result<void> database_member_model::check_writable(const std::optional<term_id>& term) const {
  if (!term) return fail(member_error_kind::bad_request, "a write needs a term");
  if (*term != term_)
    return fail(member_error_kind::wrong_term, "the request's term is not the member's current term");
  if (role_ != member_role::primary) return fail(member_error_kind::not_primary, "writes run on the primary");
  return {};
}

member_result<statement_ticket> database_member_model::start(connection_number connection,
                                                             execute_request request) {
  if (auto ok = register_connection(connection); !ok) return tl::unexpected(ok.error());
  if (running_.size() >= options_.slots) return fail(member_error_kind::busy, "all slots are in use");
  const statement_ticket ticket{++last_ticket_};
  running_.emplace(ticket, running_statement{connection, std::move(request)});
  return ticket;
}

member_result<execute_answer> database_member_model::finish(statement_ticket ticket, time_point now) {
  const auto node = running_.extract(ticket);
  if (node.empty()) return fail(member_error_kind::bad_request, "unknown statement ticket");
  return run(node.mapped().connection, node.mapped().request, now);
}

void database_member_model::abandon(statement_ticket ticket) { running_.erase(ticket); }

member_result<execute_answer> database_member_model::execute(connection_number connection,
                                                             execute_request request, time_point now) {
  const auto ticket = start(connection, std::move(request));
  if (!ticket) return tl::unexpected(ticket.error());
  return finish(*ticket, now);
}

member_result<execute_answer> database_member_model::run(connection_number connection,
                                                         const execute_request& request, time_point now) {
  const auto parsed = parse_statement(request.text);
  if (!parsed) return fail(member_error_kind::bad_request, parsed.error().message);
  if (request.min_point && point() < *request.min_point) {
    return fail(member_error_kind::behind, "the member's log point is below the required one");
  }
  if (!request.transaction.empty()) return run_in_transaction(connection, request, *parsed);
  if (is_write(*parsed) != request.is_write) {
    return fail(member_error_kind::bad_request,
                "the statement doesn't match the stated kind (read or write)");
  }
  if (request.is_write) return run_write(request, *parsed, now);
  key_values changes;
  auto rows = evaluate(*parsed, store_, changes);
  if (!rows) return fail(member_error_kind::statement_failed, rows.error().message);
  return execute_answer{point(), *std::move(rows), false};
}

member_result<execute_answer> database_member_model::run_write(const execute_request& request,
                                                               const statement& parsed, time_point now) {
  if (auto ok = check_writable(request.term); !ok) return tl::unexpected(ok.error());
  const key_name key{request.customer, request.idempotency_key};
  if (const auto it = entry_by_key_.find(key);
      it != entry_by_key_.end() && !request.idempotency_key.empty()) {
    const auto& entry = entries_[it->second];
    if (entry.kind != entry_kind::cancellation) return execute_answer{point(), entry.rows, true};
    return tl::unexpected(
        member_error{member_error_kind::cancelled, "the request was cancelled", term_, point()});
  }
  log_entry entry{
      {}, entry_kind::write, request.id, request.customer, request.idempotency_key, {request.text}, {}, {}};
  auto rows = evaluate(parsed, store_, entry.changes);
  if (!rows) return fail(member_error_kind::statement_failed, rows.error().message);
  entry.rows = *rows;
  append(std::move(entry), now);
  return execute_answer{point(), *std::move(rows), false};
}

member_result<database_member_model::transaction_state*> database_member_model::find_transaction(
    connection_number connection, const customer_id& customer, const std::string& name) {
  const auto it = connections_.find(connection);
  if (it == connections_.end() || !it->second || it->second->name != name ||
      it->second->customer != customer) {
    return fail(member_error_kind::unknown_transaction, "no such transaction on this connection");
  }
  return &*it->second;
}

member_result<execute_answer> database_member_model::run_in_transaction(connection_number connection,
                                                                        const execute_request& request,
                                                                        const statement& parsed) {
  if (auto ok = check_writable(request.term); !ok) return tl::unexpected(ok.error());
  const auto found = find_transaction(connection, request.customer, request.transaction);
  if (!found) return tl::unexpected(found.error());
  auto& transaction = **found;
  auto rows = evaluate(parsed, store_, transaction.changes);
  if (!rows) return fail(member_error_kind::statement_failed, rows.error().message);
  // Records the keys and prefixes that the statement reads, for the conflict check at commit. `set` reads
  // nothing.
  if (parsed.verb == statement_verb::list) transaction.prefixes_read.insert(parsed.key);
  if (parsed.verb != statement_verb::list && parsed.verb != statement_verb::set) {
    transaction.keys_read.insert(parsed.key);
  }
  if (is_write(parsed)) transaction.statements.push_back(request.text);
  if (is_write(parsed)) add_rows(transaction.rows, *rows);
  return execute_answer{point(), *std::move(rows), false};
}

bool database_member_model::is_conflicting(const transaction_state& transaction) const {
  const auto start = transaction.started_at;
  return std::any_of(transaction.keys_read.begin(), transaction.keys_read.end(),
                     [&](const std::string& key) { return store_.changed_at(key) > start; }) ||
         std::any_of(transaction.prefixes_read.begin(), transaction.prefixes_read.end(),
                     [&](const std::string& prefix) { return store_.prefix_changed_at(prefix) > start; });
}

member_result<log_point> database_member_model::begin(connection_number connection,
                                                      const transaction_request& request) {
  if (auto ok = check_writable(request.term); !ok) return tl::unexpected(ok.error());
  if (auto ok = register_connection(connection); !ok) return tl::unexpected(ok.error());
  auto& transaction = connections_[connection];
  if (transaction || request.transaction.empty()) {
    return fail(member_error_kind::bad_request, "the connection has a transaction, or the name is empty");
  }
  transaction.emplace();
  transaction->name = request.transaction;
  transaction->customer = request.customer;
  transaction->started_at = point().position;
  return point();
}

member_result<log_point> database_member_model::commit(connection_number connection,
                                                       const transaction_request& request, time_point now) {
  if (auto ok = check_writable(request.term); !ok) return tl::unexpected(ok.error());
  const auto found = find_transaction(connection, request.customer, request.transaction);
  if (!found) return tl::unexpected(found.error());
  const auto transaction = std::move(**found);
  connections_[connection].reset();
  if (is_conflicting(transaction)) {
    return fail(member_error_kind::statement_failed, "data that the transaction read has changed");
  }
  if (transaction.statements.empty()) return point();
  append({{},
          entry_kind::transaction,
          request.id,
          request.customer,
          {},
          transaction.statements,
          transaction.changes,
          transaction.rows},
         now);
  return point();
}

member_result<log_point> database_member_model::rollback(connection_number connection,
                                                         const transaction_request& request) {
  const auto found = find_transaction(connection, request.customer, request.transaction);
  if (!found) return tl::unexpected(found.error());
  connections_[connection].reset();
  return point();
}

member_result<resolve_answer> database_member_model::resolve(connection_number connection,
                                                             const resolve_request& request, time_point now) {
  if (auto ok = check_writable(request.term); !ok) return tl::unexpected(ok.error());
  if (auto ok = register_connection(connection); !ok) return tl::unexpected(ok.error());
  if (request.idempotency_key.empty())
    return fail(member_error_kind::bad_request, "the request has no idempotency key");
  const key_name key{request.customer, request.idempotency_key};
  if (!entry_by_key_.contains(key)) {
    append({{}, entry_kind::cancellation, request.id, request.customer, request.idempotency_key, {}, {}, {}},
           now);
  }
  const auto& entry = entries_[entry_by_key_.at(key)];
  return resolve_answer{entry.kind != entry_kind::cancellation, point(), entry.rows};
}

// ---------------------------------------------------------------------------
// Log and replication
// ---------------------------------------------------------------------------

void database_member_model::append(log_entry entry, time_point now) {
  entry.point = {term_, point().position.next()};
  entries_.push_back(std::move(entry));
  appended_at_.push_back(now);
  apply(entries_.back());
}

void database_member_model::apply(const log_entry& entry) {
  if (boundaries_.empty() || boundaries_.back().term != entry.point.term) boundaries_.push_back(entry.point);
  boundaries_.back() = entry.point;
  store_.apply(entry.changes, entry.point.position);
  if (!entry.idempotency_key.empty()) {
    entry_by_key_.emplace(key_name{entry.customer, entry.idempotency_key}, entry.point.position.value() - 1);
  }
}

void database_member_model::truncate(log_position last) {
  entries_.resize(last.value());
  appended_at_.resize(last.value());
  store_ = {};
  boundaries_.clear();
  entry_by_key_.clear();
  for (const auto& entry : entries_) apply(entry);
}

std::optional<pull_request> database_member_model::next_pull() const {
  if (role_ != member_role::replica || primary_.empty()) return std::nullopt;
  return pull_request{options_.target, term_, primary_, boundaries_, options_.replication_lag};
}

member_result<pull_answer> database_member_model::answer_pull(const pull_request& request,
                                                              time_point now) const {
  if (request.term != term_) return fail(member_error_kind::wrong_term, "the replica is in another term");
  if (role_ != member_role::primary)
    return fail(member_error_kind::not_primary, "this member is not the primary");
  // All entries of a term come from one primary. So two logs are equal up to the end of the newest term
  // that both contain, in the log where that term ends first.
  std::uint64_t common_length = 0;
  for (const auto& boundary : request.boundaries) {
    const auto own = std::find_if(boundaries_.begin(), boundaries_.end(), [&](const log_point& candidate) {
      return candidate.term == boundary.term;
    });
    if (own == boundaries_.end()) continue;
    common_length = std::min(own->position, boundary.position).value();
  }
  pull_answer answer{term_, options_.target, {}};
  for (auto i = common_length; i < entries_.size() && answer.entries.size() < pull_limit; ++i) {
    if (now - appended_at_[i] < request.minimum_age) break;
    answer.entries.push_back(entries_[i]);
  }
  return answer;
}

void database_member_model::accept_pull(const pull_answer& answer, time_point now) {
  const bool is_followed = role_ == member_role::replica && answer.primary == primary_;
  if (answer.term != term_ || !is_followed) return;
  last_contact_at_ = now;
  for (const auto& entry : answer.entries) {
    const auto index = entry.point.position.value() - 1;
    if (index > entries_.size()) return;  // The log was truncated after the request was sent.
    if (index < entries_.size()) {
      if (entries_[index].point == entry.point) continue;
      truncate(log_position{index});
    }
    entries_.push_back(entry);
    appended_at_.push_back(now);
    apply(entry);
  }
}

}  // namespace bulrushlift::standin
