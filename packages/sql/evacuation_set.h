#pragma once

#include <cstddef>
#include <optional>
#include <set>

#include "base/clock.h"
#include "base/ids.h"
#include "base/store_version.h"

/// @file
/// The data centres whose targets get nothing, as one VM knows them.
///
/// Failure: a data centre is to be emptied while VMs are restarted, are cut off from the store, or the store
/// comes back from an older copy. Each VM keeps the whole set with the position in the store's history that
/// it reflects. The set with the higher position is the newer one, wherever it came from, so a heartbeat of
/// any VM is as good as a listing.

namespace bulrushlift::sql {

using data_centre_set = std::set<data_centre_id>;

/// What a VM tells the others in its heartbeats.
struct evacuation_status {
  store_version position;  ///< The set reflects all changes up to it; unset if nothing is known.
  data_centre_set stored;  ///< The data centres that the store lists.
  std::optional<duration> confirmed_age;  ///< Time since a VM read the store; nothing if none did.

  friend bool operator==(const evacuation_status&, const evacuation_status&) = default;
};

/// The evacuated data centres. Not thread-safe.
class evacuation_set {
 public:
  /// Takes over a set that was read from the store, by this VM or by another one.
  /// Entries that a store has lost because it came back from an older copy (the epoch of the position
  /// differs) stay in force until the store lists them again and then no more.
  /// @return whether the data centres in force changed. A set at an older position has no effect.
  bool apply(const store_version& position, const data_centre_set& stored);

  /// @return whether a set has been taken over.
  [[nodiscard]] bool is_known() const noexcept { return position_.exists(); }
  [[nodiscard]] const store_version& position() const noexcept { return position_; }
  [[nodiscard]] const data_centre_set& stored() const noexcept { return stored_; }
  /// @return the entries that the store lost and that are still in force.
  [[nodiscard]] const data_centre_set& kept() const noexcept { return kept_; }
  [[nodiscard]] const data_centre_set& in_force() const noexcept { return in_force_; }

 private:
  store_version position_;
  data_centre_set stored_;
  data_centre_set kept_;
  data_centre_set in_force_;
};

}  // namespace bulrushlift::sql
