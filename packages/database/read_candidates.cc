#include "database/read_candidates.h"

namespace bulrushlift {

std::vector<read_candidate> make_read_candidates(const group_view& group,
                                                 const std::map<target_id, pool_view>& pools,
                                                 time_point now) {
  std::vector<read_candidate> candidates;
  candidates.reserve(group.targets.size());
  for (const auto& target : group.targets) {
    read_candidate it;
    it.target = target.target;
    it.data_centre = target.data_centre;
    it.is_primary = target.target == group.primary && group.promotion == promotion_step::none;
    it.is_reachable = target.is_reachable;
    it.is_leaving = target.is_leaving;
    it.is_consistent = is_consistent(group, target);
    it.point = target.point;
    it.data_age = data_age(group, target.point, now);
    it.point_age = now - target.reported_at;
    it.entries_per_second = target.entries_per_second;
    if (const auto pool = pools.find(target.target); pool != pools.end()) {
      it.load = pool->second.slots_in_use;
      it.free_slots = pool->second.free_slots();
    }
    candidates.push_back(it);
  }
  return candidates;
}

}  // namespace bulrushlift
