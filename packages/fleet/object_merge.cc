#include "fleet/object_merge.h"

#include <utility>

namespace bulrushlift {

store_version object_merge::version_of(const std::string& name) const {
  const auto it = known_.find(name);
  return it == known_.end() || pending_.contains(name) ? store_version{} : it->second;
}

object_verdict object_merge::put(const std::string& name, const store_version& version,
                                 object_origin origin) {
  const auto it = known_.find(name);
  if (it == known_.end()) {
    // All changes up to the position were merged, so the object was removed after this version.
    if (origin == object_origin::peer && is_synced_ && version <= position_) return object_verdict::older;
    known_.emplace(name, version);
    return object_verdict::applied;
  }
  if (origin == object_origin::store) pending_.erase(name);
  if (it->second.exists() && version <= it->second) {
    return version == it->second ? object_verdict::known : object_verdict::older;
  }
  pending_.erase(name);
  it->second = version;
  return object_verdict::applied;
}

bool object_merge::remove(const std::string& name, const store_version& at, object_origin origin,
                          time_point now) {
  const auto it = known_.find(name);
  if (it == known_.end()) return false;
  if (origin == object_origin::peer && it->second > at) return false;
  if (now < grace_end_) {
    pending_.insert(name);
    return false;
  }
  known_.erase(it);
  pending_.erase(name);
  return true;
}

std::set<std::string> object_merge::end_listing(const store_version& position, object_origin origin,
                                                time_point now) {
  std::set<std::string> missing;
  for (const auto& [name, version] : known_) {
    if (!listed_.contains(name)) missing.insert(name);
  }
  std::set<std::string> removed;
  for (const auto& name : missing) {
    if (remove(name, position, origin, now)) removed.insert(name);
  }
  was_peer_behind_ = origin == object_origin::peer && position < position_;
  catch_up_position_ = position_;
  if (origin == object_origin::store) {
    position_ = position;
  } else {
    advance(position);
  }
  is_synced_ = true;
  return removed;
}

void object_merge::advance(const store_version& position) {
  if (position > position_) position_ = position;
}

void object_merge::start_grace(time_point now) { grace_end_ = now + removal_grace_; }

std::set<std::string> object_merge::end_grace() {
  grace_end_ = {};
  auto names = std::exchange(pending_, {});
  for (const auto& name : names) known_.erase(name);
  return names;
}

}  // namespace bulrushlift
