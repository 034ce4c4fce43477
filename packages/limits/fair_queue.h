#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

/// @file
/// Start-time fair queueing (SFQ) of the statements of one service.
///
/// Each request class (read, write) has its own queue, virtual time and slots. When a
/// statement becomes the first of its customer, it gets the start tag max(virtual time,
/// finish tag of the customer's previous statement) and the finish tag start tag + cost /
/// weight. `pop` takes the statement with the smallest start tag and sets the virtual time
/// to it. Hence, while two customers a and b are both backlogged in a class and `pop` is
/// not restricted, their normalised service differs by at most `cost_max / weight_a +
/// cost_max / weight_b`, whatever else is queued. A customer that was idle, or whose
/// statements were held back, gains no credit.
///
/// Statements of open transactions go before the other statements of the same customer.
/// They hold a connection already, so `pop` can be restricted to them while no connection
/// is free. Otherwise they would wait behind statements that need a connection, and only the
/// transactions themselves can release one.
///
///     fair_queue queue{{}};
///     auto queued = queue.push({ticket, customer, request_class::read, deadline}, now);
///     if (!queued) refuse(queued.error());
///     if (auto next = queue.pop(request_class::read, pop_from::all, now)) run(*next);
///     queue.on_finished(request_class::read, elapsed);

namespace bulrushlift {

/// Reads and writes have separate queues and slots.
enum class request_class : std::uint8_t { read, write };

/// Identifies a queued statement; chosen by the caller, unique in the queue.
using queue_ticket = number_id<struct queue_ticket_tag>;

/// Relative weights, at least 0.001. A customer without an entry has weight 1.
using customer_weights = std::map<customer_id, double>;

struct fair_queue_options {
  std::size_t customer_bound = 64;  ///< Queued statements of one customer, both classes together.
  std::size_t total_bound = 1'024;  ///< Queued statements of all customers, both classes together.
  /// Service time assumed before the first statement of a class has finished.
  duration initial_service_time = std::chrono::milliseconds{1};
};

/// Faults that a test injects one at a time to prove that its oracle detects them.
struct fair_queue_test_faults {
  bool ignores_weights = false;
  bool ignores_bounds = false;
  bool blocks_transactions = false;  ///< Transactions queue behind other statements.
};

/// A statement that waits for a slot.
struct queued_statement {
  queue_ticket ticket;
  customer_id customer;
  request_class kind = request_class::read;
  time_point deadline;  ///< Time by which the statement must have finished.
  bool is_in_transaction = false;
  /// Relative cost; 1 for a statement, more for a batch. At least 1.
  std::uint32_t cost = 1;
};

/// Which statements `pop` may take.
enum class pop_from {
  all,
  transactions,  ///< Only statements of open transactions; no connection is free.
};

/// The queue of one service.
class fair_queue {
 public:
  explicit fair_queue(fair_queue_options options, fair_queue_test_faults faults = {});

  /// Replaces the weights. A statement that is first of its customer keeps its start tag;
  /// all finish tags assigned from now on use the new weight.
  void set_weights(customer_weights weights);

  /// Sets how many statements of a class can run at the same time. 0 means that none can
  /// run now, for example because there is no primary. `push` then does not estimate
  /// whether a statement meets its deadline, because the time of recovery is unknown.
  void set_slots(request_class kind, std::size_t slots);

  /// Queues a statement.
  /// @return success; or `overloaded` with outcome "not run" and a retry time, if
  ///   `customer_bound` or `total_bound` is reached, the deadline has passed or the
  ///   statement is not expected to finish before its deadline.
  [[nodiscard]] result<void> push(queued_statement statement, time_point now);

  /// Removes the next statement whose deadline is after `now`, to run it.
  /// @return its ticket, or nothing if no permitted statement is queued.
  [[nodiscard]] std::optional<queue_ticket> pop(request_class kind, pop_from from, time_point now);

  /// Removes a statement, for example because its caller has disconnected.
  /// @return whether it was queued.
  bool remove(queue_ticket ticket);

  /// Removes the statements whose deadline is at or before `now`.
  /// @return their tickets; none of them ran.
  [[nodiscard]] std::vector<queue_ticket> expire(time_point now);

  /// @return the earliest deadline of a queued statement, or nothing if none is queued.
  [[nodiscard]] std::optional<time_point> next_deadline() const;

  /// Records how long a statement of a class occupied its slot.
  void on_finished(request_class kind, duration service_time);

  /// @return the estimated time until a statement of the customer would finish if it were
  ///   queued now.
  [[nodiscard]] duration expected_time(const customer_id& customer, request_class kind) const;

  [[nodiscard]] std::size_t size() const noexcept { return total_; }
  [[nodiscard]] std::size_t size(const customer_id& customer) const;

 private:
  // Cost divided by weight, scaled so that the division loses little precision.
  using virtual_time = std::uint64_t;

  /// The queued statements of one customer in one class.
  struct flow {
    std::deque<queued_statement> transactions;
    std::deque<queued_statement> others;
    virtual_time finish_tag = 0;  ///< Finish tag of the last statement taken.
    virtual_time start_tag = 0;   ///< Start tag of the first statement queued.

    [[nodiscard]] std::size_t size() const noexcept { return transactions.size() + others.size(); }
  };

  struct class_queue {
    std::map<customer_id, flow> flows;
    virtual_time now = 0;
    std::size_t slots = 1;
    duration service_time{};
  };

  [[nodiscard]] class_queue& queue_of(request_class kind) noexcept;
  [[nodiscard]] const class_queue& queue_of(request_class kind) const noexcept;
  [[nodiscard]] double weight_of(const customer_id& customer) const;
  /// @return why the statement cannot be queued, or nothing if it can.
  [[nodiscard]] std::optional<error> refusal(const queued_statement& statement, time_point now) const;
  void remove_idle_flows(class_queue& queue);

  template <class Predicate>
  std::vector<queue_ticket> remove_if(Predicate&& predicate);

  fair_queue_options options_;
  fair_queue_test_faults faults_;
  customer_weights weights_;
  std::array<class_queue, 2> queues_;
  std::size_t total_ = 0;
};

}  // namespace bulrushlift
