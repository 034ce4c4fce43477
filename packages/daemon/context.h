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
/// State and services shared by the components of one daemon.

namespace bulrushlift {

/// State that the adapters publish for the pipeline. Each member has one writer, named beside it.
struct shared_state {
  document configuration;                    ///< Current document. Configuration adapter.
  key_ring keys;                             ///< Configuration adapter.
  std::set<target_id> leaving_targets;       ///< Configuration adapter.
  std::vector<member> members;               ///< Membership adapter.
  drain_state drain = drain_state::running;  ///< Drain adapter.
};

/// Owns the event loop and everything else that all components use. Outlives them.
struct daemon_context {
  daemon_context(settings values, token_signer configured_signer, incarnation_id start, std::uint64_t seed)
      : options(std::move(values)), signer(std::move(configured_signer)), incarnation(start), random(seed) {}

  event_loop loop;
  settings options;
  token_signer signer;
  incarnation_id incarnation;
  metrics registry;
  std::mt19937_64 random;
  shared_state shared;
};

}  // namespace bulrushlift
