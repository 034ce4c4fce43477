#pragma once

#include <algorithm>
#include <cstddef>

/// @file
/// How many connections to a target one VM may hold.
///
/// Failure: the owner of a service crashes or is partitioned. A target keeps the connections
/// of a silent VM open for several seconds, so the next owner can use only the free ones.
/// The shares of two owners and of two other VMs that probe the primary therefore fit into
/// the connection limit of a target together.

namespace bulrushlift::sql {

/// Share of a target's connection limit, in percent, for a VM that does not own the service.
/// Such a VM probes the primary, and runs statements itself if it cannot reach the owner.
inline constexpr std::size_t non_owner_share_percent = 6;

/// VMs other than the owner that probe the primary of a service.
inline constexpr std::size_t non_owner_watchers = 2;

/// @param limit connections that the target accepts from all VMs together; 0 for none.
/// @param is_owner whether this VM owns the service.
/// @return connections that this VM may hold; at least one if `limit` is above 0.
[[nodiscard]] constexpr std::size_t connection_share(std::size_t limit, bool is_owner) noexcept {
  if (limit == 0) return 0;
  const auto non_owner_share = std::max<std::size_t>(limit * non_owner_share_percent / 100, 1);
  if (!is_owner) return non_owner_share;
  const auto reserved = non_owner_watchers * non_owner_share;
  // Half of the rest is left for the next owner.
  return limit > reserved + 1 ? (limit - reserved) / 2 : 1;
}

}  // namespace bulrushlift::sql
