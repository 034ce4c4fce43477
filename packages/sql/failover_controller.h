#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/promotion_claim.h"
#include "sql/promotion_history.h"
#include "sql/target_directory.h"

/// @file
/// Decides when to replace the primary of one service, and by which target.
///
/// Without synchronous replication the steps are:
/// 1. Survey the other targets: ask each for the newest log point that it received.
/// 2. Claim the promotion in the platform's store, by a conditional write whose version is
///    the fencing token. A VM that loses the claim waits for the winner.
/// 3. Order the promotion with the token.
///
/// With synchronous replication a commit is lost if a replica confirms it after the log points were
/// compared and before the promotion takes effect. The VM therefore claims first, and only the holder of
/// the newest claim pauses and resumes replication:
/// 1. Survey, to see whether enough targets answer.
/// 2. Claim the right to fence, then pause replication on the other targets (the fence). Enough of them
///    must confirm it that at least one has every acknowledged commit: n - s + 1 of n replicas, if s
///    replicas confirm each commit.
/// 3. Claim the order of the target with the newest log point, and order it.
/// 4. Let this target alone receive again: a commit that it confirms is in the log that will lead. So writes
///    go on until the promotion takes effect, also if the platform does not answer for a long time.
/// 5. Once it is the primary, claim that nothing is under way any more.
/// The fence ends by a promotion, or by a claim to resume, which is made only while no order may still take
/// effect. An attempt that another VM left half-way is finished: by an order of the same target, or by
/// resuming replication.

