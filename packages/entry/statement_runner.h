#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "entry/batch_plan.h"
#include "entry/connection_pool.h"
#include "entry/entry_context.h"
#include "entry/work_item.h"
#include "sql/start_tag_allocator.h"

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
  [[nodiscard]] connection_pool& pool() noexcept { return pool_; }

  static constexpr duration tick_interval = std::chrono::milliseconds{20};

 private:
  /// Statements of one service that wait for a slot.
  struct waiting_queue {
    sql::start_tag_allocator start_tags;
    std::list<work_ptr> items;
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
  [[nodiscard]] bool retry(const work_ptr& item, const target_id& failed, duration pause);
  void enqueue(const work_ptr& item);
  void fail(const work_ptr& item, sql::caller_error kind, std::string_view reason);
  void finish(const work_ptr& item, work_result result);
  void fail_expired();
  void probe_services();
  /// Logs queue lengths and connection counts of the services that have waiting statements, once
  /// per second.
  void report_load();
  void log_primary_change(const service_id& service, const sql::target_entry* primary_entry);
  void probe(const service_id& service, const target_id& target);

  entry_context& context_;
  connection_pool pool_;
  std::map<service_id, waiting_queue> waiting_;
  std::map<target_id, time_point> last_probe_;
  time_point last_load_report_{};
  std::map<service_id, target_id> logged_primaries_;  ///< As last logged; empty if there was none.
  bool is_dispatching_ = false;
};

}  // namespace bulrushlift::entry
