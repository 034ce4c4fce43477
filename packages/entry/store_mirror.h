#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "entry/entry_context.h"
#include "platform/object_store.h"

/// @file
/// Keeps a copy of the objects of one kind: lists them, then watches for changes, and
/// starts again after failures.

namespace bulrushlift::entry {

struct mirror_options {
  /// Longest wait of a watch. A silent connection hides changes for this long.
  duration watch_wait = std::chrono::seconds{4};
  /// Objects that are missing after an outage are kept for this long, because their
  /// writers may need the time to come back.
  duration removal_grace{};
};

class store_mirror {
 public:
  struct observer {
    std::function<void(const platform::stored_object&)> on_object;
    std::function<void(const std::string& name)> on_removed;
    /// The copy is complete, at first or again.
    std::function<void()> on_synced;
  };

  store_mirror(entry_context& context, platform::object_store& store, platform::object_kind kind,
               mirror_options options, observer callbacks);
  store_mirror(const store_mirror&) = delete;
  store_mirror& operator=(const store_mirror&) = delete;
  ~store_mirror() { *is_alive_ = false; }

  void start() { list(""); }

  /// Changes the wait from the next watch on.
  void set_watch_wait(duration wait) noexcept { options_.watch_wait = wait; }

  /// Lists again at once, on another connection than that of the running watch. Call when
  /// another VM knows more: the watch's connection may be silent. Calls in short sequence
  /// have no effect.
  void refresh();

  /// @return whether the last call succeeded and the first listing is complete.
  [[nodiscard]] bool is_synced() const noexcept { return is_synced_; }
  /// @return whether the last call was answered and no refresh waits for its answer.
  [[nodiscard]] bool is_reachable() const noexcept { return failures_ == 0 && !is_refreshing_; }
  /// @return the version of an object as last seen; 0 if it is not known.
  [[nodiscard]] object_version version_of(const std::string& name) const;

 private:
  void list(const std::string& after);
  void on_page(const result<platform::object_page>& page);
  void watch();
  void on_events(const result<platform::object_events>& news);
  void apply_object(const platform::stored_object& object);
  void remove_object(const std::string& name);
  void record_failure(const error& reason);
  void record_success();
  void remove_pending();

  entry_context& context_;
  platform::object_store& store_;
  platform::object_kind kind_;
  mirror_options options_;
  observer callbacks_;
  std::map<std::string, object_version> known_versions_;
  std::set<std::string> listed_names_;
  std::set<std::string> pending_removals_;  ///< Gone since an outage; removed when the grace is over.
  object_version watch_position_;
  std::uint32_t failures_ = 0;
  std::uint64_t round_ = 0;  ///< Answers to calls of earlier rounds are dropped.
  time_point last_refresh_{};
  bool is_synced_ = false;
  bool is_refreshing_ = false;
  bool needs_listing_ = true;
  time_point removal_grace_end_{};
  scoped_timer retry_timer_;
  scoped_timer grace_timer_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace bulrushlift::entry
