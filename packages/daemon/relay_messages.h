#pragma once

#include <peer_types.h>

#include "base/clock.h"
#include "base/error.h"
#include "daemon/request.h"

/// @file
/// Conversion of relayed requests and their replies to and from peer protocol messages.

namespace bulrushlift {

/// @param time_left time that the owner has until its reply must be sent.
[[nodiscard]] peer::relay_request_t to_wire(const service_request& request,
                                            std::chrono::milliseconds time_left);

/// @param now start of the remaining time in the message.
/// @return the request, without its service and `may_use_replicas`, which the receiver takes from its own
///   document; `protocol_error` for an unknown operation.
[[nodiscard]] result<service_request> from_wire(const peer::relay_request_t& wire, time_point now);

/// @param reply the reply of the owner, or its error.
[[nodiscard]] peer::relay_reply_t to_wire(const result<service_reply>& reply);
/// @return the reply, or the error that the message carries.
[[nodiscard]] result<service_reply> from_wire(const peer::relay_reply_t& wire);

}  // namespace bulrushlift
