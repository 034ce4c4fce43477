#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "document/document.h"
#include "document/settings.h"
#include "fleet/drain_controller.h"
#include "fleet/membership_controller.h"
#include "limits/key_ring.h"
#include "net/event_loop.h"
#include "session/token_signer.h"

/// @file
/// What the parts of one daemon share.

namespace bulrushlift {

/// State that adapters publish for the pipeline. Each entry has one writer.
struct blackboard {
  document configuration;                    ///< Configuration adapter.
  key_ring keys;                             ///< Configuration adapter.
  std::set<target_id> leaving_targets;       ///< Configuration adapter.
  std::vector<member> members;               ///< Membership adapter.
  drain_state drain = drain_state::running;  ///< Drain adapter.
};

/// Outlives all parts of the daemon.
struct daemon_context {
  daemon_context(settings values, token_signer keys_of_tokens, incarnation_id start, std::uint64_t seed)
      : options(std::move(values)), secrets(std::move(keys_of_tokens)), incarnation(start), random(seed) {}

  event_loop loop;
  settings options;
  token_signer secrets;
  incarnation_id incarnation;
  metrics registry;
  std::mt19937_64 random;
  blackboard board;
};

}  // namespace bulrushlift
