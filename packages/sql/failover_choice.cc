#include <algorithm>
#include <tuple>

#include "sql/failover_controller.h"

// Which target is promoted: the answers to a survey and to a fence.

namespace bulrushlift::sql {
namespace {

// Targets that the platform runs for a service; in a shorter list some are missing.
constexpr std::size_t expected_group_size = 3;

/// @return answers that are needed so that at least one target has every acknowledged commit.
std::size_t answers_for_fence(const target_directory& directory, std::uint32_t synchronous_replicas) {
  // Replicas that are missing from the list count too: one may have the only copy of a commit.
  const auto replicas = std::max<std::size_t>(directory.targets().size(), expected_group_size) - 1;
  const auto confirmations = std::min<std::size_t>(synchronous_replicas, replicas);
  return replicas - confirmations + 1;
}

/// @return the newest term of which the target knows.
term_id known_term(const survey_answer& answer) {
  return std::max(answer.term, answer.received.value_or(log_point{}).term);
}

/// @return whether a newer term is known than the chosen target has followed. Its log may then hold commits
///   that the promotion to that term dropped.
bool follows_older_term(const survey_answer& chosen, const std::vector<survey_answer>& answers,
                        const target_directory& directory) {
  auto newest = directory.newest_term();
  for (const auto& each : answers) newest = std::max(newest, known_term(each));
  return known_term(chosen) < newest;
}

}  // namespace

std::optional<failover_action> failover_controller::survey(const target_directory& directory,
                                                           loss_reason reason, time_point now) {
  members_.clear();
  bool has_candidate = false;
  for (const auto& [id, entry] : directory.targets()) {
    if (reason != loss_reason::leaderless && directory.primary() == &entry) continue;
    const bool is_candidate = is_promotable(directory, id);
    has_candidate = has_candidate || is_candidate;
    // A leaving replica confirms commits until it ends.
    if (is_candidate || is_synchronous()) members_.push_back(id);
  }
  if (reason == loss_reason::unfinished && !history_.has_unresolved()) {
    return claim(step::claiming_resume, promotion_phase::resuming, now);
  }
  if (!has_candidate) return std::nullopt;
  required_answers_ = is_synchronous() ? answers_for_fence(directory, synchronous_replicas_) : 1;
  newest_term_ = std::max(newest_term_, directory.newest_term());
  enter(step::surveying, now);
  return survey_targets{members_, reason};
}

void failover_controller::learn_terms(const survey_answer& answer) {
  newest_term_ = std::max({newest_term_, answer.fence_term, answer.term});
  if (answer.received) newest_term_ = std::max(newest_term_, answer.received->term);
}

const survey_answer* failover_controller::find_best(const std::vector<survey_answer>& answers,
                                                    const target_directory& directory, time_point now) const {
  // The target that an earlier order may still promote goes before its equals, also if it is leaving: the
  // other one would lack what it commits in between. So does one that may receive again meanwhile.
  const auto preference = [&](const survey_answer& answer) {
    if (!is_synchronous()) return 0;
    if (history_.is_unresolved(answer.target)) return 2;
    return history_.may_be_resumed(answer.target, now) ? 1 : 0;
  };
  const auto key = [&](const survey_answer& answer) {
    return std::tuple{known_term(answer), *answer.received, preference(answer)};
  };
  const survey_answer* best = nullptr;
  for (const auto& each : answers) {
    const bool is_unresolved = is_synchronous() && history_.is_unresolved(each.target);
    if (!each.received || !(is_unresolved || is_promotable(directory, each.target))) continue;
    if (best == nullptr || key(each) > key(*best)) best = &each;
  }
  return best;
}

std::optional<failover_action> failover_controller::on_survey(const std::vector<survey_answer>& answers,
                                                              const target_directory& directory,
                                                              time_point now) {
  if (step_ != step::surveying) return std::nullopt;
  // Another VM has claimed the promotion.
  if (history_.is_pending(directory, is_synchronous(), now)) return abandon(now);
  std::size_t answered = 0;
  for (const auto& each : answers) {
    learn_terms(each);
    if (!each.received) continue;
    ++answered;
    // Another target is the primary already; the directory learns it from that target's answers.
    if (each.is_primary && (is_synchronous() || directory.primary() == nullptr)) {
      history_.on_primary(each.target);
      return abandon(now);
    }
  }
  const auto* best = find_best(answers, directory, now);
  if (best == nullptr || answered < required_answers_) return abandon(now);
  const bool may_wait = lost_since_ && now - *lost_since_ < options_.newer_term_wait;
  if (may_wait && follows_older_term(*best, answers, directory)) return abandon(now);
  chosen_target_ = best->target;
  if (!is_synchronous()) return claim(step::claiming_order, promotion_phase::ordering, now);
  // A command to resume that is still under way could end the fence.
  if (!history_.can_fence(now) || !holds_fence_for(best->target, directory, now)) return abandon(now);
  return claim(step::claiming_fence, promotion_phase::fencing, now);
}

bool failover_controller::holds_fence_for(const target_id& chosen, const target_directory& directory,
                                          time_point now) const {
  const auto* leader = directory.primary();
  return !history_.may_another_be_resumed(chosen, leader == nullptr ? target_id{} : leader->info.target, now);
}

failover_action failover_controller::fence(std::vector<target_id> targets, time_point now) {
  if (step_ != step::fencing) enter(step::fencing, now);
  return fence_targets{std::move(targets), fence_term_};
}

std::optional<failover_action> failover_controller::on_fence(const std::vector<survey_answer>& answers,
                                                             const target_directory& directory,
                                                             time_point now) {
  if (step_ != step::fencing) return std::nullopt;
  bool is_outdated = false;
  for (const auto& each : answers) {
    learn_terms(each);
    if (!each.received) {
      late_fence_until_ = now + options_.claims.late_command_time;
      continue;
    }
    if (each.is_primary) {
      history_.on_primary(each.target);
      return abandon(now);
    }
    // A target ignores a pause whose term is not above all that it knows. If one knows a newer term than
    // another, a promotion took effect in between and ended the pause of the other.
    const bool is_confirmed = each.fence_term == fence_term_ && each.term < fence_term_;
    const bool is_same_term = fenced_.empty() || fenced_.begin()->second.term == each.term;
    is_outdated = is_outdated || !is_confirmed || !is_same_term;
    if (is_confirmed) fenced_.insert_or_assign(each.target, each);
  }
  if (is_outdated) {
    fenced_.clear();
    fence_term_ = newest_term_.next();
  }
  if (fenced_.size() >= required_answers_) return choose_fenced(directory, now);
  if (now - step_started_ >= options_.fence_timeout) return abandon(now);
  std::vector<target_id> missing;
  for (const auto& each : members_) {
    if (!fenced_.contains(each)) missing.push_back(each);
  }
  return fence(std::move(missing), now);
}

std::optional<failover_action> failover_controller::choose_fenced(const target_directory& directory,
                                                                  time_point now) {
  std::vector<survey_answer> answers;
  for (const auto& [id, answer] : fenced_) answers.push_back(answer);
  const auto* best = find_best(answers, directory, now);
  const bool is_newest =
      best != nullptr && std::all_of(answers.begin(), answers.end(),
                                     [&](const auto& each) { return *each.received <= *best->received; });
  if (!is_newest) return abandon(now);
  if (!holds_fence_for(best->target, directory, now)) return abandon(now);
  chosen_target_ = best->target;
  return claim(step::claiming_order, promotion_phase::ordering, now);
}

}  // namespace bulrushlift::sql
