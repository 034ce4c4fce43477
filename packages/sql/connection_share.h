#pragma once

#include <algorithm>
#include <cstddef>

/// @file
/// How many of a target's connections one VM may hold.
///
/// Load pattern: the owner of a service loses power or is cut off. A target keeps the
/// connections of a VM that is silent for several seconds, so the next owner can only
/// open those that are free. The shares of two owners and of two other VMs that watch
/// the primary therefore fit into the limit of a target together.

namespace bulrushlift::sql {

/// Part of a target's connection limit for a VM that does not own the service: it probes
/// the primary, and serves if it cannot reach the owner.
inline constexpr std::size_t other_share_percent = 6;

/// VMs beside the owner that watch the primary of a service.
inline constexpr std::size_t watchers_beside_owner = 2;

/// @param limit connections that the target takes from all VMs together; 0 for none.
/// @return connections that this VM may hold, at least one if there is a limit above 0.
[[nodiscard]] constexpr std::size_t connection_share(std::size_t limit, bool is_owner) noexcept {
  if (limit == 0) return 0;
  const auto other = std::max<std::size_t>(limit * other_share_percent / 100, 1);
  if (!is_owner) return other;
  const auto reserved = watchers_beside_owner * other;
  // Half of the rest is left for the next owner.
  return limit > reserved + 1 ? (limit - reserved) / 2 : 1;
}

}  // namespace bulrushlift::sql
