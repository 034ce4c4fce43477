#include "database/group_observation.h"

#include <algorithm>

#include "database/group_exchange.h"

namespace bulrushlift::internal {
namespace {

/// Sets the group's term to the highest of its targets, and its primary to the one that they follow.
void update_primary(group_view& view) {
  const auto previous = view.term;
  for (const auto& target : view.targets) view.term = std::max(view.term, target.term);
  if (view.term != previous) {
    view.samples.clear();
    view.primary = {};
  }
  for (const auto& target : view.targets) {
    // A target follows only a primary whose promotion is complete.
    if (target.term != view.term || target.primary.empty()) continue;
    if (find_target(view, target.primary) != nullptr) view.primary = target.primary;
  }
}

}  // namespace

void observe_point(group_view& view, const target_id& target, term_id term, const log_point& point) {
  auto* known = find_target(view, target);
  if (known == nullptr) return;
  known->point = std::max(known->point, point);
  // An entry of a term is in a log only after the target accepted that term.
  const auto current = std::max(term, point.term);
  if (current > known->term) {
    known->term = current;
    known->role = target_role::replica;
    known->primary = {};
  }
  update_primary(view);
}

void observe_status(group_view& view, const target_status& status, std::optional<time_point> sent_at) {
  auto* known = find_target(view, status.target);
  if (known == nullptr) return;
  if (sent_at && *sent_at >= known->reported_at) {
    known->reported_at = *sent_at;
    known->primary_contact = status.primary_contact;
    known->slots = status.slots;
    known->slots_used = status.slots_used;
  }
  observe_point(view, status.target, status.term, status.point);
  if (status.term != known->term) return;
  if (status.role == target_role::primary) known->role = target_role::primary;
  if (!status.primary.empty()) known->primary = status.primary;
  update_primary(view);
}

}  // namespace bulrushlift::internal
