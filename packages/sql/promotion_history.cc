#include "sql/promotion_history.h"

#include <algorithm>
#include <array>
#include <utility>

#include "sql/fencing_token.h"

namespace bulrushlift::sql {
namespace {

constexpr std::array<std::pair<promotion_phase, std::string_view>, 4> phase_names{{
    {promotion_phase::ordering, "ordering"},
    {promotion_phase::fencing, "fencing"},
    {promotion_phase::resuming, "resuming"},
    {promotion_phase::settled, "settled"},
}};

using pending_targets = std::map<target_id, time_point>;

void extend(pending_targets& targets, const std::vector<pending_effect>& effects, time_point now) {
  for (const auto& each : effects) {
    auto& until = targets[each.target];
    until = std::max(until, now + each.remaining);
  }
}

std::vector<pending_effect> effects_of(const pending_targets& targets, time_point now) {
  std::vector<pending_effect> effects;
  for (const auto& [target, until] : targets) {
    if (until > now) effects.push_back({target, until - now});
  }
  return effects;
}

}  // namespace

std::string_view name_of(promotion_phase phase) noexcept {
  const auto* it = std::find_if(phase_names.begin(), phase_names.end(),
                                [phase](const auto& each) { return each.first == phase; });
  return it == phase_names.end() ? "ordering" : it->second;
}

std::optional<promotion_phase> promotion_phase_from(std::string_view name) noexcept {
  const auto* it = std::find_if(phase_names.begin(), phase_names.end(),
                                [name](const auto& each) { return each.second == name; });
  if (it == phase_names.end()) return std::nullopt;
  return it->first;
}

bool is_promotable(const target_directory& directory, const target_id& target) {
  const auto* entry = directory.find(target);
  return entry != nullptr && !entry->info.is_leaving && !directory.is_evacuated(*entry);
}

void promotion_history::on_start(bool is_first_start, time_point now) {
  if (!is_first_start && !has_claim()) on_store_restored(now);
}

void promotion_history::on_claim(const promotion_claim& claim, std::uint64_t token, bool is_own,
                                 time_point now) {
  if (newest_token_ && token <= *newest_token_) return;
  const bool is_of_this_process = is_own && proposed_attempt_ == claim.attempt;
  if (!newest_token_ && !is_of_this_process) {
    // The first claim that a process reads says what it has not seen, unless claims were lost since.
    const bool is_of_lost_history = claim.epoch < (token >> token_version_bits);
    unknown_until_ = now + (is_of_lost_history ? times_.late_command_time : claim.lost_history);
  }
  // A store that came back older lacks claims, of which something may still be under way.
  const bool is_older = newest_token_ && claim.attempt <= newest_.attempt;
  newest_token_ = token;
  newest_seen_ = now;
  is_accepted_ = false;
  if (claim.phase == promotion_phase::ordering) (is_own ? own_order_seen_ : other_order_seen_) = now;
  note_orders(claim, !is_older, now);
  note_resumes(claim, is_older, is_of_this_process, now);
  if (is_older && newest_.phase != promotion_phase::settled) return;
  const auto attempt = std::max(newest_.attempt, claim.attempt);
  newest_ = claim;
  newest_.attempt = attempt;
  is_own_ = is_own;
}

void promotion_history::note_orders(const promotion_claim& claim, bool is_complete, time_point now) {
  const auto until = now + times_.late_command_time;
  if (is_complete) {
    std::erase_if(unresolved_, [&claim](const auto& each) {
      return std::none_of(claim.unresolved.begin(), claim.unresolved.end(),
                          [&each](const auto& effect) { return effect.target == each.first; });
    });
  }
  extend(unresolved_, claim.unresolved, now);
  if (claim.phase != promotion_phase::ordering) return;
  const auto it = unresolved_.find(claim.target);
  earlier_until_ = it == unresolved_.end() ? std::nullopt : std::optional{it->second};
  unresolved_.insert_or_assign(claim.target, until);
}

void promotion_history::note_resumes(const promotion_claim& claim, bool is_older, bool is_of_this_process,
                                     time_point now) {
  const auto until = now + times_.late_command_time;
  extend(resumed_until_, claim.resumed, now);
  if (!is_older && claim.phase == promotion_phase::settled) unknown_resume_until_.reset();
  if (is_of_this_process) return;
  if (claim.phase == promotion_phase::resuming) unknown_resume_until_ = until;
  // The VM of the claim lets the target receive again.
  if (claim.phase == promotion_phase::ordering) resumed_until_.insert_or_assign(claim.target, until);
}

promotion_claim promotion_history::propose(const target_id& target, promotion_phase phase, time_point now) {
  proposed_attempt_ = std::max(newest_.attempt, proposed_attempt_.value_or(0)) + 1;
  promotion_claim claim{target, phase, *proposed_attempt_};
  claim.unresolved = effects_of(unresolved_, now);
  claim.resumed = effects_of(resumed_until_, now);
  claim.epoch = epoch_;
  claim.lost_history = std::max(unknown_until_ - now, duration::zero());
  return claim;
}

void promotion_history::on_order_refused(const target_id& target) {
  if (earlier_until_) {
    unresolved_.insert_or_assign(target, *earlier_until_);
  } else {
    unresolved_.erase(target);
  }
}

void promotion_history::on_order_accepted(const target_id& target, time_point now) {
  is_accepted_ = true;
  unresolved_ = {{target, now + times_.late_command_time}};
}

void promotion_history::expire(time_point now) {
  std::erase_if(unresolved_, [now](const auto& each) { return now >= each.second; });
  std::erase_if(resumed_until_, [now](const auto& each) { return now >= each.second; });
}

bool promotion_history::is_only_unresolved(const target_id& target) const {
  return std::all_of(unresolved_.begin(), unresolved_.end(),
                     [&target](const auto& each) { return each.first == target; });
}

void promotion_history::on_resume_sent(const target_id& target, time_point now) {
  const auto it = resumed_until_.find(target);
  if (it == resumed_until_.end()) {
    resumed_before_.erase(target);
  } else {
    resumed_before_.insert_or_assign(target, it->second);
  }
  resumed_until_.insert_or_assign(target, now + times_.late_command_time);
}

void promotion_history::on_resume_confirmed(const target_id& target) {
  if (const auto it = resumed_before_.find(target); it != resumed_before_.end()) {
    resumed_until_.insert_or_assign(target, it->second);
  } else {
    resumed_until_.erase(target);
  }
}

bool promotion_history::may_be_resumed(const target_id& target, time_point now) const {
  const auto it = resumed_until_.find(target);
  return it != resumed_until_.end() && now < it->second;
}

bool promotion_history::may_another_be_resumed(const target_id& chosen, const target_id& primary,
                                               time_point now) const {
  return std::any_of(resumed_until_.begin(), resumed_until_.end(), [&](const auto& each) {
    return each.first != chosen && each.first != primary && now < each.second;
  });
}

bool promotion_history::may_hold_fence(bool is_synchronous) const noexcept {
  const bool is_ordering = is_synchronous && newest_.phase == promotion_phase::ordering;
  return is_own_ && (newest_.phase == promotion_phase::fencing || is_ordering);
}

bool promotion_history::is_pending(const target_directory& directory, bool is_synchronous,
                                   time_point now) const {
  const auto is_recent = [&](const std::optional<time_point>& seen) {
    return seen && now - *seen < times_.claim_timeout;
  };
  // Also if the target of the claim is gone by now: its VM goes on at once.
  if (is_recent(other_order_seen_)) return true;
  if (!newest_token_ || !is_recent(newest_seen_)) return false;
  const bool is_settled = newest_.phase == promotion_phase::settled;
  if (is_synchronous && !is_own_) return !is_settled;
  // A VM goes on with its own attempt. If it has given up before it ordered, the others go first; after an
  // order they don't.
  if (is_synchronous) return is_settled && !is_recent(own_order_seen_);
  return is_own_ && is_accepted_ && is_promotable(directory, newest_.target);
}

bool promotion_history::is_unfinished(const target_directory& directory, bool is_synchronous,
                                      time_point now) const {
  if (!newest_token_ || newest_.phase == promotion_phase::settled) return false;
  if (!is_own_ && now - newest_seen_ < times_.claim_timeout) return false;
  if (newest_.phase != promotion_phase::ordering) return true;
  const auto* leader = directory.primary();
  const bool has_succeeded =
      leader != nullptr && leader->info.target == newest_.target && unresolved_.empty();
  return is_synchronous && !has_succeeded;
}

}  // namespace bulrushlift::sql
