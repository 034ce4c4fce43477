#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "entry/batch_plan.h"
#include "entry/connection_pool.h"
#include "entry/entry_context.h"
#include "entry/work_item.h"
#include "sql/dispatch_queue.h"
#include "sql/retry_budget.h"
#include "sql/wait_estimator.h"

/// @file
/// Runs statements on targets: queues them until a suitable connection is free, sends them,
/// evaluates the replies, and retries where that is safe.

namespace bulrushlift::entry {

class statement_runner {
 public:
  explicit statement_runner(entry_context& context);

  /// Runs a statement. `done` is called once, never from within this call, unless the
  /// item is cancelled.
  void run(const work_ptr& item);

  /// Cancels a statement whose caller disconnected: removes it from the queue, or lets it finish
  /// without a result if it is running.
  void cancel(const work_ptr& item);

  /// Rolls back the transaction on a connection and returns the connection to the pool. Closes
  /// the connection if a statement is running on it or the rollback fails.
  void roll_back(const connection_pool::connection_ptr& connection);
  /// As above, but sends the caller's own rollback statement to the target.
  /// @param statement the caller's statement; without an id, a plain rollback is sent.
  void roll_back(const connection_pool::connection_ptr& connection, const sql::statement& statement);

  /// Handles timeouts of waiting and running statements, and probes targets. Call about every
  /// `tick_interval`.
  void on_tick();

  /// Starts those waiting statements of a service for which a target has a free slot. Call when
  /// the targets, the connections or the configuration of the service changed.
  void dispatch(const service_id& service);
  void dispatch_all();

  [[nodiscard]] std::size_t waiting_count() const;
  /// @return the time that a new statement of a customer without waiting statements is likely to
  ///   wait for a slot here.
  /// @param data_centre that of the targets that may run it; all of the service if it is not set.
  /// @param priority that of its route; 0 is the most urgent.
  [[nodiscard]] duration expected_wait(const service_id& service,
                                       const std::optional<data_centre_id>& data_centre, int priority) const;
  [[nodiscard]] connection_pool& pool() noexcept { return pool_; }

  static constexpr duration tick_interval = std::chrono::milliseconds{20};

 private:
  /// Statements that are sent to a target beyond its number of slots, so that a free slot is
  /// filled without waiting for a network round trip.
  static constexpr std::uint32_t extra_running = 1;

  /// What the runner keeps for each service.
  struct service_queue {
    sql::dispatch_queue<work_ptr> waiting;
    sql::wait_estimator waits;
    sql::retry_budget retries;
    std::map<int, bool> is_for_primary;  ///< By priority, whether the newest statement was for the primary.
  };

  /// An attempt of a statement on a connection.
  struct running_attempt {
    work_ptr item;
    connection_pool::connection_ptr connection;
    batch_plan plan;
    time_point sent{};  ///< When the first part was sent.
    std::vector<sql::target_reply> replies = {};
  };
  using attempt_ptr = std::shared_ptr<running_attempt>;

