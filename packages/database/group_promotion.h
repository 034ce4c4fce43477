#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "database/group_exchange.h"

/// @file
/// Fence, promote and follow (section 3.3), for a lost primary and for a planned hand-over.
///
/// Once `promote` was sent to a member, no other member is asked in the same term: the first
/// request may have taken effect although its answer is missing.

namespace bulrushlift::internal {

/// One attempt at a promotion.
struct promotion_attempt {
  term_id term;
  candidate_id candidate;
  target_id excluded;
  std::string reason;
  time_point step_at{};  ///< Start of the current step.
  std::map<target_id, log_point> fenced;
  std::set<target_id> refused;
  std::map<target_id, retry_schedule> fences;
  target_id chosen;
  std::size_t promote_failures = 0;
  retry_schedule promote;
};

class group_promotion {
 public:
  group_promotion(vm_id vm, incarnation_id incarnation) : vm_(std::move(vm)), incarnation_(incarnation) {}

  [[nodiscard]] bool is_running() const noexcept { return attempt_.has_value(); }
  /// @return whether the pause after the previous attempt is over.
  [[nodiscard]] bool is_due(time_point now) const noexcept { return schedule_.is_due(now); }

  /// Starts an attempt.
  /// @param excluded the lost or leaving primary: promoted only if the other members don't
  ///   form a majority by themselves; may be empty.
  /// @param is_planned waits for the writes in flight first.
  void start(const group_context& context, const target_id& excluded, bool is_planned, std::string reason);

  /// Ends the attempt without a result. A request that was sent may still take effect.
  void cancel(const group_context& context);

  /// Repeats steps that are due.
  /// @param is_idle no write is in flight.
  void tick(const group_context& context, bool is_idle);

  void on_fence(const group_context& context, const fence_replied& reply);
  /// Takes the end of a fence, promote or follow request without an answer.
  void on_failure(const group_context& context, const exchange& request, request_failure reason);
  /// Ends the attempt if the view shows a primary of its term, or a higher term.
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
  retry_schedule schedule_;
  std::map<target_id, retry_schedule> follows_;
};

}  // namespace bulrushlift::internal
