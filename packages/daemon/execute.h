#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "daemon/context.h"
#include "daemon/group_adapter.h"
#include "daemon/request.h"
#include "daemon/target_connections.h"
#include "database/read_router.h"
#include "database/retry_policy.h"
#include "database/transaction_table.h"
#include "limits/fair_queue.h"

/// @file
/// Pipeline steps "execute" and "acknowledge" for one service, on the VM that owns it: queueing, choice of
/// the target, transactions, retries and the wait until a second member has the write.

namespace bulrushlift {

/// Runs the requests of one service against its targets.
class service_executor : public target_observer {
 public:
  service_executor(daemon_context& context, const service& configured);
  service_executor(const service_executor&) = delete;
  service_executor& operator=(const service_executor&) = delete;
  ~service_executor() override;

  /// Applies the current document and the leaving targets of the shared state.
  void configure();

  /// Sets whether this VM owns the service. When it loses ownership, it refuses the requests that have not
  /// started and completes the others.
  void set_owner(bool is_owner);

  /// Runs a request of this service.
  /// @param done called once with the reply, possibly before this function returns.
  void submit(service_request request, reply_callback done);

  /// Ends all requests and transactions. A request that may have run ends with an unknown outcome.
  void end_remaining();

  [[nodiscard]] const group_view& group() const noexcept { return group_.view(); }
  [[nodiscard]] std::size_t pending_requests() const noexcept { return tasks_.size(); }
  [[nodiscard]] std::size_t open_transactions() const noexcept { return transactions_.size(); }
  [[nodiscard]] std::size_t queued_requests() const noexcept { return queue_.size(); }
  [[nodiscard]] std::map<target_id, pool_view> pools() const;

  void on_request_end(ticket_id ticket, const result<target_answer>& answer) override;
  void on_binding_lost(const target_id& target, connection_id connection) override;
  void on_connection_refused(const target_id& target) override;
  void on_capacity_freed(const target_id& target) override;

 private:
  enum class phase {
    queued,                    ///< In the fair queue.
    blocked,                   ///< A write or begin, taken from the queue, waits for a connection.
    awaiting_target,           ///< A read, taken from the queue, waits for a log point or a connection.
    running,                   ///< Sent to a target.
    awaiting_acknowledgement,  ///< Answered by the primary; no second member has the log point yet.
    awaiting_freshness,        ///< Acknowledged read whose data is older than its maximum age.
    backing_off                ///< Waits for the retry after a failed attempt.
  };

  /// A request from its submission to its reply.
  struct request_task {
    service_request request;
    reply_callback done;
    request_attempts attempts;
    ticket_id ticket;
    request_class kind = request_class::read;
    phase state = phase::queued;
    time_point first_routed{};  ///< When the request was submitted.
    time_point started{};       ///< When the current attempt was sent.
    time_point wake_time{};     ///< In phase awaiting_target: when to route the read again.
    target_id target = {};
    bool is_on_replica = false;
    bool must_use_primary = false;   ///< A replica answered that it is behind, or its answer was too old.
    bool is_write_reported = false;  ///< The group controller counts it as a write in flight.
    std::optional<transaction_id> transaction = {};
    service_reply reply = {};  ///< Held back until it is acknowledged and fresh enough.
  };
  using task_pointer = std::shared_ptr<request_task>;

  // execute.cc: queueing, start, end and retry of requests.
  void enqueue(const task_pointer& task);
  /// Starts as many waiting requests as the connections allow.
  void dispatch();
  void schedule_dispatch();
  void dispatch_writes();
  void dispatch_blocked_write();
  void start_write(const task_pointer& task, const target_view& primary);
  /// Sends a request outside transactions.
  /// @return false if no connection or slot is free, so that the request has to wait.
  bool start_single(const task_pointer& task, target_connections& connections, std::optional<term_id> term);
  void complete(const task_pointer& task, const target_answer& answer);
  /// Ends a failed attempt; schedules a retry or ends the request.
  void fail_attempt(const task_pointer& task, failure_point point, error cause);
  /// Ends a request whose current attempt did not run.
  void refuse(const task_pointer& task, error cause);
  void finish(const task_pointer& task, const result<service_reply>& reply);
  /// Tells the group controller that a write is no longer in flight.
  void report_write_end(request_task& task);
  /// Refuses the requests outside transactions that are not sent to a target.
  void refuse_unstarted(const error& cause);
  void on_view_changed();
  /// Sets the concurrency limits of the queue from the slots of the reachable targets.
  void update_slots();
  /// Ends requests whose deadline has passed, then dispatches.
  void expire();
  void rearm();
  [[nodiscard]] task_pointer find(std::uint64_t ticket) const;

  // execute_read.cc: choice of the target of a read.
  void dispatch_reads();
  void route(const task_pointer& task);
  void defer_read(const task_pointer& task, time_point wake_time);
  void collect_candidates(time_point now);
  [[nodiscard]] bool has_read_capacity() const;
  [[nodiscard]] read_requirements requirements_of(const request_task& task) const;

  // execute_transaction.cc: transactions and their statements.
  void start_begin(const task_pointer& task, const target_view& primary);
  void start_step(const task_pointer& task);
  void end_step(const task_pointer& task, const result<target_answer>& answer);
  void perform(const transaction_actions& actions);
  void run(const release_binding& action);
  void run(const discard_binding& action);
  void run(const send_rollback& action);
  void run(const answer_step& action);
  [[nodiscard]] static transaction_step step_of(const service_request& request);

  // acknowledge.cc: answers of the primary that are held back.
  void await_acknowledgement(const task_pointer& task, service_reply reply);
  void on_acknowledged(const request_id& id);
  void on_unacknowledged(const request_id& id);
  void release_fresh_answers();
  /// @return whether the answer meets the required log point and the maximum age of the request.
  [[nodiscard]] bool is_sufficient(const request_task& task) const;

  [[nodiscard]] time_point now() const { return context_.loop.now(); }

  daemon_context& context_;
  service_id service_;
  bool is_owner_ = false;
  std::unordered_map<std::uint64_t, task_pointer> tasks_;
  std::uint64_t last_ticket_ = 0;
  fair_queue queue_;
  std::deque<task_pointer> blocked_writes_;  ///< In phase blocked.
  std::vector<task_pointer> waiting_reads_;  ///< In phase awaiting_target.
  std::vector<task_pointer> stale_answers_;  ///< In phase awaiting_freshness.
  std::map<target_id, std::unique_ptr<target_connections>> targets_;
  retry_budget budget_;
  retry_options retry_options_;
  read_options read_options_;
  transaction_table transactions_;
  std::map<transaction_id, std::string> transaction_names_;  ///< Names of transactions at their targets.
  std::map<ticket_id, transaction_id> rollbacks_;  ///< Rollbacks in flight that no caller requested.
  std::vector<read_candidate> candidates_;
  std::map<target_id, pool_view> pool_views_;
  term_id last_term_;
  bool is_dispatching_ = false;
  bool is_dispatch_requested_ = false;
  scoped_timer dispatch_timer_;
  scoped_timer wake_timer_;
  group_adapter group_;
};

}  // namespace bulrushlift
