#pragma once

#include <compare>

#include "base/ids.h"

/// @file
/// Versions of objects in a store that may come back from an older copy.

namespace bulrushlift {

/// Number of the store's history. It rises by one each time the store comes back from a copy; the versions
/// after the copy are then given out again.
using store_epoch = number_id<struct store_epoch_tag>;

/// Version of an object, or a position in the store's history. Versions compare by epoch first, so that
/// one of the present history is above all of the lost one.
struct store_version {
  store_epoch epoch = {};
  object_version version = {};

  /// @return whether there is an object; version 0 means that it does not exist.
  [[nodiscard]] constexpr bool exists() const noexcept { return version != object_version{}; }

  friend constexpr bool operator==(const store_version&, const store_version&) = default;
  friend constexpr auto operator<=>(const store_version&, const store_version&) = default;
};

}  // namespace bulrushlift
