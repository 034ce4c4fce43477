#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/membership_controller.h"

/// @file
/// Decides whether a VM watches a kind of objects in the store itself or follows a VM that does.
///
/// Load pattern: with a hundred VMs each change of an object wakes a hundred waiting watch calls, and each
/// idle wait costs as many calls. Two VMs of a data centre watch for all of it. Failures that it handles: a
/// watching VM that is gone, paused, restarted, of an older build or cut off from the store, also while
/// its peers still reach it.

namespace bulrushlift {

struct watch_delegation_options {
  /// Greatest age of the last confirmation that nothing newer is in the store. Above it a follower reads
  /// the store itself.
  duration bound = std::chrono::seconds{5};
  /// How long a follower looks for a watching VM that answers before it reads the store itself. Up to half
  /// of it is added at random, so that the followers of a data centre don't list all at once.
  duration search_time = std::chrono::seconds{1};
  /// Pause between two questions of a VM that reads the store whether it can follow.
  duration probe_interval = std::chrono::milliseconds{500};
  /// Pause before a VM that has fallen back follows again. It doubles with each further return that
  /// doesn't last, up to `max_return_pause`.
  duration min_return_pause = std::chrono::seconds{1};
  duration max_return_pause = std::chrono::seconds{16};
};

/// Fewest VMs of a data centre in which some follow others. Below it the two watching VMs are a large part
/// of all, so that few calls are saved.
inline constexpr std::size_t min_delegating_members = 8;

/// Number of VMs of a data centre that watch the store for the others. The second takes over when the first
/// is lost.
inline constexpr std::size_t watchers_per_data_centre = 2;

/// @return the VMs that watch the store for a data centre, in rendezvous order; none if it is too small.
[[nodiscard]] std::vector<vm_id> choose_watchers(const data_centre_id& data_centre,
                                                 std::span<const member> members);

/// A change of the source that a VM reads.
struct watch_source_change {
  std::optional<vm_id> watcher;  ///< The VM to follow; nothing to read the store.
  std::string_view reason;
  duration age{};  ///< Time since the last confirmation.
};

/// What to do after a tick; at most one of the two is set.
struct watch_tick_result {
  std::optional<watch_source_change> change;
  std::optional<vm_id> probe;  ///< Ask this VM whether it watches the store, and report the answer.
};

/// The source of one kind of objects at one VM. Not thread-safe.
class watch_delegation {
 public:
  /// @param seed differs between processes.
  watch_delegation(vm_id self, data_centre_id data_centre, watch_delegation_options options,
                   std::uint64_t seed);

  /// Replaces the known members.
  /// @return the change of the source that this causes.
  [[nodiscard]] std::optional<watch_source_change> set_members(std::span<const member> members,
                                                               time_point now);
  /// At the time `at` nothing was newer in the store than what this VM knows. Later calls with an earlier
  /// time have no effect.
  void on_confirmed(time_point at);
  /// The followed VM answered with a confirmation that is young enough.
  void on_followed(const vm_id& watcher, time_point now);
  /// The followed VM did not answer, doesn't watch the store, or has an old confirmation. The other
  /// watching VM is followed from the next call on.
  void on_follow_failed(const vm_id& watcher, time_point now);
  /// A VM answered the probe and watches the store.
  [[nodiscard]] std::optional<watch_source_change> on_probe_succeeded(const vm_id& watcher, time_point now);
  /// Call every 100 ms or so.
  [[nodiscard]] watch_tick_result on_tick(time_point now);

  /// @return the VM that is followed; nothing if the store is read.
  [[nodiscard]] const std::optional<vm_id>& source() const noexcept { return source_; }
  /// @return whether some VMs of the data centre follow others.
  [[nodiscard]] bool is_delegating() const noexcept { return !watchers_.empty(); }
  /// @return whether this VM watches the store for others.
  [[nodiscard]] bool is_watcher() const noexcept { return is_watcher_; }
  /// @return whether a confirmation of this time is young enough.
  [[nodiscard]] bool is_young(time_point confirmed_at, time_point now) const noexcept {
    return now - confirmed_at <= options_.bound;
  }

 private:
  [[nodiscard]] std::optional<watch_source_change> change_source(std::optional<vm_id> watcher,
                                                                 std::string_view reason, time_point now);
  [[nodiscard]] bool is_chosen(const vm_id& vm) const;
  [[nodiscard]] const vm_id& preferred() const;
  [[nodiscard]] const vm_id& other_than(const vm_id& vm) const;
  void lengthen_return_pause(time_point now);

  vm_id self_;
  data_centre_id data_centre_;
  watch_delegation_options options_;
  std::minstd_rand random_;
  std::vector<vm_id> watchers_;
  bool is_watcher_ = false;
  std::optional<vm_id> source_;
  std::optional<time_point> confirmed_at_;
  std::optional<time_point> searching_since_;  ///< No watching VM has answered since.
  duration search_limit_{};
  time_point following_since_{};
  time_point next_probe_{};
  std::optional<vm_id> last_probed_;
  duration return_pause_{};
};

}  // namespace bulrushlift
