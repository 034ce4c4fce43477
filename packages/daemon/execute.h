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
/// Pipeline steps "execute" and "acknowledge" for one service at its owner: queue,
/// choice of the target, transactions, retries and the wait for a second member.

namespace bulrushlift {

class service_executor : public target_observer {
 public:
  service_executor(daemon_context& context, const service& configured);
  service_executor(const service_executor&) = delete;
  service_executor& operator=(const service_executor&) = delete;
  ~service_executor() override;

  /// Applies the document in force and the leaving targets of the blackboard.
  void configure();

  /// A former owner refuses what it has not started and completes the rest.
  void set_owner(bool is_owner);

  /// Runs a request whose service is this one. `done` is called once, also from within.
  void submit(service_request request, reply_callback done);

  /// Ends all requests and transactions with what is known of them.
  void end_remaining();

  [[nodiscard]] const group_view& group() const noexcept { return group_.view(); }
  [[nodiscard]] std::size_t pending_requests() const noexcept { return tasks_.size(); }
  [[nodiscard]] std::size_t open_transactions() const noexcept { return transactions_.size(); }
  [[nodiscard]] std::size_t queued_requests() const noexcept { return queue_.size(); }
  [[nodiscard]] std::map<target_id, pool_view> pools() const;

  void on_request_end(ticket_id ticket, const result<target_answer>& answer) override;
  void on_binding_lost(const target_id& target, connection_id connection) override;
  void on_refused(const target_id& target) override;
  void on_capacity(const target_id& target) override;

 private:
  enum class phase { queued, held, parked, running, acknowledging, holding, pausing };
  struct task {
    service_request request;
    reply_callback done;
    request_attempts attempts;
    ticket_id ticket;
    request_class kind = request_class::read;
    phase state = phase::queued;
    time_point first_routed{};
    time_point started{};
    time_point wake{};  ///< While parked: when to route again.
    target_id target = {};
    bool is_on_replica = false;
    bool must_use_primary = false;
    bool is_write_reported = false;
    std::optional<transaction_id> transaction = {};
    service_reply reply = {};  ///< While it waits for acknowledgement.
  };
  using task_pointer = std::shared_ptr<task>;

  // execute.cc: queue, start, end and retry of requests.
  void enqueue(const task_pointer& it);
  void pump();
  void schedule_pump();
  void pump_writes();
  void pump_held_write();
  void start_write(const task_pointer& it, const target_view& primary);
  bool start_single(const task_pointer& it, target_connections& connections, std::optional<term_id> term);
  void complete(const task_pointer& it, const target_answer& answer);
  void fail_attempt(const task_pointer& it, failure_point point, error cause);
  void refuse(const task_pointer& it, error cause);
  void finish(const task_pointer& it, const result<service_reply>& reply);
  void report_write_end(task& it);
  void refuse_queued(const error& cause);
  void on_view_changed();
  void update_slots();
  void expire();
  void rearm();
  [[nodiscard]] task_pointer find(std::uint64_t ticket) const;

  // execute_read.cc: choice of the target of a read.
  void pump_reads();
  void route(const task_pointer& it);
  void park(const task_pointer& it, time_point wake);
  void collect_candidates(time_point now);
  [[nodiscard]] bool has_read_capacity() const;
  [[nodiscard]] read_requirements requirements_of(const task& it) const;

  // execute_transaction.cc
  void start_begin(const task_pointer& it, const target_view& primary);
  void start_step(const task_pointer& it);
  void end_step(const task_pointer& it, const result<target_answer>& answer);
  void perform(const transaction_actions& actions);
  void run(const release_binding& action);
  void run(const discard_binding& action);
  void run(const send_rollback& action);
  void run(const answer_step& action);
  [[nodiscard]] static transaction_step step_of(const service_request& request);

  // acknowledge.cc
  void await_acknowledgement(const task_pointer& it, service_reply reply);
  void on_acknowledged(const request_id& id);
  void on_unacknowledged(const request_id& id);
  void release_held_answers();
  [[nodiscard]] bool is_sufficient(const task& it) const;

  [[nodiscard]] time_point now() const { return context_.loop.now(); }

  daemon_context& context_;
  service_id service_;
  bool is_owner_ = false;
  std::unordered_map<std::uint64_t, task_pointer> tasks_;
  std::uint64_t last_ticket_ = 0;
  fair_queue queue_;
  std::deque<task_pointer> held_writes_;  ///< Taken from the queue before a connection was free.
  std::vector<task_pointer> parked_reads_;
  std::vector<task_pointer> held_answers_;  ///< Of the primary, too old for their requests so far.
  std::map<target_id, std::unique_ptr<target_connections>> targets_;
  retry_budget budget_;
  retry_options retry_options_;
  read_options read_options_;
  transaction_table transactions_;
  std::map<transaction_id, std::string> transaction_names_;
  std::map<ticket_id, transaction_id> rollbacks_;
  std::vector<read_candidate> candidates_;
  std::map<target_id, pool_view> pool_views_;
  term_id last_term_;
  bool is_pumping_ = false;
  bool is_pump_wanted_ = false;
  scoped_timer pump_timer_;
  scoped_timer wake_timer_;
  group_adapter group_;
};

}  // namespace bulrushlift
