#pragma once

#include <map>
#include <vector>

#include "database/group_view.h"
#include "database/pool_controller.h"
#include "database/read_router.h"

/// @file
/// Candidates of the read router from the blackboard.

namespace bulrushlift {

/// @param pools of this VM by target; a target without one has no free slot.
/// @param now owner's clock.
/// @return one candidate for each target of the group, in its order.
[[nodiscard]] std::vector<read_candidate> make_read_candidates(const group_view& group,
                                                               const std::map<target_id, pool_view>& pools,
                                                               time_point now);

}  // namespace bulrushlift
