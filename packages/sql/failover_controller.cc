#include "sql/failover_controller.h"

#include <algorithm>
#include <utility>

namespace bulrushlift::sql {
namespace {

// A step without an answer is abandoned after this time.
constexpr duration step_timeout = std::chrono::seconds{2};

// Targets that the platform runs for a service; in a shorter list some are missing.
constexpr std::size_t expected_group_size = 3;

bool is_promotable(const target_directory& directory, const target_entry* entry) {
  return entry != nullptr && !entry->info.is_leaving && !directory.is_evacuated(*entry);
}

/// @return whether a target is listed in a data centre that is evacuated.
bool is_evacuated(const target_directory& directory, const target_id& target) {
  const auto* entry = directory.find(target);
  return entry != nullptr && directory.is_evacuated(*entry);
}

}  // namespace

std::string_view name_of(loss_reason reason) noexcept {
  switch (reason) {
    case loss_reason::unlisted:
      return "unlisted";
    case loss_reason::leaving:
      return "leaving";
    case loss_reason::evacuated:
      return "evacuated";
    case loss_reason::unreachable:
      return "unreachable";
    case loss_reason::leaderless:
      break;
  }
  return "leaderless";
}

void failover_controller::enter(step next, time_point now) noexcept {
  step_ = next;
  step_started_ = now;
}

std::optional<loss_reason> failover_controller::find_loss_reason(const target_directory& directory,
                                                                 bool is_list_trusted, time_point now) const {
  const auto* leader = directory.primary();
  if (leader == nullptr) {
    const auto since = directory.leaderless_since();
    const bool is_long = since && now - *since >= options_.leaderless_timeout;
    if (is_long && is_list_trusted && !directory.targets().empty()) return loss_reason::leaderless;
    return std::nullopt;
  }
  if (leader->info.is_leaving) return loss_reason::leaving;
  if (directory.is_evacuated(*leader)) return loss_reason::evacuated;
  const bool is_silent = leader->failing_since && leader->failures >= options_.min_failures &&
                         now - *leader->failing_since >= options_.silence_timeout;
  if (is_silent) return loss_reason::unreachable;
  return std::nullopt;
}

bool failover_controller::is_claim_pending(const target_directory& directory, time_point now) const {
  if (!claim_seen_ || now - *claim_seen_ >= options_.claim_timeout) return false;
  // A newer order of this VM makes its earlier one void.
  if (is_own_claim_ && unresolved_order_) return false;
  // A claim for a target that is no longer listed has no effect.
  return is_promotable(directory, directory.find(claimed_target_));
}

std::optional<failover_action> failover_controller::abandon(time_point now) {
  enter(step::idle, now);
  next_survey_ = now + options_.retry_pause;
  if (fenced_.empty() || unresolved_order_) return std::nullopt;
  return resume_targets{std::exchange(fenced_, {})};
}

std::optional<failover_action> failover_controller::on_timer(const target_directory& directory,
                                                             const failover_view& view, time_point now) {
  if (step_ == step::settling) {
    // An order for a target that has been evacuated since is not waited for.
    const bool is_over = now - step_started_ >= options_.order_timeout;
    if (!is_over && !is_evacuated(directory, chosen_target_)) return std::nullopt;
    enter(step::idle, now);
  }
  if (step_ != step::idle) {
    if (now - step_started_ < step_timeout) return std::nullopt;
    return step_ == step::ordering ? on_order(order_outcome::unknown, now) : abandon(now);
  }
  const auto reason = find_loss_reason(directory, view.is_list_trusted, now);
  if (!reason) {
    lost_since_.reset();
    return std::nullopt;
  }
  if (!lost_since_) lost_since_ = now;
  if (is_claim_pending(directory, now) || now < next_survey_) return std::nullopt;
  if (now - *lost_since_ < options_.rank_delay * static_cast<duration::rep>(view.rank)) return std::nullopt;
  survey_targets action;
  action.reason = *reason;
  for (const auto& [id, entry] : directory.targets()) {
    if (is_promotable(directory, &entry) &&
        (*reason == loss_reason::leaderless || directory.primary() != &entry)) {
      action.targets.push_back(id);
    }
  }
  if (action.targets.empty()) return std::nullopt;
  required_answers_ = 1;
  if (view.synchronous_replicas > 0) {
    newest_fence_ = std::max(newest_fence_, directory.newest_term()).next();
    action.fence = newest_fence_;
    fenced_ = action.targets;
    // Replicas that are missing from the list count too: one may have the only copy of a commit.
    const auto replicas = std::max<std::size_t>(directory.targets().size(), expected_group_size) - 1;
    const auto confirmations = std::min<std::size_t>(view.synchronous_replicas, replicas);
    required_answers_ = replicas - confirmations + 1;
  }
  enter(step::surveying, now);
  return action;
}

std::optional<failover_action> failover_controller::on_survey(const std::vector<survey_answer>& answers,
                                                              const target_directory& directory,
                                                              time_point now) {
  if (step_ != step::surveying) return std::nullopt;
  // Another VM has claimed the promotion.
  if (is_claim_pending(directory, now)) return abandon(now);
  const survey_answer* best = nullptr;
  std::size_t answered = 0;
  for (const auto& each : answers) {
    newest_fence_ = std::max(newest_fence_, each.fence_term);
    if (!each.received) continue;
    ++answered;
    // Another target is the primary already; the directory learns it from that target's answers.
    if (each.is_primary && directory.primary() == nullptr) return abandon(now);
    if (!is_promotable(directory, directory.find(each.target))) continue;
    // The target that an earlier order may still promote goes before its equals, so that the two orders
    // can't promote different ones.
    const bool is_preferred = unresolved_order_ == each.target;
    if (best == nullptr || *each.received > *best->received ||
        (is_preferred && *each.received == *best->received)) {
      best = &each;
    }
  }
  if (best == nullptr || answered < required_answers_) return abandon(now);
  chosen_target_ = best->target;
  enter(step::claiming, now);
  return claim_promotion{chosen_target_};
}

std::optional<failover_action> failover_controller::on_claim(std::optional<std::uint64_t> token,
                                                             time_point now) {
  if (step_ != step::claiming) return std::nullopt;
  if (!token) return abandon(now);
  enter(step::ordering, now);
  return order_promotion{chosen_target_, *token};
}

std::optional<failover_action> failover_controller::on_order(order_outcome outcome, time_point now) {
  if (step_ != step::ordering) return std::nullopt;
  switch (outcome) {
    case order_outcome::accepted:
      // The promotion itself ends the pause of replication, and earlier orders are refused from now on.
      fenced_.clear();
      unresolved_order_.reset();
      enter(step::settling, now);
      return std::nullopt;
    case order_outcome::unknown:
      if (!fenced_.empty()) unresolved_order_ = chosen_target_;
      break;
    case order_outcome::refused:
      break;
  }
  return abandon(now);
}

void failover_controller::on_claim_seen(const target_id& target, bool is_own, time_point now) {
  claimed_target_ = target;
  is_own_claim_ = is_own;
  claim_seen_ = now;
}

}  // namespace bulrushlift::sql
