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
/// One member of a database group as a state machine without sockets, threads or a clock.
///
/// The `now` of each call is the member's local time. The log, the current term, the candidate and
/// the role are durable; connections, transactions and running statements are lost in `restart`.

namespace bulrushlift::standin {

/// For tests only: makes a member violate one rule, to show that the checks detect it.
enum class member_broken_rule { none, skip_barrier };

struct member_options {
  service_id service;
  target_id target;
  /// A primary starts in term 1 and appends a barrier. A replica starts in term 0 and follows no primary.
  member_role role = member_role::replica;
  std::uint32_t slots = 2;
  std::uint32_t connections = 16;
  duration replication_lag{};
  member_broken_rule broken_rule = member_broken_rule::none;
};

/// Identifies a connection. Chosen by the caller and never reused.
using connection_number = number_id<struct connection_number_tag>;
/// Identifies a running statement.
using statement_ticket = number_id<struct statement_ticket_tag>;

class database_member_model {
 public:
  database_member_model(member_options options, time_point now);

  // Control requests.

  [[nodiscard]] member_status status(time_point now) const;
  /// Enters `term` for `candidate` if it is higher than the current term. A primary becomes a replica and
  /// open transactions are lost.
  /// @return the current term and its candidate; accepted if they are the ones of the request.
  [[nodiscard]] fence_answer fence(term_id term, const std::string& candidate, time_point now);
  /// Makes the member the primary of `term`. Has no effect if it already is.
  /// @return the status, or `wrong_term` unless `term` is current and granted to `candidate`, and the member
  ///     follows no other primary.
  [[nodiscard]] member_result<member_status> promote(term_id term, const std::string& candidate,
                                                     time_point now);
  /// Makes the member a replica of `primary` in `term`, which may be higher than its current term.
  /// @return the status, `wrong_term` if `term` is lower than the current one or this member is its primary,
  ///     or `bad_request` if `primary` is this member.
  [[nodiscard]] member_result<member_status> follow(term_id term, const target_id& primary,
                                                    const std::string& address, time_point now);

  // Sessions. A connection counts against the limit from its first session request on.

  /// Ends the connection, rolls back its transaction and discards its running statements.
  void close_connection(connection_number connection);

  /// Takes a slot for a statement.
  /// @return a ticket for `finish`, or `busy` or `too_many_connections`.
  [[nodiscard]] member_result<statement_ticket> start(connection_number connection, execute_request request);
  /// Runs the statement, with all its effects, and frees its slot.
  [[nodiscard]] member_result<execute_answer> finish(statement_ticket ticket, time_point now);
  /// Frees the slot of a statement without running it.
  void abandon(statement_ticket ticket);
  /// Calls `start` and then `finish`.
  [[nodiscard]] member_result<execute_answer> execute(connection_number connection, execute_request request,
                                                      time_point now);

  [[nodiscard]] member_result<log_point> begin(connection_number connection,
                                               const transaction_request& request);
  /// Commits the transaction, or fails with `statement_failed` if data that it read has changed since it
  /// began. The transaction ends in both cases.
  [[nodiscard]] member_result<log_point> commit(connection_number connection,
                                                const transaction_request& request, time_point now);
  [[nodiscard]] member_result<log_point> rollback(connection_number connection,
                                                  const transaction_request& request);
  /// Determines the outcome of the write with an idempotency key. If the log has no entry for the key, a
  /// cancellation is appended, so that the write can't run later.
  /// @return the recorded result, or that the request is cancelled.
  [[nodiscard]] member_result<resolve_answer> resolve(connection_number connection,
                                                      const resolve_request& request, time_point now);

  // Replication.

  /// @return the next request to the primary, or nothing if this member follows no primary.
  [[nodiscard]] std::optional<pull_request> next_pull() const;
  [[nodiscard]] member_result<pull_answer> answer_pull(const pull_request& request, time_point now) const;
  /// Appends the entries of an answer; entries of the log that differ from them are truncated first.
  /// Answers may arrive late, repeatedly or out of order.
  void accept_pull(const pull_answer& answer, time_point now);

  /// Simulates a crash and restart of the process.
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
  [[nodiscard]] member_result<void> register_connection(connection_number connection);
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
  time_point last_contact_at_;
  std::vector<log_entry> entries_;
  std::vector<time_point> appended_at_;  ///< Local time at which each element of `entries_` was appended.
  std::vector<log_point> boundaries_;    ///< Last entry of each term, oldest first.
  database_store store_;
  std::map<key_name, std::size_t> entry_by_key_;  ///< Index in `entries_`, by customer and idempotency key.
  std::map<connection_number, std::optional<transaction_state>> connections_;
  std::map<statement_ticket, running_statement> running_;
  std::uint64_t last_ticket_ = 0;
};

}  // namespace bulrushlift::standin
