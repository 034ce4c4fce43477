#include "database/write_acknowledgement.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace bulrushlift::internal {
namespace {

/// @return the highest log point of `term` that a majority has, `primary` included; zero if there is
///   none.
log_point majority_point(const group_context& context, term_id term, const target_id& primary) {
  const auto rule = context.options.broken_rule;
  std::vector<log_position> others;
  for (const auto& target : context.view.targets) {
    const bool is_counted = target.point.term == term || rule == broken_group_rule::count_any_term;
    if (target.target != primary && is_counted) others.push_back(target.point.position);
  }
  const auto needed = majority_of(context.view) - 1;
  if (needed == 0 || rule == broken_group_rule::acknowledge_alone) {
    const auto* own = bulrushlift::find_target(context.view, primary);
    return own != nullptr && own->point.term == term ? own->point : log_point{};
  }
  if (others.size() < needed) return {};
  std::sort(others.begin(), others.end(), std::greater<>{});
  return {term, others[needed - 1]};
}

}  // namespace

void write_acknowledgement::on_answered(const group_context& context, const write_answered& event) {
  sent_.erase(event.request);
  waiting_.emplace(answer_key{event.point, event.request}, waiting_answer{event.target, event.deadline});
  update(context);
}

void write_acknowledgement::update(const group_context& context) {
  acknowledge_replicated(context);
  if (!waiting_.empty() && waiting_.begin()->first.first.term < context.view.term) end_expired(context);
}

void write_acknowledgement::acknowledge_replicated(const group_context& context) {
  auto& view = context.view;
  if (view.primary.empty()) return;
  const auto point = majority_point(context, view.term, view.primary);
  view.acknowledged = std::max(view.acknowledged, point);
  for (auto it = waiting_.begin(); it != waiting_.end() && it->first.first <= point;) {
    const bool is_current = it->first.first.term == view.term && it->second.target == view.primary;
    if (!is_current) {
      ++it;
      continue;
    }
    context.actions.emplace_back(acknowledge_write{it->first.second, it->first.first});
    it = waiting_.erase(it);
  }
}

void write_acknowledgement::end_expired(const group_context& context) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const bool is_of_lower_term = it->first.first.term < context.view.term;
    if (!is_of_lower_term && it->second.deadline > context.now) {
      ++it;
      continue;
    }
    context.actions.emplace_back(end_write_unknown{it->first.second});
    it = waiting_.erase(it);
  }
}

}  // namespace bulrushlift::internal
