#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/store_version.h"

/// @file
/// What a VM that watches the store tells its followers about the objects of one kind.
///
/// Load pattern: many objects change within a second. A follower gets the newest state of each changed object
/// once, however often it changed. Failures that it handles: a follower that missed changes, or comes from
/// another watching VM; it gets a listing with the contents that it lacks only.

namespace bulrushlift {

struct published_object {
  std::string name;
  store_version version;               ///< Of a removal: the position at which it was noticed.
  std::optional<std::string> content;  ///< JSON text; nothing if the follower has this version.
  bool is_removed = false;
};

/// Place in the changes of one process. A restarted process has another instance number.
struct publish_cursor {
  std::uint64_t instance = 0;
  std::uint64_t sequence = 0;

  friend bool operator==(const publish_cursor&, const publish_cursor&) = default;
};

struct published_batch {
  std::vector<published_object> objects;
  bool has_more = false;
  publish_cursor cursor;  ///< Where the next batch begins.
};

/// The objects of one kind and their order of change. Not thread-safe.
class published_objects {
 public:
  /// @param instance number of this process, for example the time of its start.
  explicit published_objects(std::uint64_t instance) : instance_(instance) {}

  void put(const std::string& name, const store_version& version, std::string content);
  /// @param at position in the store's history at which the removal was noticed.
  void remove(const std::string& name, const store_version& at);

  /// @param max_bytes size of names and contents above which a batch ends; a batch has one object at least.
  /// @return the changes after the cursor, or nothing if they are not known here.
  [[nodiscard]] std::optional<published_batch> changes_after(const publish_cursor& cursor,
                                                             std::size_t max_bytes) const;
  /// @param after name of the last object of the previous page; empty for the first page.
  /// @param known position that the follower has reached; objects up to it are listed without content.
  [[nodiscard]] published_batch list(const std::string& after, const store_version& known,
                                     std::size_t max_bytes) const;

  [[nodiscard]] publish_cursor cursor() const noexcept { return {instance_, sequence_}; }

 private:
  struct entry {
    std::uint64_t sequence = 0;
    store_version version;
    std::string content;
    bool is_removed = false;
  };

  entry& touch(const std::string& name);
  void forget_old_removals();

  std::uint64_t instance_;
  std::uint64_t sequence_ = 0;
  std::uint64_t first_known_ = 0;  ///< Changes up to this number may have been forgotten.
  std::map<std::string, entry> entries_;
  std::map<std::uint64_t, std::string> order_;     ///< Names by the number of their last change.
  std::map<std::uint64_t, std::string> removals_;  ///< The same for removed objects only.
};

}  // namespace bulrushlift
