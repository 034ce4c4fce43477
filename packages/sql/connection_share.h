#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

/// @file
/// How many connections to a target one VM may hold.
///
/// Failure: the owner of a service crashes or is partitioned. A target keeps the connections
/// of a silent VM open for several seconds, so the next owner can use only the free ones.
/// The shares of two owners and of two other VMs that probe the primary therefore fit into
/// the connection limit of a target together.
///
/// Load pattern: tens of VMs restart at once, and each connects to the targets while its view of the
/// fleet is incomplete. The connections that they keep idle would take the whole limit from the
/// owner, so a VM that neither owns nor monitors a service keeps none.

namespace bulrushlift::sql {

/// What a VM does for a service.
enum class service_role : std::uint8_t {
  owner,    ///< Holds the connections: the gateway of the data centre, or the owner of the service.
  monitor,  ///< Probes the primary, and may start a failover.
  other,    ///< Runs statements itself only while it cannot reach the VM that holds the connections.
};

/// Share of a target's connection limit, in percent, for a VM that does not own the service.
inline constexpr std::size_t non_owner_share_percent = 6;

/// VMs other than the owner that probe the primary of a service.
inline constexpr std::size_t non_owner_watchers = 2;

/// @param limit connections that the target accepts from all VMs together; 0 for none.
/// @return connections that a VM in this role may hold; at least one if `limit` is above 0.
[[nodiscard]] constexpr std::size_t connection_share(std::size_t limit, service_role role) noexcept {
  if (limit == 0) return 0;
  const auto non_owner_share = std::max<std::size_t>(limit * non_owner_share_percent / 100, 1);
  if (role != service_role::owner) return non_owner_share;
  const auto reserved = non_owner_watchers * non_owner_share;
  // Half of the rest is left for the next owner.
  return limit > reserved + 1 ? (limit - reserved) / 2 : 1;
}

/// @return connections that a VM in this role may keep idle.
[[nodiscard]] constexpr std::size_t idle_connection_share(std::size_t limit, service_role role) noexcept {
  return role == service_role::other ? 0 : connection_share(limit, role);
}

}  // namespace bulrushlift::sql
