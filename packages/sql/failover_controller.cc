#include "sql/failover_controller.h"

#include <algorithm>
#include <utility>

namespace bulrushlift::sql {
namespace {

// A step without an answer is abandoned after this time.
constexpr duration step_timeout = std::chrono::seconds{2};

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
    case loss_reason::unfinished:
      return "unfinished";
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
  const bool may_be_paused = late_fence_until_ && now >= *late_fence_until_;
  if (may_be_paused || history_.is_unfinished(directory, is_synchronous(), now))
    return loss_reason::unfinished;
  return std::nullopt;
}

void failover_controller::rest(time_point now) {
  enter(step::idle, now);
  next_survey_ = now + options_.retry_pause;
}

std::optional<failover_action> failover_controller::abandon(time_point now) {
  const bool can_resume = history_.may_hold_fence(is_synchronous()) && !history_.has_unresolved();
  if (can_resume && step_ != step::claiming_resume) {
    return claim(step::claiming_resume, promotion_phase::resuming, now);
  }
  rest(now);
  return std::nullopt;
}

failover_action failover_controller::claim(step next, promotion_phase phase, time_point now) {
  enter(next, now);
  proposed_ = history_.propose(chosen_target_, phase, now);
  return claim_promotion{proposed_};
}

std::optional<failover_action> failover_controller::on_timer(const target_directory& directory,
                                                             const failover_view& view, time_point now) {
  synchronous_replicas_ = view.synchronous_replicas;
  history_.set_epoch(view.epoch);
  if (!std::exchange(is_started_, true)) history_.on_start(options_.is_first_start, now);
  history_.expire(now);
  // Commands to pause of an earlier process of this VM may still be under way.
  if (is_synchronous() && history_.is_of_predecessor() && !std::exchange(has_predecessor_, true)) {
    late_fence_until_ = now + options_.claims.late_command_time;
  }
  if (directory.primary() != nullptr) history_.on_primary(directory.primary()->info.target);
  const auto reason = find_loss_reason(directory, view.is_list_trusted, now);
  if (step_ != step::idle) {
    auto action = continue_step(directory, reason, now);
    if (action || step_ != step::idle) return action;
  }
  if (!reason) {
    lost_since_.reset();
    return claim_first(directory, view, now);
  }
  if (!lost_since_) lost_since_ = now;
  if (history_.is_pending(directory, is_synchronous(), now) || now < next_survey_) return std::nullopt;
  if (now - *lost_since_ < options_.rank_delay * static_cast<duration::rep>(view.rank)) return std::nullopt;
  return survey(directory, *reason, now);
}

std::optional<failover_action> failover_controller::claim_first(const target_directory& directory,
                                                                const failover_view& view, time_point now) {
  const bool is_needed = is_synchronous() && !history_.has_claim() && directory.primary() != nullptr;
  if (!is_needed || view.rank != 0 || !view.is_list_trusted || now < next_survey_) return std::nullopt;
  chosen_target_ = directory.primary()->info.target;
  return end_attempt(now);
}

std::optional<failover_action> failover_controller::continue_step(const target_directory& directory,
                                                                  std::optional<loss_reason> reason,
                                                                  time_point now) {
  const bool is_late = now - step_started_ >= step_timeout;
  switch (step_) {
    case step::settling: {
      const bool is_primary =
          directory.primary() != nullptr && directory.primary()->info.target == chosen_target_;
      if (is_synchronous() && is_primary && history_.is_holder()) return end_attempt(now);
      // An order for a target that has been evacuated since is not waited for.
      const bool is_over = now - step_started_ >= options_.order_timeout;
      if (is_over || is_evacuated(directory, chosen_target_)) {
        enter(step::idle, now);
        return std::nullopt;
      }
      return is_primary ? std::nullopt : resume_chosen(now);
    }
    case step::ordering:
      return is_late ? end_order(order_outcome::unknown, now) : resume_chosen(now);
    case step::fencing:
      // The answers decide.
      return std::nullopt;
    case step::resuming: {
      if (now < next_resume_) return std::nullopt;
      // A primary that is lost meanwhile is more urgent than a replica that cannot be told.
      const bool is_lost = reason && *reason != loss_reason::unfinished;
      const bool is_any_late = std::any_of(members_.begin(), members_.end(), [&](const auto& each) {
        return history_.may_be_resumed(each, now);
      });
      if (is_lost && !is_any_late && history_.can_fence(now)) {
        enter(step::idle, now);
        return std::nullopt;
      }
      // Other VMs count from the claim how long its commands may take effect.
      if (!may_command(now)) return claim(step::claiming_resume, promotion_phase::resuming, now);
      return resume(members_, now);
    }
    default:
      return is_late ? abandon(now) : std::nullopt;
  }
}

std::optional<failover_action> failover_controller::on_claim(std::uint64_t attempt,
                                                             std::optional<std::uint64_t> token,
                                                             time_point now) {
  if (attempt != proposed_.attempt) return std::nullopt;
  if (token) {
    history_.on_claim(proposed_, *token, true, now);
    granted_ = now;
  }
  switch (step_) {
    case step::claiming_fence:
      if (!token) return abandon(now);
      fenced_.clear();
      fence_term_ = newest_term_.next();
      return fence(members_, now);
    case step::claiming_order:
      if (!token) return abandon(now);
      enter(step::ordering, now);
      ordered_token_ = *token;
      is_chosen_resumed_ = false;
      return order_promotion{chosen_target_, *token};
    case step::claiming_resume:
      if (!token) return abandon(now);
      if (late_fence_until_ && now >= *late_fence_until_) late_fence_until_.reset();
      enter(step::resuming, now);
      return resume(members_, now);
    case step::claiming_end:
      if (!token) return abandon(now);
      enter(step::idle, now);
      return std::nullopt;
    default:
      return std::nullopt;
  }
}

std::optional<failover_action> failover_controller::on_order(std::uint64_t token, order_outcome outcome,
                                                             time_point now) {
  if (step_ != step::ordering || token != ordered_token_) return std::nullopt;
  return end_order(outcome, now);
}

std::optional<failover_action> failover_controller::end_order(order_outcome outcome, time_point now) {
  if (outcome == order_outcome::accepted) {
    failed_orders_ = 0;
    history_.on_order_accepted(chosen_target_, now);
    enter(step::settling, now);
    return std::nullopt;
  }
  std::optional<failover_action> action;
  if (outcome == order_outcome::refused) {
    history_.on_order_refused(chosen_target_);
    action = abandon(now);
  } else {
    // The next order makes this one void, so it is not waited for.
    enter(step::idle, now);
    next_survey_ = now;
  }
  if (++failed_orders_ % options_.orders_in_turn == 0) {
    next_survey_ = now + options_.claims.claim_timeout +
                   options_.rank_delay * static_cast<duration::rep>(monitors_per_service);
  }
  return action;
}

failover_action failover_controller::resume(std::vector<target_id> targets, time_point now) {
  next_resume_ = now + step_timeout;
  for (const auto& each : targets) history_.on_resume_sent(each, now);
  resumed_ = targets;
  return resume_targets{std::move(targets)};
}

std::optional<failover_action> failover_controller::resume_chosen(time_point now) {
  const bool is_allowed =
      history_.is_holder() && may_command(now) && history_.is_only_unresolved(chosen_target_);
  if (!is_synchronous() || is_chosen_resumed_ || !is_allowed) return std::nullopt;
  is_chosen_resumed_ = true;
  return resume({chosen_target_}, now);
}

std::optional<failover_action> failover_controller::on_resume(const std::vector<target_id>& missing,
                                                              const std::vector<target_id>& late,
                                                              time_point now) {
  const bool is_of_order = step_ == step::ordering || step_ == step::settling;
  if (!is_of_order && step_ != step::resuming) return std::nullopt;
  for (const auto& each : resumed_) {
    if (std::find(late.begin(), late.end(), each) == late.end()) history_.on_resume_confirmed(each);
  }
  if (is_of_order) {
    // The target of the order is told again only if it never got the command.
    is_chosen_resumed_ = missing.empty() || !late.empty();
    return std::nullopt;
  }
  members_ = missing;
  if (missing.empty() && history_.can_fence(now)) return end_attempt(now);
  next_resume_ = missing.empty() ? history_.fence_time() : now + options_.resume_pause;
  return std::nullopt;
}

std::optional<failover_action> failover_controller::end_attempt(time_point now) {
  return claim(step::claiming_end, promotion_phase::settled, now);
}

void failover_controller::on_claim_seen(const promotion_claim& claim, std::uint64_t token, bool is_own,
                                        time_point now) {
  history_.on_claim(claim, token, is_own, now);
  const bool can_be_superseded = step_ == step::fencing || step_ == step::resuming || step_ == step::settling;
  if (can_be_superseded && is_synchronous() && !history_.is_holder()) rest(now);
}

}  // namespace bulrushlift::sql
