#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "database/pool_controller.h"
#include "database/transaction_table.h"

/// @file
/// One pool and the transaction table with a simulated target. The harness checks their invariants and
/// is used by the matrix test and the fuzz test.

namespace bulrushlift {

/// Connects a pool and a transaction table with a simulated target and records violated rules.
class transaction_harness {
 public:
  enum class request_kind { single, begin, statement, commit, rollback };
  /// One request of a caller, or a rollback that the table sent after the idle limit.
  struct request {
    request_kind kind = request_kind::single;
    std::size_t transaction = 0;
    bool is_timeout_rollback = false;
    std::uint32_t ends = 0;
    std::optional<error> cause = std::nullopt;
    bool has_run_at_target = false;
  };
  enum class target_state { open, committed, rolled_back };
  struct transaction {
    std::optional<transaction_id> id;   ///< Nothing until the begin request is started.
    std::optional<target_state> state;  ///< State at the target; nothing until it has begun there.
  };

  transaction_harness(pool_options pool, transaction_options table)
      : pool_(pool), table_(vm_id{"entry-1"}, incarnation_id{1}, table) {
    apply(pool_.start(now_, 0));
  }

  /// Starts a request outside of a transaction.
  /// @return its ticket, or nothing if it was refused.
  std::optional<std::uint64_t> start_single() {
    const auto ticket = add({request_kind::single});
    auto started = pool_.start_request(ticket_id{ticket}, pool_use::single, now_ + request_time, now_);
    if (!started) return refuse(ticket, started.error());
    apply(*started);
    return ticket;
  }

  /// Begins a transaction.
  /// @return the ticket of the begin request, or nothing if it was refused.
  std::optional<std::uint64_t> begin() {
    transactions_.emplace_back();
    const auto ticket = add({request_kind::begin, transactions_.size() - 1});
    if (auto allowed = table_.check_begin(customer); !allowed) return refuse(ticket, allowed.error());
    auto started = pool_.start_request(ticket_id{ticket}, pool_use::bind, now_ + request_time, now_);
    if (!started) return refuse(ticket, started.error());
    const auto connection = std::get<send_request>(started->front()).connection;
    transactions_.back().id =
        table_.begin(customer, service, term_, {target, connection}, ticket_id{ticket}, now_).value();
    apply(*started);
    return ticket;
  }

  /// Starts a request of a transaction.
  /// @return its ticket, or nothing if it was refused or the transaction was never begun.
  std::optional<std::uint64_t> step(std::size_t index, request_kind kind) {
    const auto& id = transactions_.at(index).id;
    if (!id) return std::nullopt;
    const auto ticket = add({kind, index});
    const auto binding = table_.start_step(*id, step_of(kind), ticket_id{ticket}, now_);
    if (!binding) return refuse(ticket, binding.error());
    send_bound(ticket, *id, binding->connection);
    return ticket;
  }

  void open(connection_id connection) {
    if (opening_.erase(connection) == 0) return;
    open_.insert(connection);
    apply(pool_.on_opened(connection, now_, 0));
  }
  void open_all() {
    while (!opening_.empty()) open(*opening_.begin());
  }
  void fail_open(connection_id connection) {
    if (opening_.erase(connection) == 0) return;
    apply(pool_.on_open_failed(connection, now_, 0));
  }
  void reset(connection_id connection) {
    close_at_target(connection);
    apply(pool_.on_reset(connection, now_, 0));
  }

  /// The target runs the request that is pending on the connection and answers it.
  void answer(connection_id connection, step_result value) {
    const auto it = sent_.find(connection);
    if (it == sent_.end()) return;
    const auto [correlation, ticket] = it->second;
    sent_.erase(it);
    last_ended_correlation_ = correlation;
    // A request that has run before is answered with its result.
    if (ticket && requests_.at(*ticket).has_run_at_target) value = step_result::confirmed;
    if (ticket) run_at_target(connection, *ticket, value);
    deliver(connection, correlation, ticket, value);
  }
  /// The target runs the request that is pending on the connection, but the answer is lost.
  void run_silently(connection_id connection) {
    const auto it = sent_.find(connection);
    if (it == sent_.end() || !it->second.second) return;
    run_at_target(connection, *it->second.second, step_result::confirmed);
  }
  /// The answer to an earlier request arrives on the connection.
  void answer_late(connection_id connection) {
    deliver(connection, last_ended_correlation_, std::nullopt, {});
  }

  void change_term() {
    term_ = term_.next();
    apply(table_.on_term_changed(service, term_, now_));
  }
  void drain() { apply(table_.end_all(now_)); }
  void set_leaving(bool leaving) { apply(pool_.set_leaving(leaving, now_, 0)); }
  void advance(duration span) {
    now_ += span;
    apply(pool_.on_timer(now_, 0));
    apply(table_.on_timer(now_));
  }

