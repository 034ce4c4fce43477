#include "database/group_promotion.h"

#include <algorithm>
#include <tuple>

#include "database/group_observation.h"

namespace bulrushlift::internal {

void group_promotion::start(const group_context& context, const target_id& excluded, bool is_planned,
                            std::string reason) {
  attempt_.emplace();
  attempt_->excluded = excluded;
  attempt_->reason = std::move(reason);
  attempt_->step_started_at = context.now;
  context.view.promotion = promotion_step::draining;
  context.log(is_planned ? "hand_over_started" : "promotion_started", excluded, attempt_->reason);
  if (!is_planned) start_fencing(context);
}

void group_promotion::cancel(const group_context& context) {
  if (!attempt_) return;
  attempt_.reset();
  context.view.promotion = promotion_step::none;
}

void group_promotion::abandon(const group_context& context, const std::string& reason) {
  context.log("promotion_abandoned", attempt_->chosen, reason);
  attempt_schedule_.fail(context);
  cancel(context);
}

// ---------------------------------------------------------------------------
// Fencing
// ---------------------------------------------------------------------------

void group_promotion::start_fencing(const group_context& context) {
  attempt_->term = context.view.term.next();
  attempt_->candidate = candidate_id{vm_.str() + "/" + std::to_string(incarnation_.value()) + "/" +
                                     std::to_string(++last_candidate_)};
  attempt_->step_started_at = context.now;
  context.view.promotion = promotion_step::fencing;
  send_fences(context);
}

void group_promotion::send_fences(const group_context& context) {
  for (const auto& target : context.view.targets) {
    if (attempt_->fenced.contains(target.target) || attempt_->refused.contains(target.target)) continue;
    auto& schedule = attempt_->fence_schedules[target.target];
    if (!schedule.is_due(context.now)) continue;
    if (context.exchanges.is_waiting(exchange_kind::fence, target.target)) continue;
    const auto timeout = context.options.step_timeout;
    const auto id = context.exchanges.open(exchange_kind::fence, target.target, context.now, timeout);
    context.actions.emplace_back(
        fence_target{id, target.target, attempt_->term, attempt_->candidate, timeout});
  }
}

void group_promotion::on_fence(const group_context& context, const fence_replied& reply) {
  observe_point(context.view, reply.target, reply.term, reply.point);
  if (!attempt_ || context.view.promotion != promotion_step::fencing) return;
  if (reply.term != attempt_->term) return;  // A higher term ends the attempt in `update`.
  if (!reply.is_accepted || reply.candidate != attempt_->candidate) {
    attempt_->refused.insert(reply.target);
    const auto possible = context.view.targets.size() - attempt_->refused.size();
    if (possible < majority_of(context.view)) abandon(context, "another candidate holds the term");
    return;
  }
  attempt_->fenced.insert_or_assign(reply.target, reply.point);
  choose_member(context);
}

std::size_t group_promotion::required_fences(const group_context& context) const {
  const bool is_broken = context.options.broken_rule == broken_group_rule::no_fencing;
  return is_broken ? 1 : majority_of(context.view);
}

target_id group_promotion::most_advanced_member(const group_context& context, bool with_excluded) const {
  const bool is_reversed = context.options.broken_rule == broken_group_rule::promote_oldest;
  target_id best;
  std::tuple<log_point, bool, bool> best_rank;
  for (const auto& target : context.view.targets) {
    const auto it = attempt_->fenced.find(target.target);
    const bool is_excluded = target.target == attempt_->excluded;
    if (it == attempt_->fenced.end() || (is_excluded && !with_excluded)) continue;
    const std::tuple rank{it->second, !is_excluded, !target.is_leaving};
    const bool is_better = is_reversed ? rank < best_rank : rank > best_rank;
    if (!best.empty() && !is_better) continue;
    best = target.target;
    best_rank = rank;
  }
  return best;
}

void group_promotion::choose_member(const group_context& context) {
  const auto& fenced = attempt_->fenced;
  const auto required = required_fences(context);
  if (fenced.size() < required) return;
  const auto others = fenced.size() - fenced.count(attempt_->excluded);
  const bool is_wait_over = context.now - attempt_->step_started_at >= context.options.exclusion_wait;
  if (others < required && !is_wait_over) return;
  attempt_->chosen = most_advanced_member(context, others < required);
  attempt_->step_started_at = context.now;
  context.view.promotion = promotion_step::promoting;
  context.log("promotion_chosen", attempt_->chosen, attempt_->reason);
  send_promote(context);
}

// ---------------------------------------------------------------------------
// Promote and follow
// ---------------------------------------------------------------------------

void group_promotion::send_promote(const group_context& context) {
  if (!attempt_->promote_schedule.is_due(context.now)) return;
  if (context.exchanges.is_waiting(exchange_kind::promote, attempt_->chosen)) return;
  const auto timeout = context.options.step_timeout;
  const auto id = context.exchanges.open(exchange_kind::promote, attempt_->chosen, context.now, timeout);
  context.actions.emplace_back(
      promote_target{id, attempt_->chosen, attempt_->term, attempt_->candidate, timeout});
}

void group_promotion::on_failure(const group_context& context, const exchange& request,
                                 request_failure reason) {
  if (request.kind == exchange_kind::follow) follow_schedules_[request.target].fail(context);
  if (!attempt_) return;
  if (request.kind == exchange_kind::fence) attempt_->fence_schedules[request.target].fail(context);
  if (request.kind != exchange_kind::promote || request.target != attempt_->chosen) return;
  attempt_->promote_schedule.fail(context);
  ++attempt_->promote_failures;
  const bool is_final = reason == request_failure::rejected;
  if (!is_final && attempt_->promote_failures < context.options.promote_attempts) return;
  const auto lost = attempt_->chosen;
  abandon(context, is_final ? "the promote request was rejected" : "the promote requests were not answered");
  if (!is_final) start(context, lost, false, "the chosen member does not answer");
}

void group_promotion::update(const group_context& context) {
  if (!attempt_) return;
  const auto& view = context.view;
  if (view.promotion == promotion_step::draining || view.term < attempt_->term) return;
  if (view.term > attempt_->term) {
    abandon(context, "a higher term was seen");
    return;
  }
  if (view.primary.empty()) return;
  const bool is_own = view.primary == attempt_->chosen;
  context.log(is_own ? "promotion_completed" : "promotion_abandoned", view.primary, attempt_->reason);
  if (is_own) context.actions.emplace_back(publish_group_status{view.service, view.term, view.primary});
  cancel(context);
  attempt_schedule_.reset();
}

void group_promotion::tick(const group_context& context, bool is_idle) {
  if (!attempt_) return;
  const auto waited = context.now - attempt_->step_started_at;
  switch (context.view.promotion) {
    case promotion_step::draining:
      if (is_idle || waited >= context.options.hand_over_wait) start_fencing(context);
      return;
    case promotion_step::fencing:
      choose_member(context);
      if (context.view.promotion == promotion_step::fencing) send_fences(context);
      return;
    case promotion_step::promoting:
      send_promote(context);
      return;
    case promotion_step::none:
      return;
  }
}

void group_promotion::send_follows(const group_context& context) {
  const auto* primary = find_target(context.view, context.view.primary);
  if (attempt_ || primary == nullptr) return;
  for (const auto& target : context.view.targets) {
    const bool is_following = target.term == context.view.term && target.primary == primary->target;
    if (target.target == primary->target || is_following) {
      follow_schedules_.erase(target.target);
      continue;
    }
    if (!target.is_reachable || !follow_schedules_[target.target].is_due(context.now)) continue;
    if (context.exchanges.is_waiting(exchange_kind::follow, target.target)) continue;
    const auto timeout = context.options.step_timeout;
    const auto id = context.exchanges.open(exchange_kind::follow, target.target, context.now, timeout);
    context.actions.emplace_back(
        follow_target{id, target.target, context.view.term, primary->target, primary->address, timeout});
  }
}

}  // namespace bulrushlift::internal
