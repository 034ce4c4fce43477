#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// Decides from where a VM fetches a newer configuration of which a heartbeat told it.
///
/// Load pattern: a document of a megabyte takes a second over a network link of 10 Mbit/s, and heartbeats
/// tell of it several times meanwhile. A transfer that is under way is left to complete: the bytes of one
/// that is given up still fill the link, so that several at once would all miss their deadline, again and
/// again.
///
///     switch (fetch.choose(generation, store, now)) { ... }

namespace bulrushlift {

/// What a VM knows about its calls to the store for the configuration.
struct store_access {
  bool is_reachable = false;  ///< The last call succeeded.
  bool is_listing = false;    ///< A listing was requested and is not complete.
  bool is_receiving = false;  ///< A response has arrived in part.
};

enum class fetch_source : std::uint8_t { none, store, peer };

/// Chooses the source and bounds the number of transfers at a time. Not thread-safe.
class configuration_fetch {
 public:
  /// A heartbeat tells of a newer generation than the one in force.
  /// @return the source to fetch it from now; `none` if a transfer may still bring it.
  [[nodiscard]] fetch_source choose(generation_id newer, const store_access& store, time_point now);

  /// A newer generation is in force.
  void on_applied();

  /// The peer that was chosen last cannot deliver.
  void on_peer_failed();

 private:
  generation_id listed_for_;  ///< Newest generation for which the store was chosen.
  time_point listed_at_{};
  time_point requested_at_{};
  duration peer_pause_{};  ///< Pause after the last request to a peer.
};

}  // namespace bulrushlift
