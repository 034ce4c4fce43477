#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/configuration_controller.h"

/// @file
/// Decides when a VM asks the store itself whether its configuration is the newest.
///
/// A few VMs watch the configuration in the store for all. The others learn from heartbeats how long ago
/// a VM confirmed the generation in force. When that is too long ago, the VMs that watch may be just those
/// that cannot reach the store, so each VM checks by itself.
///
///     monitor.on_reported(heartbeat.configuration, now);
///     if (monitor.try_check(now)) list_configuration();   // then on_confirmed(now)

namespace bulrushlift {

/// Tracks when the generation in force was last confirmed as the newest. Not thread-safe.
class confirmation_monitor {
 public:
  /// @param bound time within which a change must be in force on each VM; above zero.
  /// @param seed differs between processes.
  confirmation_monitor(duration bound, std::uint64_t seed);

  /// A newer generation is in force. The VM that it came from had just confirmed it.
  void on_applied(generation_id generation, time_point now);
  /// The store has confirmed to this VM that the generation in force is the newest.
  void on_confirmed(time_point now);
  /// A heartbeat arrived. Only its confirmation of the generation in force here is used.
  void on_reported(const configuration_status& status, time_point now);

  /// Starts a check if no VM has confirmed the generation for too long and this VM has not checked since.
  /// @return whether the caller has to ask the store now.
  [[nodiscard]] bool try_check(time_point now);

  /// @return the status to send in heartbeats.
  [[nodiscard]] configuration_status status_at(time_point now) const;

 private:
  void confirm(time_point at);

  duration limit_;
  duration max_delay_;
  std::minstd_rand random_;
  generation_id generation_;
  std::optional<time_point> confirmed_at_;
  std::optional<time_point> checked_at_;
  duration delay_{};  ///< Random part of the wait for the next check.
};

}  // namespace bulrushlift
