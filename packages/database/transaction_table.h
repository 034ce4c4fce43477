#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "database/pool_controller.h"
#include "session/transaction_id.h"

/// @file
/// The open transactions of the services that this VM owns. A transaction is bound to one connection
/// to one target in one term, from `begin` until the target has confirmed its end or the connection is
/// closed.

namespace bulrushlift {

/// Kind of a request of a transaction.
enum class transaction_step { begin, statement, commit, rollback };

/// Settings of the transaction table.
struct transaction_options {
  /// Time without a request after which the transaction is rolled back.
  duration idle_limit = std::chrono::seconds{10};
  /// Timeout of the rollback after the idle limit.
  duration rollback_timeout = std::chrono::seconds{1};
  /// Limit of open transactions of one customer on this VM.
  std::size_t customer_limit = 64;
  /// Ended transactions whose result is kept, to answer later requests for them correctly.
  std::size_t ended_limit = 65'536;
  /// For tests only: return the connection of an idle transaction to the pool without a confirmed rollback.
  bool releases_unconfirmed = false;
};

/// The connection that a transaction is bound to.
struct transaction_binding {
  target_id target;
  connection_id connection;

  friend bool operator==(const transaction_binding&, const transaction_binding&) = default;
  friend auto operator<=>(const transaction_binding&, const transaction_binding&) = default;
};

/// Result of a request of a transaction.
enum class step_result {
  confirmed,  ///< The target executed the request.
  failed,     ///< The target answered that the request had no effect (`statement_failed`, `busy`); the
              ///< transaction stays open.
  refused,    ///< The target answered that it does not have the transaction (`wrong_term`, `not_primary`,
              ///< `unknown_transaction`).
  not_sent,   ///< Nothing was sent; the transaction stays open.
  lost,       ///< No answer, although the target may have received the request; the connection is closed.
};

/// Return the connection to its pool: `pool_controller::release`.
struct release_binding {
  transaction_binding binding;
};
/// Close the connection: `pool_controller::discard`.
struct discard_binding {
  transaction_binding binding;
};
/// Send a rollback on the connection after the idle limit, then report `on_rollback_result`.
struct send_rollback {
  transaction_id transaction;
  transaction_binding binding;
  time_point deadline;
};
/// The request of `ticket` ended: answer its caller with the error `cause`, or with success if there is none.
struct answer_step {
  ticket_id ticket;
  std::optional<error> cause;
};

using transaction_action = std::variant<release_binding, discard_binding, send_rollback, answer_step>;
using transaction_actions = std::vector<transaction_action>;

/// Error for a request of a transaction that this process does not know.
/// @return `transaction_lost` for a statement. An earlier commit of the transaction may have reached the
///     target, so the error is `outcome_unknown` for a commit and `transaction_unknown` for a rollback.
[[nodiscard]] error error_for_unknown_transaction(transaction_step step);

/// Table of the open and recently ended transactions of one process.
class transaction_table {
 public:
  transaction_table(vm_id self, incarnation_id incarnation, transaction_options options = {})
      : self_(std::move(self)), incarnation_(incarnation), options_(options) {}

  /// Adds a transaction whose begin request has just been started on the connection of `binding`. Call
  /// `check_begin` before the connection is taken: if the limit is reached, the request must not be sent.
  /// @param ticket ticket of the begin request.
  /// @return the id of the transaction, or `overloaded` if the customer's limit is reached.
  [[nodiscard]] result<transaction_id> begin(const customer_id& customer, const service_id& service,
                                             term_id term, const transaction_binding& binding,
                                             ticket_id ticket, time_point now);
  /// @return an error of kind `overloaded` if the customer's limit of open transactions is reached.
  [[nodiscard]] result<void> check_begin(const customer_id& customer) const;

  /// Reserves the transaction for a statement, commit or rollback.
  /// @param id id of the transaction, decoded for the customer of the request.
  /// @param ticket ticket of the request.
  /// @return the connection to send on; or `transaction_lost`, `transaction_unknown`, or `conflict` when
  ///     another request of the transaction runs.
  [[nodiscard]] result<transaction_binding> start_step(const transaction_id& id, transaction_step step,
                                                       ticket_id ticket, time_point now);

  /// The running request of the transaction ended. The result of a request that has already been answered
  /// is ignored. A confirmed commit must still be acknowledged by a majority before its caller gets the
  /// success.
  /// @param cause error from the target or the pool, for the caller; ignored if `value` is `confirmed`.
  [[nodiscard]] transaction_actions on_step_result(const transaction_id& id, ticket_id ticket,
                                                   step_result value, std::optional<error> cause,
                                                   time_point now);
  /// The rollback of a `send_rollback` action ended.
  [[nodiscard]] transaction_actions on_rollback_result(const transaction_id& id, step_result value,
                                                       time_point now);

  /// The connection of a transaction without a running request was closed.
  [[nodiscard]] transaction_actions on_connection_lost(const transaction_binding& binding, time_point now);

  /// Ends the transactions of lower terms, which can no longer commit.
  [[nodiscard]] transaction_actions on_term_changed(const service_id& service, term_id term, time_point now);

  /// Rolls back the transactions whose idle limit is over. To be called at `next_timer`.
  [[nodiscard]] transaction_actions on_timer(time_point now);

  /// Ends all transactions at the end of the drain time.
  [[nodiscard]] transaction_actions end_all(time_point now);

  /// @return when `on_timer` is to be called next; nothing if no transaction is idle.
  [[nodiscard]] std::optional<time_point> next_timer() const;
  /// @return the number of open transactions.
  [[nodiscard]] std::size_t size() const noexcept { return open_.size(); }

 private:
  enum class phase { beginning, idle, running, committing, rolling_back, timeout_rollback };
  enum class end_state { committed, rolled_back, lost, unknown };
  struct transaction_record {
    transaction_binding binding;
    phase state = phase::beginning;
    ticket_id ticket;  ///< Ticket of the running or last request.
    time_point idle_since{};
  };
  using record_map = std::map<transaction_id, transaction_record>;
  using iterator = record_map::iterator;

  iterator end(iterator it, end_state state_at_end);
  /// Ends a transaction whose connection was closed or is no longer usable, and answers its running request.
  /// @param is_connection_open whether the connection has to be closed.
  iterator end_as_lost(iterator it, bool is_connection_open, transaction_actions& actions);
  void roll_back(iterator it, time_point now, transaction_actions& actions);
  void on_confirmed(iterator it, time_point now, transaction_actions& actions);
  void on_refused(iterator it, transaction_actions& actions);
  [[nodiscard]] std::optional<error> error_for_lost(phase state) const;
  [[nodiscard]] static error ended_error(end_state state_at_end, transaction_step step);

  vm_id self_;
  incarnation_id incarnation_;
  transaction_options options_;
  std::uint64_t last_counter_ = 0;
  record_map open_;
  std::map<transaction_binding, transaction_id> bindings_;
  std::map<customer_id, std::size_t> open_by_customer_;
  std::map<transaction_id, end_state> ended_;
  std::deque<transaction_id> ended_order_;
};

}  // namespace bulrushlift
