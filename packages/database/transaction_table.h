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
/// The open transactions of the services that this VM owns. A transaction pins
/// one connection of one target in one term, from `begin` until the target has
/// confirmed its end or the connection is closed.

namespace bulrushlift {

/// Requests of a transaction.
enum class transaction_step { begin, statement, commit, rollback };

struct transaction_options {
  /// Longest time without a request before the transaction is rolled back.
  duration idle_limit = std::chrono::seconds{10};
  /// Time for the target to confirm a rollback that the table ordered.
  duration rollback_timeout = std::chrono::seconds{1};
  /// Open transactions of one customer on this VM.
  std::size_t customer_limit = 64;
  /// Ended transactions that are remembered for a true answer to later requests.
  std::size_t ended_limit = 65'536;
  /// Test only: return the connection of an idle transaction without a confirmed rollback.
  bool releases_unconfirmed = false;
};

/// Where the requests of a transaction run.
struct transaction_binding {
  target_id target;
  connection_id connection;

  friend bool operator==(const transaction_binding&, const transaction_binding&) = default;
  friend auto operator<=>(const transaction_binding&, const transaction_binding&) = default;
};

/// How an attempt of a transaction's request ended.
enum class step_result {
  confirmed,  ///< The target did it.
  failed,     ///< The target answered that it had no effect; the transaction is open (`statement_failed`,
              ///< `busy`).
  refused,    ///< The target answered that it does not have the transaction (`wrong_term`, `not_primary`,
              ///< `unknown_transaction`).
  not_sent,   ///< No byte left; the transaction is open.
  lost,       ///< Bytes may have left; no answer, and the connection is closed.
};

/// Return the connection to its pool: `pool_controller::release`.
struct release_binding {
  transaction_binding binding;
};
/// Close the connection: `pool_controller::discard`.
struct discard_binding {
  transaction_binding binding;
};
/// Send a rollback on the connection and report `on_rollback_result`.
struct send_rollback {
  transaction_id transaction;
  transaction_binding binding;
  time_point deadline;
};
/// The request of `ticket` ended; answer its caller, without `cause` with success.
struct answer_step {
  ticket_id ticket;
  std::optional<error> cause;
};

using transaction_action = std::variant<release_binding, discard_binding, send_rollback, answer_step>;
using transaction_actions = std::vector<transaction_action>;

/// Answer to a request for a transaction that this process does not have.
/// @return `transaction_lost` for a statement. An earlier commit of the same transaction may have reached the
///     target, so the kind is `outcome_unknown` for a commit and `transaction_unknown` for a rollback.
[[nodiscard]] error error_for_unknown_transaction(transaction_step step);

/// Table of the transactions of one process.
class transaction_table {
 public:
  transaction_table(vm_id self, incarnation_id incarnation, transaction_options options = {})
      : self_(std::move(self)), incarnation_(incarnation), options_(options) {}

  /// Enters a transaction whose begin request has just been started at `place`.
  /// @param ticket of the begin request.
  /// @return its id, or `overloaded` at the customer's limit; then the begin must not be sent, so ask
  ///     `check_begin` before the connection is taken.
  [[nodiscard]] result<transaction_id> begin(const customer_id& customer, const service_id& service,
                                             term_id term, const transaction_binding& binding,
                                             ticket_id ticket, time_point now);
  [[nodiscard]] result<void> check_begin(const customer_id& customer) const;

  /// Reserves the transaction for a statement, commit or rollback.
  /// @param id decoded for the customer of the request.
  /// @return the place to send to; or `transaction_lost`, `transaction_unknown`, or `conflict` when
  ///     another request of the transaction runs.
  [[nodiscard]] result<transaction_binding> start_step(const transaction_id& id, transaction_step step,
                                                       ticket_id ticket, time_point now);

  /// The running request of the transaction ended. Results for requests that have already been answered
  /// change nothing. A confirmed commit still needs the acknowledgement of a second member before
  /// its caller gets the success.
  /// @param cause error from the target or the pool, for the caller; ignored when confirmed.
  [[nodiscard]] transaction_actions on_step_result(const transaction_id& id, ticket_id ticket,
                                                   step_result value, std::optional<error> cause,
                                                   time_point now);
  [[nodiscard]] transaction_actions on_rollback_result(const transaction_id& id, step_result value,
                                                       time_point now);

  /// The connection of a transaction that had no request running was lost.
  [[nodiscard]] transaction_actions on_connection_lost(const transaction_binding& binding, time_point now);

  /// Ends the transactions of lower terms: they cannot commit any more.
  [[nodiscard]] transaction_actions on_term_changed(const service_id& service, term_id term, time_point now);

  /// Ends idle transactions beyond the idle limit. Call at `next_timer`.
  [[nodiscard]] transaction_actions on_timer(time_point now);

  /// Ends all transactions at the end of the drain time.
  [[nodiscard]] transaction_actions end_all(time_point now);

  [[nodiscard]] std::optional<time_point> next_timer() const;
  /// @return transactions that are not ended.
  [[nodiscard]] std::size_t size() const noexcept { return open_.size(); }

 private:
  enum class phase { beginning, idle, running, committing, rolling_back, timeout_rollback };
  enum class end_state { committed, rolled_back, lost, unknown };
  struct transaction_record {
    transaction_binding binding;
    phase state = phase::beginning;
    ticket_id ticket;  ///< Of the running request.
    time_point idle_since{};
  };
  using record_map = std::map<transaction_id, transaction_record>;
  using iterator = record_map::iterator;

  iterator end(iterator it, end_state state_at_end);
  /// Ends a transaction whose connection is lost or given up, with the true answer for a running request.
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
