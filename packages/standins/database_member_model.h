#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "standins/database_member_messages.h"
#include "standins/database_store.h"

/// @file
/// One member of a database group as a state machine without sockets, threads or clock.
///
/// Each call takes the member's own time. The log, the current term, the candidate and the
/// role are durable; connections, transactions and slots end with `restart`.

namespace bulrushlift::standin {

/// Test-only: makes a member break one rule, to prove that the checks notice.
enum class member_broken_rule { none, skip_barrier };

struct member_options {
  service_id service;
  target_id target;
  /// The primary starts in term 1 with a barrier, replicas start in term 0 and follow nobody.
  member_role role = member_role::replica;
  std::uint32_t slots = 2;
  std::uint32_t connections = 16;
  duration replication_lag{};
  member_broken_rule broken_rule = member_broken_rule::none;
};

/// Names one connection; chosen by the caller, never reused.
using connection_number = number_id<struct connection_number_tag>;
/// Names one running statement.
using statement_ticket = number_id<struct statement_ticket_tag>;

class database_member_model {
 public:
  database_member_model(member_options options, time_point now);

  // Control requests.

  [[nodiscard]] member_status status(time_point now) const;
  [[nodiscard]] fence_answer fence(term_id term, const std::string& candidate, time_point now);
  /// @return the status, or `wrong_term` unless this term was granted to this candidate.
  [[nodiscard]] member_result<member_status> promote(term_id term, const std::string& candidate,
                                                     time_point now);
  /// @return the status, or `wrong_term` for a lower term or on the primary of `term`.
  [[nodiscard]] member_result<member_status> follow(term_id term, const target_id& primary,
                                                    const std::string& address, time_point now);

  // Sessions. A connection counts against the limit from its first session request on.

  /// Ends the connection; its transaction is rolled back.
  void close_connection(connection_number connection);

  /// Takes a slot for a statement.
  /// @return a ticket for `finish`, or why the statement can't run.
  [[nodiscard]] member_result<statement_ticket> start(connection_number connection, execute_request request);
  /// Runs the statement and frees its slot. All effects happen here.
  [[nodiscard]] member_result<execute_answer> finish(statement_ticket ticket, time_point now);
  /// Frees the slot of a statement that will not run.
  void abandon(statement_ticket ticket);
  /// `start` and `finish` at once.
  [[nodiscard]] member_result<execute_answer> execute(connection_number connection, execute_request request,
                                                      time_point now);

  [[nodiscard]] member_result<log_point> begin(connection_number connection,
                                               const transaction_request& request);
  /// Commits if nothing that the transaction read has changed since; else `statement_failed`.
  /// The transaction has ended in either case.
  [[nodiscard]] member_result<log_point> commit(connection_number connection,
                                                const transaction_request& request, time_point now);
  [[nodiscard]] member_result<log_point> rollback(connection_number connection,
                                                  const transaction_request& request);
  /// @return the recorded result; without one, records a cancellation first.
  [[nodiscard]] member_result<resolve_answer> resolve(connection_number connection,
                                                      const resolve_request& request, time_point now);

  // Replication.

  /// @return the next request to the primary, or nothing if this member follows none.
  [[nodiscard]] std::optional<pull_request> next_pull() const;
  [[nodiscard]] member_result<pull_answer> answer_pull(const pull_request& request, time_point now) const;
  /// Takes over entries. Late, repeated and reordered answers are harmless.
  void accept_pull(const pull_answer& answer, time_point now);

  /// The process died and started again.
  void restart(time_point now);

  void set_replication_lag(duration lag) noexcept { options_.replication_lag = lag; }

  [[nodiscard]] log_point point() const noexcept;
  [[nodiscard]] term_id term() const noexcept { return term_; }
  [[nodiscard]] member_role role() const noexcept { return role_; }
  [[nodiscard]] const target_id& target() const noexcept { return options_.target; }
  [[nodiscard]] const target_id& primary() const noexcept { return primary_; }
  [[nodiscard]] const std::string& primary_address() const noexcept { return primary_address_; }
  [[nodiscard]] const std::vector<log_entry>& entries() const noexcept { return entries_; }
  [[nodiscard]] const database_store& store() const noexcept { return store_; }

 private:
  struct transaction_state {
    std::string name;
    customer_id customer;
    key_values changes;
    std::vector<std::string> statements;
    statement_rows rows;
    log_position started_at;
    std::set<std::string> keys_read;
    std::set<std::string> prefixes_read;
  };
  struct running_statement {
    connection_number connection;
    execute_request request;
  };
  using key_name = std::pair<customer_id, std::string>;

  [[nodiscard]] tl::unexpected<member_error> fail(member_error_kind kind, std::string message) const;
  [[nodiscard]] member_result<void> admit(connection_number connection);
  [[nodiscard]] member_result<void> check_writable(const std::optional<term_id>& term) const;
  [[nodiscard]] member_result<transaction_state*> find_transaction(connection_number connection,
                                                                   const customer_id& customer,
                                                                   const std::string& name);
  [[nodiscard]] member_result<execute_answer> run(connection_number connection,
                                                  const execute_request& request, time_point now);
  [[nodiscard]] member_result<execute_answer> run_in_transaction(connection_number connection,
                                                                 const execute_request& request,
                                                                 const statement& parsed);
  [[nodiscard]] member_result<execute_answer> run_write(const execute_request& request,
                                                        const statement& parsed, time_point now);
  [[nodiscard]] bool is_conflicting(const transaction_state& transaction) const;
  void append(log_entry entry, time_point now);
  void apply(const log_entry& entry);
  void truncate(log_position last);
  void enter_term(term_id term, std::string candidate, time_point now);

  member_options options_;
  term_id term_;
  std::string candidate_;
  member_role role_;
  target_id primary_;
  std::string primary_address_;
  time_point contact_at_;
  std::vector<log_entry> entries_;
  std::vector<time_point> appended_at_;  ///< Parallel to `entries_`, by this member's time.
  std::vector<log_point> boundaries_;    ///< Last entry of each term, oldest first.
  database_store store_;
  std::map<key_name, std::size_t> recorded_;  ///< Index of the entry of each idempotency key.
  std::map<connection_number, std::optional<transaction_state>> connections_;
  std::map<statement_ticket, running_statement> running_;
  std::uint64_t last_ticket_ = 0;
};

}  // namespace bulrushlift::standin
