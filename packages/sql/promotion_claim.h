#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// The claim of a promotion, which the VMs that monitor a service share in the platform's store. Each claim
/// replaces the one before on the condition that the VM knows it, so the claims of a service form one
/// sequence, and a VM that takes over knows what its predecessor left under way.

namespace bulrushlift::sql {

/// Number of VMs that monitor the primary of a service and may start a failover, in case one of them
/// cannot reach the store.
inline constexpr std::size_t monitors_per_service = 3;

/// What the VM that holds the newest claim may do.
enum class promotion_phase : std::uint8_t {
  ordering,  ///< It orders the promotion of the target.
  fencing,   ///< It pauses replication on the replicas. It has ordered nothing with this claim.
  resuming,  ///< It resumes replication. Commands to resume may still take effect.
  settled    ///< Nothing of the promotion is under way.
};
[[nodiscard]] std::string_view name_of(promotion_phase phase) noexcept;
/// @return the phase with that name, or nothing if no phase has it.
[[nodiscard]] std::optional<promotion_phase> promotion_phase_from(std::string_view name) noexcept;

/// What a target may still be subject to because of a message whose answer is missing.
struct pending_effect {
  target_id target;
  duration remaining{};  ///< For how long after the claim.

  friend bool operator==(const pending_effect&, const pending_effect&) = default;
};

/// One claim.
struct promotion_claim {
  target_id target;  ///< The target to promote, as far as it is known.
  promotion_phase phase = promotion_phase::ordering;
  /// Rises with each claim. The store gives a new version only to a write that changes the record.
  std::uint64_t attempt = 0;
  /// Targets of orders with earlier claims that may still take effect.
  std::vector<pending_effect> unresolved = {};
  /// Targets that an earlier command to resume replication may still reach.
  std::vector<pending_effect> resumed = {};
  /// Epoch of the store as far as the VM of the claim knew it. A lower one than the store's means that claims
  /// may have been lost since.
  std::uint64_t epoch = 0;
  /// For how long after the claim commands may take effect of which only the lost history of a store told
  /// that has come back older.
  duration lost_history{};

  friend bool operator==(const promotion_claim&, const promotion_claim&) = default;
};

}  // namespace bulrushlift::sql
