#pragma once

#include <peer_types.h>

#include "fleet/configuration_controller.h"
#include "fleet/membership_controller.h"

/// @file
/// Converts heartbeats, which are membership messages with the configuration status of their
/// sender, to and from their Thrift form.

namespace bulrushlift {

[[nodiscard]] peer::configuration_status_t to_wire(const configuration_status& status);
[[nodiscard]] configuration_status from_wire(const peer::configuration_status_t& wire);

/// @param envelope an envelope that holds a ping or an ack; an envelope without a ping is read as
///   an ack. Members in an unknown state are left out of the result.
[[nodiscard]] membership_message message_of(const peer::envelope_t& envelope);
/// @param message the ping, indirect ping or ack to encode.
/// @param status the configuration status of this VM, which is sent along.
[[nodiscard]] peer::envelope_t envelope_of(const membership_message& message,
                                           const configuration_status& status);

}  // namespace bulrushlift
