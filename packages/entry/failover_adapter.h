#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "entry/entry_context.h"
#include "entry/statement_runner.h"
#include "entry/store_adapter.h"
#include "platform/promotion_client.h"
#include "sql/failover_controller.h"

/// @file
/// Runs the failover controllers of all services and executes their actions: surveys the targets
/// of a service, claims promotions in the store, and orders them from the platform.

namespace bulrushlift::entry {

class failover_adapter {
 public:
  failover_adapter(entry_context& context, statement_runner& runner, store_adapter& store);

  /// Advances the surveys and runs the timers of the controllers. Call periodically.
  void on_tick();
  /// Handles a claim of a promotion, by this VM or another one, that was read from the store.
  void on_promotion_seen(const platform::promotion_record& record);

 private:
  /// A running survey of the replication status of the targets of one service.
  struct survey {
    std::vector<target_id> pending;  ///< Targets that have not been asked yet.
    std::optional<term_id> fence;    ///< If set, replication is paused with this term.
    std::vector<sql::survey_answer> answers;
    std::size_t running = 0;  ///< Number of requests without an answer.
    bool is_active = false;
    time_point started{};
  };

  [[nodiscard]] sql::failover_controller& controller_of(const service_id& service);
  void perform(const service_id& service, const std::optional<sql::failover_action>& action);
  void run(const service_id& service, const sql::survey_targets& action);
  void run(const service_id& service, const sql::resume_targets& action);
  void run(const service_id& service, const sql::claim_promotion& action);
  void run(const service_id& service, const sql::order_promotion& action);
  void log_primary_lost(const service_id& service, sql::loss_reason reason) const;
  void advance(const service_id& service, survey& each);
  void ask(const service_id& service, const target_id& target);
  void on_status(const service_id& service, const target_id& target, const platform::batch_result& result);

  entry_context& context_;
  statement_runner& runner_;
  store_adapter& store_;
  platform::promotion_client promotions_;
  std::map<service_id, sql::failover_controller> controllers_;
  std::map<service_id, survey> surveys_;
  std::map<service_id, std::uint64_t> attempts_;  ///< Number of the newest known claim.
};

}  // namespace bulrushlift::entry
