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
/// Decides when the primary of one service is to be replaced and by which target.
///
/// The steps are: survey the other targets for the point that they received, claim
/// the promotion in the platform's store (a conditional write whose version is the
/// fencing token), then order it. A VM that loses the claim waits for the winner.
///
/// Where commits are acknowledged once a replica received them, the survey also stops
/// the replicas from receiving, and enough of them must answer that one of these has
/// every acknowledged commit: of n replicas and s confirmations, n - s + 1.

namespace bulrushlift::sql {

enum class loss_reason : std::uint8_t { unlisted, leaving, unreachable, leaderless };
[[nodiscard]] std::string_view name_of(loss_reason reason) noexcept;

/// Ask these targets for the newest point that they received.
struct survey_targets {
  std::vector<target_id> targets;
  loss_reason reason = loss_reason::unlisted;
  /// Set where no acknowledged commit may be lost: the targets stop receiving below this term.
  std::optional<term_id> fence;
};
/// Let these targets receive again; the promotion is given up.
struct resume_targets {
  std::vector<target_id> targets;
};
/// Record the intent in the store, on the condition that no other VM did so meanwhile.
struct claim_promotion {
  target_id target;
};
/// Order the promotion with the token of the claim.
struct order_promotion {
  target_id target;
  std::uint64_t token = 0;
};
using failover_action = std::variant<survey_targets, resume_targets, claim_promotion, order_promotion>;

/// Answer of one target to the survey.
struct survey_answer {
  target_id target;
  std::optional<log_point> received;  ///< Nothing if it did not answer.
  bool is_primary = false;            ///< It says that it leads.
  term_id fence_term = {};            ///< Term of the newest pause that it knows.
};

/// What a controller needs beside the directory.
struct failover_view {
  std::size_t rank = 0;          ///< This VM's place among the watchers of the service; 0 is the owner.
  bool is_list_trusted = false;  ///< The list of targets is complete and recent.
  std::uint32_t synchronous_replicas = 0;  ///< Replicas that confirm a commit.
};

struct failover_options {
  /// Time without any answer of a primary that is still listed, after which it counts as lost.
  duration silence = std::chrono::milliseconds{1'200};
  /// Failed attempts in that time, so that one lost answer does not replace a primary.
  std::uint32_t failures = 3;
  /// Time without a known primary after which one is chosen.
  duration leaderless = std::chrono::milliseconds{800};
  /// Additional delay for each VM that ranks before this one, so that claims rarely race.
  duration rank_delay = std::chrono::milliseconds{400};
  /// Time that a claim of another VM has for its effect.
  duration claim_patience = std::chrono::milliseconds{2'500};
  /// Pause after an attempt that was given up: each survey takes a slot of every target.
  duration retry_pause = std::chrono::milliseconds{250};
  /// Time for the effect of an own order before it is repeated with a new claim.
  duration order_patience = std::chrono::milliseconds{1'500};
};

class failover_controller {
 public:
  explicit failover_controller(failover_options options) : options_(options) {}

  [[nodiscard]] std::optional<failover_action> on_timer(const target_directory& directory,
                                                        const failover_view& view, time_point now);
  [[nodiscard]] std::optional<failover_action> on_survey(const std::vector<survey_answer>& answers,
                                                         const target_directory& directory, time_point now);
  /// @param token version of the claim in the store, or nothing if it failed.
  [[nodiscard]] std::optional<failover_action> on_claim(std::optional<std::uint64_t> token, time_point now);
  /// @param accepted whether the platform accepted the order.
  [[nodiscard]] std::optional<failover_action> on_order(bool accepted, time_point now);
  /// The store shows a claim, of this VM or of another.
  void on_claim_seen(const target_id& target, time_point now);

  [[nodiscard]] bool is_idle() const noexcept { return step_ == step::idle; }

 private:
  enum class step : std::uint8_t { idle, surveying, claiming, ordering, settling };

  [[nodiscard]] std::optional<loss_reason> find_loss(const target_directory& directory, bool is_list_trusted,
                                                     time_point now) const;
  [[nodiscard]] bool is_claim_pending(const target_directory& directory, time_point now) const;
  void enter(step next, time_point now) noexcept;
  /// Returns to the start, and lets fenced targets receive again.
  [[nodiscard]] std::optional<failover_action> give_up(time_point now);

  failover_options options_;
  step step_ = step::idle;
  time_point entered_{};
  std::optional<time_point> lost_since_;
  time_point not_before_{};         ///< Of the next survey.
  std::vector<target_id> fenced_;   ///< Targets that this VM stopped from receiving.
  std::size_t needed_answers_ = 1;  ///< Of the running survey.
  term_id newest_fence_;
  target_id chosen_;
  target_id claimed_;
  std::optional<time_point> claim_seen_;
};

}  // namespace bulrushlift::sql