  /// Runs a statement on the connection of its transaction.
  void run_pinned(const work_ptr& item);
  /// Runs it after a wait for a cold target.
  void start_later(const work_ptr& item);
  /// Closes the connection of the transaction and fails the statement, which was not sent, as aborted.
  void end_pinned(const work_ptr& item, std::string_view reason);
  [[nodiscard]] bool has_free_slot(const service_id& service) const;
  [[nodiscard]] bool try_dispatch(const work_ptr& item);
  [[nodiscard]] bool try_idle_connection(const work_ptr& item, const std::vector<target_id>& candidates,
                                         const std::optional<log_point>& required);
  void open_connection_for(const work_ptr& item, const std::vector<target_id>& candidates);
  [[nodiscard]] std::optional<log_point> required_point(const work_item& item) const;
  void start(const work_ptr& item, const connection_pool::connection_ptr& connection,
             const std::optional<log_point>& required);
  void send_part(const attempt_ptr& attempt);
  void on_part(const attempt_ptr& attempt, platform::batch_result result);
  void on_batch(const work_ptr& item, const connection_pool::connection_ptr& connection,
                const batch_plan& plan, time_point sent, platform::batch_result result);
  void record_replies(const work_item& item, const pooled_connection& connection, const batch_plan& plan,
                      time_point sent, const platform::batch_result& result);
  void on_refused(const work_ptr& item, const connection_pool::connection_ptr& connection,
                  const attempt_result& attempt);
  void on_unknown_outcome(const work_ptr& item, const target_id& target, const attempt_result& attempt);
  void on_done(const work_ptr& item, const connection_pool::connection_ptr& connection,
               attempt_result attempt);
  /// The statement ran, but there was no memory for its rows.
  void on_dropped_rows(const work_ptr& item, const connection_pool::connection_ptr& connection,
                       const attempt_result& attempt);
  void return_connection(const connection_pool::connection_ptr& connection, const attempt_result& attempt);
  /// Queues the statement once more.
  /// @param has_used_slot whether the failed attempt occupied a slot of a target.
  /// @return whether it may be retried.
  [[nodiscard]] bool retry(const work_ptr& item, const target_id& failed, duration pause, bool has_used_slot);
  void enqueue(const work_ptr& item);
  /// @return why the statement is refused at once, or nothing if it may wait for a slot.
  [[nodiscard]] std::optional<std::string_view> refusal_of(const work_item& item);
  void refuse(const work_ptr& item, std::string_view reason);
  [[nodiscard]] duration predicted_wait(const service_id& service,
                                        const std::optional<data_centre_id>& data_centre,
                                        const sql::waiting_statement& statement) const;
  [[nodiscard]] sql::slot_use slot_use(const service_id& service,
                                       const std::optional<data_centre_id>& data_centre,
                                       bool is_for_primary) const;
  /// @return whether the customer may rest in another transaction on a target that may run the statement.
  [[nodiscard]] bool may_begin_transaction(const work_item& item) const;
  void fail(const work_ptr& item, sql::caller_error kind, std::string_view reason);
  void finish(const work_ptr& item, work_result result);
  void fail_expired();
  [[nodiscard]] bool is_blocked_by_evacuation(const work_item& item) const;
  void probe_services();
  /// Logs queue lengths and connection counts of the services that have waiting statements, once
  /// per second.
  void report_load();
  void report_waits(const service_id& service);
  /// @return whether this VM runs reads on a target of the service or monitors its primary, and so needs to
  ///   know the position of the primary's log.
  [[nodiscard]] bool needs_samples(const service_id& service) const;
  /// Keeps the data centre of the primary, and logs a change of the primary.
  void record_primary(const service_id& service, const sql::target_entry* primary_entry);
  /// @return whether the target is in the data centre that the statement was sent to.
  [[nodiscard]] bool is_in_data_centre(const work_item& item, const target_id& target) const;
  /// @return whether this VM is the one that holds the connections to the target.
  [[nodiscard]] bool is_holder(const sql::target_directory& directory, const target_id& target) const;
  /// @return the targets that can run the statement, in any data centre, best first.
  [[nodiscard]] std::vector<target_id> candidates_for(const work_item& item) const;
  /// @return whether the statement should run in another data centre than the one that it was sent to: no
  ///   target can run it here, or only the primary, whose slots other work needs.
  /// @param candidates targets that can run it, in any data centre.
  [[nodiscard]] bool is_better_elsewhere(const work_item& item,
                                         const std::vector<target_id>& candidates) const;
  /// Hands the statement back to the VM of the session, which chooses another data centre.
  void move_elsewhere(const work_ptr& item, const std::vector<target_id>& candidates);
  void probe(const service_id& service, const target_id& target);

  entry_context& context_;
  connection_pool pool_;
  std::map<service_id, service_queue> queues_;
  std::map<target_id, time_point> last_probe_;
  time_point last_load_report_{};
  std::map<service_id, target_id> logged_primaries_;  ///< As last logged; empty if there was none.
  bool is_dispatching_ = false;
};

}  // namespace bulrushlift::entry
