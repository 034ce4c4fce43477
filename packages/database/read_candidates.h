#pragma once

#include <map>
#include <vector>

#include "database/group_view.h"
#include "database/pool_controller.h"
#include "database/read_router.h"

/// @file
/// Builds the candidates of the read router from the shared state of the proxy.

namespace bulrushlift {

/// @param group state of the database group.
/// @param pools usage of this VM's pools by target; a target without a pool has no free slot.
/// @param now time by the owner's clock.
/// @return one candidate for each target of the group, in the order of `group.targets`.
[[nodiscard]] std::vector<read_candidate> make_read_candidates(const group_view& group,
                                                               const std::map<target_id, pool_view>& pools,
                                                               time_point now);

}  // namespace bulrushlift
