#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "database/group_exchange.h"

/// @file
/// Promotion of a new primary in the steps fence, promote and follow (design section 3.3), after a
/// failure of the primary and in a planned hand-over.
///
/// Once `promote` was sent to a member, it is sent to no other member in the same term: the first
/// request may have taken effect although its answer is missing.

namespace bulrushlift::internal {

/// One promotion attempt.
struct promotion_attempt {
  term_id term;
  candidate_id candidate;
  target_id excluded;  ///< The failed or leaving primary.
  std::string reason;
  time_point step_started_at{};           ///< Start of the current step.
  std::map<target_id, log_point> fenced;  ///< Members that accepted the term, with their log points.
  std::set<target_id> refused;            ///< Members that did not grant the term to this candidate.
  std::map<target_id, retry_schedule> fence_schedules;
  target_id chosen;  ///< The member to promote; empty while fencing.
  std::size_t promote_failures = 0;
  retry_schedule promote_schedule;
};

/// Runs the promotion attempts of this VM, one at a time.
class group_promotion {
 public:
  group_promotion(vm_id vm, incarnation_id incarnation) : vm_(std::move(vm)), incarnation_(incarnation) {}

  [[nodiscard]] bool is_running() const noexcept { return attempt_.has_value(); }
  /// @return whether the pause after the previous attempt is over.
  [[nodiscard]] bool is_due(time_point now) const noexcept { return attempt_schedule_.is_due(now); }

  /// Starts an attempt.
  /// @param excluded the failed or leaving primary: promoted only if the other members don't
  ///   form a majority by themselves; may be empty.
  /// @param is_planned whether the attempt first waits for the writes in flight.
  /// @param reason cause of the attempt, for the log.
  void start(const group_context& context, const target_id& excluded, bool is_planned, std::string reason);

  /// Ends the attempt without a result. A request that was sent may still take effect.
  void cancel(const group_context& context);

  /// Sends the requests of the current step that are due, and goes to the next step when possible.
  /// @param is_idle whether no write is in flight.
  void tick(const group_context& context, bool is_idle);

  /// Handles the answer to a fence request. Starts to promote once a majority is fenced.
  void on_fence(const group_context& context, const fence_replied& reply);
  /// Handles the failure of a fence, promote or follow request.
  void on_failure(const group_context& context, const exchange& request, request_failure reason);
  /// Ends the attempt if a primary of its term or a higher term is known.
  void update(const group_context& context);

  /// Sends `follow` to reachable members that don't follow the known primary.
  void send_follows(const group_context& context);

 private:
  void start_fencing(const group_context& context);
  void send_fences(const group_context& context);
  void choose_member(const group_context& context);
  void send_promote(const group_context& context);
  void abandon(const group_context& context, const std::string& reason);
  [[nodiscard]] std::size_t required_fences(const group_context& context) const;
  [[nodiscard]] target_id most_advanced_member(const group_context& context, bool with_excluded) const;

  vm_id vm_;
  incarnation_id incarnation_;
  std::uint64_t last_candidate_ = 0;
  std::optional<promotion_attempt> attempt_;
  retry_schedule attempt_schedule_;
  std::map<target_id, retry_schedule> follow_schedules_;
};

}  // namespace bulrushlift::internal