namespace bulrushlift::sql {

/// Why a service needs a new primary.
enum class loss_reason : std::uint8_t {
  unlisted,     ///< Initial value; the controller never reports it.
  leaving,      ///< The primary is shutting down.
  evacuated,    ///< The data centre of the primary is evacuated.
  unreachable,  ///< The primary does not answer.
  leaderless,   ///< No primary is known.
  unfinished    ///< A VM has left an attempt half-way: replicas may be paused, or an order under way.
};
[[nodiscard]] std::string_view name_of(loss_reason reason) noexcept;

/// Ask these targets for their replication status.
struct survey_targets {
  std::vector<target_id> targets;
  loss_reason reason = loss_reason::unlisted;
};
/// Pause replication on these targets: they stop receiving log entries of terms below this one.
struct fence_targets {
  std::vector<target_id> targets;
  term_id term;
};
/// Resume replication on these targets.
struct resume_targets {
  std::vector<target_id> targets;
};
/// Write a claim to the store, on the condition that no other VM has written one meanwhile.
struct claim_promotion {
  promotion_claim claim;
};
/// Order the promotion, with the fencing token of the claim.
struct order_promotion {
  target_id target;
  std::uint64_t token = 0;
};
using failover_action =
    std::variant<survey_targets, fence_targets, resume_targets, claim_promotion, order_promotion>;

/// What the platform's answer says of an order.
enum class order_outcome : std::uint8_t {
  accepted,  ///< The target will lead the next term.
  refused,   ///< The order has no effect.
  unknown    ///< No answer: the order may still take effect, until one with a newer token is accepted.
};

/// One target's answer to a survey or a fence.
struct survey_answer {
  target_id target;
  std::optional<log_point> received;  ///< Newest received log point; nothing if the target did not answer.
  bool is_primary = false;            ///< The target reports itself as the primary.
  term_id fence_term = {};            ///< Highest fence that the target knows.
  term_id term = {};                  ///< Newest term that the target knows.
};

/// Inputs of the controller besides the target directory.
struct failover_view {
  std::size_t rank = 0;  ///< This VM's position among the monitors of the service; 0 starts a failover first.
  bool is_list_trusted = false;            ///< The list of targets is complete and recent.
  std::uint32_t synchronous_replicas = 0;  ///< Replicas that must confirm a commit; 0 for none.
  std::uint64_t epoch = 0;                 ///< Of the store; rises each time that it comes back older.
};

/// Time limits and thresholds of a failover.
struct failover_options {
  /// A listed primary counts as unreachable after this time without an answer.
  duration silence_timeout = std::chrono::milliseconds{1'200};
  /// Least number of failures in that time, so that one lost answer causes no failover.
  std::uint32_t min_failures = 3;
  /// A primary is chosen after this time without a known one.
  duration leaderless_timeout = std::chrono::milliseconds{800};
  /// Delay for each VM that ranks before this one, so that claims rarely collide.
  duration rank_delay = std::chrono::milliseconds{400};
  /// While the primary is lost, targets that know the newest term are waited for this long, before one that
  /// knows only an older term is promoted. Longer than a target usually takes to come back.
  duration newer_term_wait = std::chrono::seconds{10};
  /// Pause before a target that has not confirmed that it resumes is told again.
  duration resume_pause = std::chrono::seconds{1};
  /// Pause after an abandoned attempt, because each survey takes a slot of every target.
  duration retry_pause = std::chrono::milliseconds{250};
  /// An order of this VM that has had no effect after this time is repeated with a new claim.
  duration order_timeout = std::chrono::milliseconds{1'500};
  /// After this many orders in a row that were not accepted, the other VMs go first.
  std::uint32_t orders_in_turn = 3;
  /// A command to resume replication follows its claim within this time. Later ones need a new claim, which a
  /// VM does not get if another one has taken over.
  duration command_window = std::chrono::seconds{2};
  /// A fence that is not complete after this time is given up, because a leaving primary serves meanwhile.
  duration fence_timeout = std::chrono::seconds{2};
  claim_times claims = {};
  /// The whole system starts for the first time, so nothing is under way.
  bool is_first_start = true;
};

/// Controls the failover of one service. Does no input or output: each event returns the
/// action to perform, if any.
class failover_controller {
 public:
  explicit failover_controller(failover_options options) : options_(options), history_(options.claims) {}

  /// Call at regular intervals: starts a failover when the primary is lost, and abandons a step that
  /// got no answer in time.
  [[nodiscard]] std::optional<failover_action> on_timer(const target_directory& directory,
                                                        const failover_view& view, time_point now);
  /// The survey ended.
  /// @param answers of the surveyed targets; those that did not answer may be missing or empty.
  [[nodiscard]] std::optional<failover_action> on_survey(const std::vector<survey_answer>& answers,
                                                         const target_directory& directory, time_point now);
  /// The targets that were to pause replication answered, or did not in time.
  /// @param answers of the targets that were told; without a log point of those that did not answer.
  [[nodiscard]] std::optional<failover_action> on_fence(const std::vector<survey_answer>& answers,
                                                        const target_directory& directory, time_point now);
  /// The targets that were to resume replication answered, or did not in time.
  /// @param missing targets that have not confirmed it.
  /// @param late those among them that may carry out the command later.
  [[nodiscard]] std::optional<failover_action> on_resume(const std::vector<target_id>& missing,
                                                         const std::vector<target_id>& late, time_point now);
  /// The attempt to write a claim ended.
  /// @param attempt of the claim.
  /// @param token version of the claim in the store, or nothing if the write failed or its outcome is
  /// unknown.
  [[nodiscard]] std::optional<failover_action> on_claim(std::uint64_t attempt,
                                                        std::optional<std::uint64_t> token, time_point now);
  /// The platform answered an order, or did not in time.
  /// @param token of the order.
  [[nodiscard]] std::optional<failover_action> on_order(std::uint64_t token, order_outcome outcome,
                                                        time_point now);
  /// The store reported a claim. If it supersedes this VM's attempt, the controller is idle afterwards, and
  /// commands that have not been sent yet must not be sent.
  /// @param token version of the claim, as fencing token.
  /// @param is_own whether it is a claim of this VM.
  void on_claim_seen(const promotion_claim& claim, std::uint64_t token, bool is_own, time_point now);

  /// The store came back from an older copy.
  void on_store_restored(time_point now) { history_.on_store_restored(now); }

  /// @return whether no failover is in progress.
  [[nodiscard]] bool is_idle() const noexcept { return step_ == step::idle; }

 private:
  enum class step : std::uint8_t {
    idle,
    surveying,
    claiming_fence,
    fencing,
    claiming_order,
    ordering,
    settling,
    claiming_resume,
    resuming,
    claiming_end
  };

  [[nodiscard]] bool is_synchronous() const noexcept { return synchronous_replicas_ > 0; }
  [[nodiscard]] std::optional<loss_reason> find_loss_reason(const target_directory& directory,
                                                            bool is_list_trusted, time_point now) const;
  void enter(step next, time_point now) noexcept;
  /// Goes on with a running step, or ends it because of its time limit.
  [[nodiscard]] std::optional<failover_action> continue_step(const target_directory& directory,
                                                             std::optional<loss_reason> reason,
                                                             time_point now);
  [[nodiscard]] std::optional<failover_action> end_order(order_outcome outcome, time_point now);
  [[nodiscard]] std::optional<failover_action> survey(const target_directory& directory, loss_reason reason,
                                                      time_point now);
  [[nodiscard]] failover_action claim(step next, promotion_phase phase, time_point now);
  [[nodiscard]] failover_action fence(std::vector<target_id> targets, time_point now);
  [[nodiscard]] failover_action resume(std::vector<target_id> targets, time_point now);
  /// @return whether replicas may be told to resume under the newest claim of this VM.
  [[nodiscard]] bool may_command(time_point now) const noexcept {
    return now - granted_ < options_.command_window;
  }
  /// Lets the target of the running order receive again, while the others stay paused.
  [[nodiscard]] std::optional<failover_action> resume_chosen(time_point now);
  /// @return whether a fence, once set, lasts until the chosen target leads.
  [[nodiscard]] bool holds_fence_for(const target_id& chosen, const target_directory& directory,
                                     time_point now) const;
  [[nodiscard]] std::optional<failover_action> choose_fenced(const target_directory& directory,
                                                             time_point now);
  /// @return the answer of the promotable target with the newest log point, or null.
  [[nodiscard]] const survey_answer* find_best(const std::vector<survey_answer>& answers,
                                               const target_directory& directory, time_point now) const;
  void learn_terms(const survey_answer& answer);
  void rest(time_point now);
  /// Abandons the attempt. Resumes replication if this VM may have paused it and no order may take effect.
  [[nodiscard]] std::optional<failover_action> abandon(time_point now);
  [[nodiscard]] std::optional<failover_action> end_attempt(time_point now);
  /// Writes the first claim of a service, so that a VM that starts later finds one.
  [[nodiscard]] std::optional<failover_action> claim_first(const target_directory& directory,
                                                           const failover_view& view, time_point now);

  failover_options options_;
  promotion_history history_;
  std::uint32_t synchronous_replicas_ = 0;
  step step_ = step::idle;
  time_point step_started_{};
  std::optional<time_point> lost_since_;
  time_point next_survey_{};                    ///< Earliest time of the next attempt.
  std::vector<target_id> members_;              ///< Targets of the attempt besides the primary.
  std::vector<target_id> resumed_;              ///< Targets that were last told to resume.
  std::size_t required_answers_ = 1;            ///< Answers that the attempt needs.
  term_id newest_term_;                         ///< Newest term or fence that any target has reported.
  term_id fence_term_;                          ///< Of the running fence.
  std::map<target_id, survey_answer> fenced_;   ///< Answers of the targets that confirmed the running fence.
  std::optional<time_point> late_fence_until_;  ///< Until when a command to pause may take effect.
  time_point next_resume_{};                    ///< When targets that have not confirmed are told again.
  bool is_started_ = false;                     ///< The timer has run.
  bool has_predecessor_ = false;                ///< The newest claim was of an earlier process of this VM.
  promotion_claim proposed_;                    ///< The claim that is being written.
  time_point granted_{};                        ///< When the newest claim of this VM was written.
  target_id chosen_target_;
  bool is_chosen_resumed_ = false;  ///< The target of the running order was told to receive again.
  std::uint64_t ordered_token_ = 0;
  std::uint32_t failed_orders_ = 0;  ///< In a row.
};

}  // namespace bulrushlift::sql
