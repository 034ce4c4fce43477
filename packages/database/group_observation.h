#pragma once

#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "database/group_view.h"

/// @file
/// Merges status reports of targets into the state of the group.
///
/// The current term and the log point of a target never decrease, and within one term a
/// primary stays primary and a follower keeps its primary. The newest state is therefore the
/// highest one, and reports can be merged although they arrive late, repeated and in any order.

namespace bulrushlift::internal {

/// Merges a status report.
/// @param sent_at send time of the poll that was answered, or nothing for other reports.
void observe_status(group_view& view, const target_status& status, std::optional<time_point> sent_at);

/// Merges the term and the log point from the answer to another request.
/// @param term current term of the target, 0 if unknown.
/// @param point newest known point, zero if unknown.
void observe_point(group_view& view, const target_id& target, term_id term, const log_point& point);

}  // namespace bulrushlift::internal