  /// The target detects all closed connections and rolls back.
  /// @param runs_orphaned_requests whether requests that were pending on them run before that.
  void detect_closed_connections(bool runs_orphaned_requests) {
    for (const auto& [connection, ticket] : orphaned_requests_) {
      if (runs_orphaned_requests) run_at_target(connection, ticket, step_result::confirmed);
    }
    orphaned_requests_.clear();
    for (const auto& connection : closed_) roll_back_at_target(connection);
  }

  /// Checks the rules that hold after the end of all requests.
  void check_end() {
    for (const auto& [ticket, it] : requests_) {
      if (!it.is_timeout_rollback && it.ends != 1)
        report_violation("request " + std::to_string(ticket) + " ended more or less than once");
      if (it.is_timeout_rollback || it.kind == request_kind::single || !it.cause) continue;
      const bool is_said_lost =
          it.cause->kind == error_kind::transaction_lost && it.cause->request_outcome() == outcome::not_run;
      const bool is_committed = transactions_[it.transaction].state == target_state::committed;
      if (is_said_lost && is_committed) report_violation("a committed transaction was reported as lost");
      if (it.has_run_at_target && it.kind == request_kind::commit &&
          it.cause->request_outcome() == outcome::not_run) {
        report_violation("a commit that ran was reported as not run");
      }
    }
  }

  [[nodiscard]] const std::set<std::string>& violations() const noexcept { return violations_; }
  [[nodiscard]] const request& request_of(std::uint64_t ticket) const { return requests_.at(ticket); }
  [[nodiscard]] const std::vector<transaction>& transactions() const noexcept { return transactions_; }
  [[nodiscard]] const std::set<connection_id>& opening() const noexcept { return opening_; }
  [[nodiscard]] const std::set<connection_id>& opened() const noexcept { return open_; }
  /// @return the connection on which the request is pending; nothing if it is not.
  [[nodiscard]] std::optional<connection_id> connection_of(std::uint64_t ticket) const {
    for (const auto& [connection, waiting] : sent_) {
      if (waiting.second == ticket) return connection;
    }
    return std::nullopt;
  }
  [[nodiscard]] const pool_controller& pool() const noexcept { return pool_; }
  [[nodiscard]] const transaction_table& table() const noexcept { return table_; }

  static constexpr duration request_time = std::chrono::seconds{1};

 private:
  static transaction_step step_of(request_kind kind) {
    if (kind == request_kind::commit) return transaction_step::commit;
    return kind == request_kind::rollback ? transaction_step::rollback : transaction_step::statement;
  }

  void report_violation(std::string rule) { violations_.insert(std::move(rule)); }

  std::uint64_t add(request it) {
    requests_[++last_ticket_] = it;
    return last_ticket_;
  }
  std::nullopt_t refuse(std::uint64_t ticket, error cause) {
    end(ticket, std::move(cause));
    return std::nullopt;
  }
  void end(std::uint64_t ticket, std::optional<error> cause) {
    auto& it = requests_.at(ticket);
    ++it.ends;
    const bool is_commit = it.kind == request_kind::commit;
    if (is_commit && !cause && !it.has_run_at_target)
      report_violation("a commit that did not run was confirmed");
    it.cause = std::move(cause);
  }

  void send_bound(std::uint64_t ticket, const transaction_id& id, connection_id connection) {
    auto started = pool_.start_bound_request(connection, ticket_id{ticket}, now_ + request_time, now_);
    if (started) {
      apply(*started);
    } else {
      report(ticket, id, step_result::not_sent, started.error());
    }
  }

  void report(std::uint64_t ticket, const transaction_id& id, step_result value, std::optional<error> cause) {
    if (requests_.at(ticket).is_timeout_rollback) {
      apply(table_.on_rollback_result(id, value, now_));
    } else {
      apply(table_.on_step_result(id, ticket_id{ticket}, value, std::move(cause), now_));
    }
  }

  void on_result(std::uint64_t ticket, step_result value) {
    const auto& it = requests_.at(ticket);
    if (it.kind == request_kind::single) {
      end(ticket, std::nullopt);
      return;
    }
    std::optional<error> cause = std::nullopt;
    if (value == step_result::failed) cause = error{error_kind::statement_failed, "failed"};
    report(ticket, *transactions_[it.transaction].id, value, std::move(cause));
  }

  void deliver(connection_id connection, correlation_id correlation, std::optional<std::uint64_t> ticket,
               step_result value) {
    const auto actions = pool_.on_answer(connection, correlation, now_, 0);
    for (const auto& action : actions) {
      const auto* it = std::get_if<deliver_answer>(&action);
      if (it == nullptr) continue;
      if (!ticket || it->ticket != ticket_id{*ticket}) report_violation("an answer reached another request");
      on_result(it->ticket.value(), value);
    }
    apply(actions);
  }

