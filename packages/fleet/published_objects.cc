#include "fleet/published_objects.h"

#include <utility>

namespace bulrushlift {
namespace {

// A follower is at most seconds behind; one that missed more removals lists again.
constexpr std::size_t max_removals = 1'024;

// Bytes of an object on the wire besides its name and content.
constexpr std::size_t object_overhead = 24;

}  // namespace

published_objects::entry& published_objects::touch(const std::string& name) {
  auto& it = entries_[name];
  order_.erase(it.sequence);
  removals_.erase(it.sequence);
  it.sequence = ++sequence_;
  order_.emplace(it.sequence, name);
  return it;
}

void published_objects::put(const std::string& name, const store_version& version, std::string content) {
  auto& it = touch(name);
  it.version = version;
  it.content = std::move(content);
  it.is_removed = false;
}

void published_objects::remove(const std::string& name, const store_version& at) {
  const auto known = entries_.find(name);
  if (known == entries_.end() || known->second.is_removed) return;
  auto& it = touch(name);
  it.version = at;
  it.content.clear();
  it.is_removed = true;
  removals_.emplace(it.sequence, name);
  forget_old_removals();
}

void published_objects::forget_old_removals() {
  while (removals_.size() > max_removals) {
    const auto oldest = removals_.begin();
    first_known_ = oldest->first;
    order_.erase(oldest->first);
    entries_.erase(oldest->second);
    removals_.erase(oldest);
  }
}

std::optional<published_batch> published_objects::changes_after(const publish_cursor& cursor,
                                                                std::size_t max_bytes) const {
  if (cursor.instance != instance_ || cursor.sequence < first_known_ || cursor.sequence > sequence_) {
    return std::nullopt;
  }
  published_batch batch;
  batch.cursor = cursor;
  std::size_t bytes = 0;
  for (auto it = order_.upper_bound(cursor.sequence); it != order_.end(); ++it) {
    const auto& each = entries_.at(it->second);
    const auto size = it->second.size() + each.content.size() + object_overhead;
    if (!batch.objects.empty() && bytes + size > max_bytes) {
      batch.has_more = true;
      return batch;
    }
    bytes += size;
    std::optional<std::string> content;
    if (!each.is_removed) content = each.content;
    batch.objects.push_back({it->second, each.version, std::move(content), each.is_removed});
    batch.cursor.sequence = it->first;
  }
  return batch;
}

published_batch published_objects::list(const std::string& after, const store_version& known,
                                        std::size_t max_bytes) const {
  published_batch batch;
  batch.cursor = cursor();
  std::size_t bytes = 0;
  for (auto it = after.empty() ? entries_.begin() : entries_.upper_bound(after); it != entries_.end(); ++it) {
    const auto& each = it->second;
    if (each.is_removed) continue;
    const bool is_known = each.version <= known && each.version.epoch == known.epoch;
    const auto size = it->first.size() + (is_known ? 0 : each.content.size()) + object_overhead;
    if (!batch.objects.empty() && bytes + size > max_bytes) {
      batch.has_more = true;
      return batch;
    }
    bytes += size;
    std::optional<std::string> content;
    if (!is_known) content = each.content;
    batch.objects.push_back({it->first, each.version, std::move(content), false});
  }
  return batch;
}

}  // namespace bulrushlift
