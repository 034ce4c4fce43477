#include "sql/evacuation_set.h"

#include <utility>

namespace bulrushlift::sql {

bool evacuation_set::apply(const store_version& position, const data_centre_set& stored) {
  if (!(position > position_)) return false;
  const bool is_restored = is_known() && position.epoch != position_.epoch;
  if (is_restored) kept_.insert(stored_.begin(), stored_.end());
  for (const auto& each : stored) kept_.erase(each);
  position_ = position;
  stored_ = stored;
  auto all = stored_;
  all.insert(kept_.begin(), kept_.end());
  return std::exchange(in_force_, all) != all;
}

}  // namespace bulrushlift::sql