  void apply(const pool_actions& actions) {
    for (const auto& action : actions) {
      if (const auto* it = std::get_if<open_connection>(&action)) opening_.insert(it->connection);
      if (const auto* it = std::get_if<send_request>(&action)) on_send(*it);
      if (const auto* it = std::get_if<send_probe>(&action))
        sent_[it->connection] = {it->correlation, std::nullopt};
      if (const auto* it = std::get_if<close_connection>(&action)) close_at_target(it->connection);
      if (const auto* it = std::get_if<fail_request>(&action))
        on_result(it->ticket.value(), step_result::lost);
      if (const auto* it = std::get_if<binding_lost>(&action)) {
        apply(table_.on_connection_lost({target, it->connection}, now_));
      }
    }
    check_connection_limit();
  }

  void apply(const transaction_actions& actions) {
    for (const auto& action : actions) {
      if (const auto* it = std::get_if<release_binding>(&action))
        apply(pool_.release(it->binding.connection, now_, 0));
      if (const auto* it = std::get_if<discard_binding>(&action))
        apply(pool_.discard(it->binding.connection, now_, 0));
      if (const auto* it = std::get_if<answer_step>(&action)) end(it->ticket.value(), it->cause);
      if (const auto* it = std::get_if<send_rollback>(&action)) {
        request rollback_request{request_kind::rollback, index_of(it->transaction)};
        rollback_request.is_timeout_rollback = true;
        send_bound(add(rollback_request), it->transaction, it->binding.connection);
      }
    }
  }

  void on_send(const send_request& it) {
    if (sent_.contains(it.connection)) report_violation("two requests on one connection");
    sent_[it.connection] = {it.correlation, it.ticket.value()};
    const auto& sent = requests_.at(it.ticket.value());
    const auto bound = bound_.find(it.connection);
    const bool is_begin = sent.kind == request_kind::single || sent.kind == request_kind::begin;
    const bool is_of_other_transaction =
        bound != bound_.end() && (is_begin || bound->second != sent.transaction);
    if (is_of_other_transaction) report_violation("a request on a connection with another open transaction");
    const auto view = pool_.view();
    if (view.running > view.slots) report_violation("more requests than slots");
  }

  void check_connection_limit() {
    std::set<connection_id> connections = opening_;
    connections.insert(open_.begin(), open_.end());
    if (connections.size() > pool_.size_limit()) report_violation("more connections than half of the limit");
  }

  void close_at_target(connection_id connection) {
    opening_.erase(connection);
    open_.erase(connection);
    closed_.insert(connection);
    const auto it = sent_.find(connection);
    if (it == sent_.end()) return;
    last_ended_correlation_ = it->second.first;
    if (it->second.second) orphaned_requests_.emplace_back(connection, *it->second.second);
    sent_.erase(it);
  }

  void run_at_target(connection_id connection, std::uint64_t ticket, step_result value) {
    auto& it = requests_.at(ticket);
    if (it.has_run_at_target) return;
    const auto bound = bound_.find(connection);
    if (value == step_result::refused) roll_back_at_target(connection);
    if (value != step_result::confirmed) return;
    it.has_run_at_target = true;
    if (it.kind == request_kind::begin) {
      bound_[connection] = it.transaction;
      transactions_[it.transaction].state = target_state::open;
    } else if (it.kind == request_kind::commit && bound != bound_.end()) {
      transactions_[bound->second].state = target_state::committed;
      bound_.erase(bound);
    } else if (it.kind == request_kind::rollback) {
      roll_back_at_target(connection);
    }
  }

  void roll_back_at_target(connection_id connection) {
    const auto bound = bound_.find(connection);
    if (bound == bound_.end()) return;
    transactions_[bound->second].state = target_state::rolled_back;
    bound_.erase(bound);
  }

  std::size_t index_of(const transaction_id& id) const {
    for (std::size_t i = 0; i < transactions_.size(); ++i) {
      if (transactions_[i].id == id) return i;
    }
    return transactions_.size();
  }

  static inline const customer_id customer{"acme"};
  static inline const service_id service{"orders"};
  static inline const target_id target{"t1"};

  time_point now_{std::chrono::seconds{1'000}};
  term_id term_{1};
  pool_controller pool_;
  transaction_table table_;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, request> requests_;
  std::vector<transaction> transactions_;
  std::set<connection_id> opening_;
  std::set<connection_id> open_;
  std::set<connection_id> closed_;
  /// Requests and probes that the target has not answered. A probe has no ticket.
  std::map<connection_id, std::pair<correlation_id, std::optional<std::uint64_t>>> sent_;
  correlation_id
      last_ended_correlation_;  ///< Of the last request that was answered or whose connection was closed.
  /// Requests that were pending on connections when these were closed.
  std::vector<std::pair<connection_id, std::uint64_t>> orphaned_requests_;
  /// Transactions that are open at the target.
  std::map<connection_id, std::size_t> bound_;
  std::set<std::string> violations_;
};

}  // namespace bulrushlift
