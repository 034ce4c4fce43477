#pragma once

#include <peer_types.h>

#include "fleet/configuration_controller.h"
#include "fleet/membership_controller.h"

/// @file
/// Wire form of heartbeats: membership messages with the sender's configuration status.

namespace bulrushlift {

[[nodiscard]] peer::configuration_status_t to_wire(const configuration_status& status);
[[nodiscard]] configuration_status from_wire(const peer::configuration_status_t& wire);

/// @param envelope with a ping or an ack.
[[nodiscard]] membership_message message_of(const peer::envelope_t& envelope);
[[nodiscard]] peer::envelope_t envelope_of(const membership_message& message,
                                           const configuration_status& status);

}  // namespace bulrushlift
