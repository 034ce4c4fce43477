#include "database/group_health.h"

#include <algorithm>

#include "database/group_observation.h"

namespace bulrushlift::internal {
namespace {

/// Weight of the newest value in the moving average of the replication rate.
constexpr double rate_weight = 0.2;
/// Rounds whose answers are still collected. With the default settings they span more time than the poll
/// timeout.
constexpr std::size_t round_limit = 8;

}  // namespace

void group_health::configure(const group_view& view) {
  std::erase_if(targets_, [&](const auto& item) { return find_target(view, item.first) == nullptr; });
  for (const auto& target : view.targets) targets_[target.target];
}

void group_health::restart(time_point now) {
  rounds_.clear();
  next_round_ = now;
  primary_seen_at_ = now;
  for (auto& [target, health] : targets_) health = {};
}

void group_health::tick(const group_context& context, bool is_polling) {
  if (!context.view.primary.empty()) primary_seen_at_ = context.now;
  if (is_polling && context.now >= next_round_) send_round(context);
  send_long_polls(context);
}

void group_health::send_round(const group_context& context) {
  next_round_ = context.now + context.options.poll_interval;
  poll_round round{context.now, {}, {}, false};
  for (const auto& target : context.view.targets) {
    const auto timeout = context.options.poll_timeout;
    const auto id = context.exchanges.open(exchange_kind::poll, target.target, context.now, timeout);
    round.polls.insert(id);
    context.actions.emplace_back(poll_target{id, target.target, timeout, false});
  }
  rounds_.push_back(std::move(round));
  if (rounds_.size() > round_limit) rounds_.pop_front();
}

void group_health::send_long_polls(const group_context& context) {
  for (const auto& target : context.view.targets) {
    if (!target.is_reachable || target.target == context.view.primary) continue;
    if (!targets_[target.target].long_poll.is_due(context.now)) continue;
    if (context.exchanges.is_waiting(exchange_kind::long_poll, target.target)) continue;
    const auto wait = context.options.long_poll_wait;
    const auto timeout = wait + context.options.poll_timeout;
    const auto id = context.exchanges.open(exchange_kind::long_poll, target.target, context.now, timeout);
    context.actions.emplace_back(long_poll_target{id, target.target, target.point, wait, timeout});
  }
}

void group_health::on_status(const group_context& context, exchange_id id,
                             const std::optional<exchange>& request, const target_status& status) {
  update_rate(context, status);
  const bool is_in_time = request && request->target == status.target;
  observe_status(context.view, status, is_in_time ? std::optional{request->sent_at} : std::nullopt);
  if (!is_in_time) return;
  on_contact(context, status.target);
  if (request->kind == exchange_kind::long_poll) targets_[status.target].long_poll.reset();
  if (request->kind == exchange_kind::poll) record_answer(context, id, status);
}

void group_health::on_contact(const group_context& context, const target_id& target) {
  auto* known = find_target(context.view, target);
  if (known == nullptr) return;
  known->is_reachable = true;
  targets_[target].failures = 0;
  targets_[target].is_refused = false;
}

void group_health::update_rate(const group_context& context, const target_status& status) {
  auto* target = find_target(context.view, status.target);
  if (target == nullptr || status.point <= target->point) return;
  auto& health = targets_[status.target];
  const auto span = std::chrono::duration<double>(context.now - health.point_changed_at).count();
  health.point_changed_at = context.now;
  if (status.point.term != target->point.term || span <= 0) return;
  const auto rate =
      static_cast<double>(status.point.position.value() - target->point.position.value()) / span;
  auto& smoothed = target->entries_per_second;
  smoothed = smoothed == 0 ? rate : smoothed + rate_weight * (rate - smoothed);
}

void group_health::record_answer(const group_context& context, exchange_id id, const target_status& status) {
  const auto round = std::find_if(rounds_.begin(), rounds_.end(),
                                  [&](const poll_round& item) { return item.polls.contains(id); });
  if (round == rounds_.end()) return;
  round->answers.insert_or_assign(status.target, status);
  take_sample(context, *round);
}

void group_health::take_sample(const group_context& context, poll_round& round) const {
  if (round.has_sample) return;
  const auto term = context.view.term;
  const auto primary = std::find_if(round.answers.begin(), round.answers.end(), [&](const auto& item) {
    const auto& status = item.second;
    return status.role == target_role::primary && status.term == term && status.point.term == term;
  });
  const auto answered = std::count_if(round.answers.begin(), round.answers.end(),
                                      [&](const auto& item) { return item.second.term == term; });
  if (primary == round.answers.end() || static_cast<std::size_t>(answered) < majority_of(context.view))
    return;
  round.has_sample = true;
  auto& samples = context.view.samples;
  const auto at = std::find_if(samples.begin(), samples.end(),
                               [&](const freshness_sample& item) { return item.sent_at > round.sent_at; });
  samples.insert(at, {round.sent_at, primary->second.point});
  if (samples.size() > context.options.sample_limit) samples.erase(samples.begin());
}

void group_health::on_failure(const group_context& context, const exchange& request, request_failure reason) {
  auto& health = targets_[request.target];
  if (request.kind == exchange_kind::long_poll) health.long_poll.fail(context);
  if (request.kind == exchange_kind::verification && reason == request_failure::refused)
    health.is_refused = true;
  if (request.kind != exchange_kind::long_poll) ++health.failures;
  if (reason == request_failure::refused && !health.is_refused) on_refused(context, request.target);
  auto* target = find_target(context.view, request.target);
  if (target == nullptr || !target->is_reachable) return;
  if (!health.is_refused && health.failures < context.options.failed_poll_limit) return;
  target->is_reachable = false;
  context.log("target_unreachable", target->target,
              health.is_refused ? "connection refused" : "polls timed out");
}

void group_health::on_refused(const group_context& context, const target_id& target) {
  const auto* known = find_target(context.view, target);
  if (known == nullptr || targets_[target].is_refused) return;
  if (context.exchanges.is_waiting(exchange_kind::verification, target)) return;
  const auto timeout = context.options.poll_timeout;
  const auto id = context.exchanges.open(exchange_kind::verification, target, context.now, timeout);
  context.actions.emplace_back(poll_target{id, target, timeout, true});
}

bool group_health::has_majority_lost_contact(const group_context& context) const {
  const auto& view = context.view;
  const auto members_without_contact =
      std::count_if(view.targets.begin(), view.targets.end(), [&](const target_view& target) {
        return target.target != view.primary && target.is_reachable && target.term == view.term &&
               target.primary == view.primary && target.primary_contact >= context.options.primary_silence;
      });
  return static_cast<std::size_t>(members_without_contact) >= majority_of(view);
}

std::optional<std::string> group_health::find_failover_reason(const group_context& context) const {
  const auto& view = context.view;
  const auto reachable = std::count_if(view.targets.begin(), view.targets.end(),
                                       [](const target_view& target) { return target.is_reachable; });
  if (static_cast<std::size_t>(reachable) < majority_of(view)) return std::nullopt;
  if (view.primary.empty()) {
    if (context.now - primary_seen_at_ < context.options.primary_silence) return std::nullopt;
    return "no primary in the current term";
  }
  const auto it = targets_.find(view.primary);
  if (it != targets_.end() && it->second.is_refused) return "connection to the primary refused";
  if (it != targets_.end() && it->second.failures >= context.options.failed_poll_limit)
    return "polls of the primary timed out";
  if (has_majority_lost_contact(context)) return "a majority has no contact with the primary";
  return std::nullopt;
}

}  // namespace bulrushlift::internal
