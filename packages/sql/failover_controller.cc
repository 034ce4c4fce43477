#include "sql/failover_controller.h"

#include <algorithm>
#include <utility>

namespace bulrushlift::sql {
namespace {

// A step whose answer never came is abandoned after this time.
constexpr duration step_timeout = std::chrono::seconds{2};

// Targets of a service as the platform runs it; a shorter list means that some are missing.
constexpr std::size_t usual_group_size = 3;

bool can_lead(const target_entry* entry) { return entry != nullptr && !entry->info.is_leaving; }

}  // namespace

std::string_view name_of(loss_reason reason) noexcept {
  switch (reason) {
    case loss_reason::unlisted:
      return "unlisted";
    case loss_reason::leaving:
      return "leaving";
    case loss_reason::unreachable:
      return "unreachable";
    case loss_reason::leaderless:
      break;
  }
  return "leaderless";
}

void failover_controller::enter(step next, time_point now) noexcept {
  step_ = next;
  entered_ = now;
}

std::optional<loss_reason> failover_controller::find_loss(const target_directory& directory,
                                                          bool is_list_trusted, time_point now) const {
  const auto* leader = directory.primary();
  if (leader == nullptr) {
    const auto since = directory.leaderless_since();
    const bool is_long = since && now - *since >= options_.leaderless;
    if (is_long && is_list_trusted && !directory.targets().empty()) return loss_reason::leaderless;
    return std::nullopt;
  }
  if (leader->info.is_leaving) return loss_reason::leaving;
  const bool is_silent = leader->failing_since && leader->failures >= options_.failures &&
                         now - *leader->failing_since >= options_.silence;
  if (is_silent) return loss_reason::unreachable;
  return std::nullopt;
}

bool failover_controller::is_claim_pending(const target_directory& directory, time_point now) const {
  if (!claim_seen_ || now - *claim_seen_ >= options_.claim_patience) return false;
  // A claim for a target that is gone has no effect.
  return can_lead(directory.find(claimed_));
}

std::optional<failover_action> failover_controller::give_up(time_point now) {
  enter(step::idle, now);
  not_before_ = now + options_.retry_pause;
  if (fenced_.empty()) return std::nullopt;
  return resume_targets{std::exchange(fenced_, {})};
}

std::optional<failover_action> failover_controller::on_timer(const target_directory& directory,
                                                             const failover_view& view, time_point now) {
  if (step_ == step::settling) {
    if (now - entered_ < options_.order_patience) return std::nullopt;
    enter(step::idle, now);
  }
  if (step_ != step::idle) {
    if (now - entered_ >= step_timeout) return give_up(now);
    return std::nullopt;
  }
  const auto reason = find_loss(directory, view.is_list_trusted, now);
  if (!reason) {
    lost_since_.reset();
    return std::nullopt;
  }
  if (!lost_since_) lost_since_ = now;
  if (is_claim_pending(directory, now) || now < not_before_) return std::nullopt;
  if (now - *lost_since_ < options_.rank_delay * static_cast<duration::rep>(view.rank)) return std::nullopt;
  survey_targets action;
  action.reason = *reason;
  for (const auto& [id, entry] : directory.targets()) {
    if (can_lead(&entry) && (*reason == loss_reason::leaderless || directory.primary() != &entry)) {
      action.targets.push_back(id);
    }
  }
  if (action.targets.empty()) return std::nullopt;
  needed_answers_ = 1;
  if (view.synchronous_replicas > 0) {
    newest_fence_ = std::max(newest_fence_, directory.newest_term()).next();
    action.fence = newest_fence_;
    fenced_ = action.targets;
    // Replicas that left the list count as well: they may hold the only copy.
    const auto replicas = std::max<std::size_t>(directory.targets().size(), usual_group_size) - 1;
    const auto confirmations = std::min<std::size_t>(view.synchronous_replicas, replicas);
    needed_answers_ = replicas - confirmations + 1;
  }
  enter(step::surveying, now);
  return action;
}

std::optional<failover_action> failover_controller::on_survey(const std::vector<survey_answer>& answers,
                                                              const target_directory& directory,
                                                              time_point now) {
  if (step_ != step::surveying) return std::nullopt;
  // Another VM was faster.
  if (is_claim_pending(directory, now)) return give_up(now);
  const survey_answer* best = nullptr;
  std::size_t answered = 0;
  for (const auto& each : answers) {
    newest_fence_ = std::max(newest_fence_, each.fence_term);
    if (!each.received) continue;
    ++answered;
    // Another target leads already; the directory learns of it from its answers.
    if (each.is_primary && directory.primary() == nullptr) return give_up(now);
    if (!can_lead(directory.find(each.target))) continue;
    if (best == nullptr || *each.received > *best->received) best = &each;
  }
  if (best == nullptr || answered < needed_answers_) return give_up(now);
  chosen_ = best->target;
  enter(step::claiming, now);
  return claim_promotion{chosen_};
}

std::optional<failover_action> failover_controller::on_claim(std::optional<std::uint64_t> token,
                                                             time_point now) {
  if (step_ != step::claiming) return std::nullopt;
  if (!token) return give_up(now);
  enter(step::ordering, now);
  return order_promotion{chosen_, *token};
}

std::optional<failover_action> failover_controller::on_order(bool accepted, time_point now) {
  if (step_ != step::ordering) return std::nullopt;
  if (!accepted) return give_up(now);
  // The promotion ends the pause of the replicas.
  fenced_.clear();
  enter(step::settling, now);
  return std::nullopt;
}

void failover_controller::on_claim_seen(const target_id& target, time_point now) {
  claimed_ = target;
  claim_seen_ = now;
}

}  // namespace bulrushlift::sql
