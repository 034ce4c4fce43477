#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/target_directory.h"

/// @file
/// Decides when to replace the primary of one service, and by which target.
///
/// The steps are:
/// 1. Survey the other targets: ask each for the newest log point that it received.
/// 2. Claim the promotion in the platform's store, by a conditional write whose version is
///    the fencing token. A VM that loses the claim waits for the winner.
/// 3. Order the promotion with the token.
///
/// With synchronous replication the survey also pauses replication on the replicas (the
/// fence), and enough of them must answer that at least one has every acknowledged commit:
/// n - s + 1 of n replicas, if s replicas confirm each commit.

namespace bulrushlift::sql {

/// Why a service needs a new primary.
enum class loss_reason : std::uint8_t {
  unlisted,     ///< Initial value; the controller never reports it.
  leaving,      ///< The primary is shutting down.
  evacuated,    ///< The data centre of the primary is evacuated.
  unreachable,  ///< The primary does not answer.
  leaderless    ///< No primary is known.
};
[[nodiscard]] std::string_view name_of(loss_reason reason) noexcept;

/// Ask these targets for the newest log point that they received.
struct survey_targets {
  std::vector<target_id> targets;
  loss_reason reason = loss_reason::unlisted;
  /// Set with synchronous replication, where no acknowledged commit may be lost: the targets
  /// stop receiving log entries of terms below this one.
  std::optional<term_id> fence;
};
/// The promotion was abandoned: resume replication on these targets.
struct resume_targets {
  std::vector<target_id> targets;
};
/// Record the claim in the store, on the condition that no other VM has recorded one meanwhile.
struct claim_promotion {
  target_id target;
};
/// Order the promotion, with the fencing token of the claim.
struct order_promotion {
  target_id target;
  std::uint64_t token = 0;
};
using failover_action = std::variant<survey_targets, resume_targets, claim_promotion, order_promotion>;

/// What the platform's answer says of an order.
enum class order_outcome : std::uint8_t {
  accepted,  ///< The target will lead the next term.
  refused,   ///< The order has no effect.
  unknown    ///< No answer: the order may still take effect, until one with a newer token is accepted.
};

/// One target's answer to the survey.
struct survey_answer {
  target_id target;
  std::optional<log_point> received;  ///< Newest received log point; nothing if the target did not answer.
  bool is_primary = false;            ///< The target reports itself as the primary.
  term_id fence_term = {};            ///< Highest fence that the target knows.
};

/// Inputs of the controller besides the target directory.
struct failover_view {
  std::size_t rank = 0;  ///< This VM's position among the monitors of the service; 0 starts a failover first.
  bool is_list_trusted = false;            ///< The list of targets is complete and recent.
  std::uint32_t synchronous_replicas = 0;  ///< Replicas that must confirm a commit; 0 for none.
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
  /// A claim of another VM that has had no effect after this time is ignored.
  duration claim_timeout = std::chrono::milliseconds{2'500};
  /// Pause after an abandoned attempt, because each survey takes a slot of every target.
  duration retry_pause = std::chrono::milliseconds{250};
  /// An order of this VM that has had no effect after this time is repeated with a new claim.
  duration order_timeout = std::chrono::milliseconds{1'500};
};

/// Controls the failover of one service. Does no input or output: each event returns the
/// action to perform, if any.
class failover_controller {
 public:
  explicit failover_controller(failover_options options) : options_(options) {}

  /// Call at regular intervals: starts a failover when the primary is lost, and abandons a step that
  /// got no answer in time.
  [[nodiscard]] std::optional<failover_action> on_timer(const target_directory& directory,
                                                        const failover_view& view, time_point now);
  /// The survey ended.
  /// @param answers of the surveyed targets; those that did not answer may be missing or empty.
  [[nodiscard]] std::optional<failover_action> on_survey(const std::vector<survey_answer>& answers,
                                                         const target_directory& directory, time_point now);
  /// The attempt to claim the promotion ended.
  /// @param token version of the claim in the store, or nothing if the claim failed.
  [[nodiscard]] std::optional<failover_action> on_claim(std::optional<std::uint64_t> token, time_point now);
  /// The platform answered the order, or did not in time.
  [[nodiscard]] std::optional<failover_action> on_order(order_outcome outcome, time_point now);
  /// The store reported a claim.
  /// @param is_own whether it is a claim of this VM.
  void on_claim_seen(const target_id& target, bool is_own, time_point now);

  /// @return whether no failover is in progress.
  [[nodiscard]] bool is_idle() const noexcept { return step_ == step::idle; }

 private:
  enum class step : std::uint8_t { idle, surveying, claiming, ordering, settling };

  [[nodiscard]] std::optional<loss_reason> find_loss_reason(const target_directory& directory,
                                                            bool is_list_trusted, time_point now) const;
  [[nodiscard]] bool is_claim_pending(const target_directory& directory, time_point now) const;
  void enter(step next, time_point now) noexcept;
  /// Abandons the attempt and resumes replication on the fenced targets.
  [[nodiscard]] std::optional<failover_action> abandon(time_point now);

  failover_options options_;
  step step_ = step::idle;
  time_point step_started_{};
  std::optional<time_point> lost_since_;
  time_point next_survey_{};          ///< Earliest time of the next survey.
  std::vector<target_id> fenced_;     ///< Targets on which this VM paused replication.
  std::size_t required_answers_ = 1;  ///< Answers that the running survey needs.
  term_id newest_fence_;
  target_id chosen_target_;
  /// Target of an order that may still take effect. Until it can't, the fence stays: a commit that a replica
  /// received in the meantime would be lost.
  std::optional<target_id> unresolved_order_;
  target_id claimed_target_;
  bool is_own_claim_ = false;
  std::optional<time_point> claim_seen_;
};

}  // namespace bulrushlift::sql
