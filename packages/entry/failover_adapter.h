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
#include "sql/target_command.h"

/// @file
/// Runs the failover controllers of all services and executes their actions: surveys the targets
/// of a service, pauses and resumes their replication, claims promotions in the store, and orders them
/// from the platform.

namespace bulrushlift::entry {

class failover_adapter {
 public:
  failover_adapter(entry_context& context, statement_runner& runner, store_adapter& store);

  /// Advances the surveys and runs the timers of the controllers. Call periodically.
  void on_tick();
  /// Handles a store that came back from an older copy.
  void on_store_restored();
  /// Handles a claim of a promotion, by this VM or another one, that was read from the store.
  /// @param token version of the claim, as fencing token.
  void on_promotion_seen(const platform::promotion_record& record, std::uint64_t token);

 private:
  /// A command that is sent to some targets of one service; each answers with its replication status.
  struct command_round {
    sql::target_command command;
    std::vector<target_id> targets;
    std::vector<target_id> pending;           ///< Targets that have not been asked yet.
    std::vector<target_id> running;           ///< Targets that have been asked and have not answered.
    std::vector<sql::survey_answer> answers;  ///< Of targets that were asked; empty without an answer.
    std::uint64_t number =
        0;  ///< Differs between rounds, so that a late answer is not taken for a newer round's.
    time_point started{};
  };

  [[nodiscard]] sql::failover_controller& controller_of(const service_id& service);
  void perform(const service_id& service, const std::optional<sql::failover_action>& action);
  void run(const service_id& service, const sql::survey_targets& action);
  void run(const service_id& service, const sql::fence_targets& action);
  void run(const service_id& service, const sql::resume_targets& action);
  void run(const service_id& service, const sql::claim_promotion& action);
  void run(const service_id& service, const sql::order_promotion& action);
  void log_primary_lost(const service_id& service, sql::loss_reason reason) const;
  void start_round(const service_id& service, const sql::target_command& command,
                   const std::vector<target_id>& targets);
  /// Asks the pending targets, and ends the round if all have answered or its time is over.
  void advance(const service_id& service);
  void finish(const service_id& service, const command_round& round);
  /// Logs the rows on which the choice of the next primary rests.
  void log_answers(const service_id& service, const command_round& round) const;
  void ask(const service_id& service, command_round& round, const target_id& target);
  void on_status(const service_id& service, std::uint64_t number, const target_id& target, time_point sent,
                 const platform::batch_result& result);

  entry_context& context_;
  statement_runner& runner_;
  store_adapter& store_;
  platform::promotion_client promotions_;
  std::map<service_id, sql::failover_controller> controllers_;
  std::map<service_id, command_round> rounds_;
  std::uint64_t last_round_ = 0;
};

}  // namespace bulrushlift::entry
