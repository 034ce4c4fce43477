#pragma once

#include <peer_types.h>

#include "base/clock.h"
#include "base/error.h"
#include "daemon/request.h"

/// @file
/// Wire form of relayed requests and their replies.

namespace bulrushlift {

/// @param time_left what the owner may use of the request's time.
[[nodiscard]] peer::relay_request_t to_wire(const service_request& request,
                                            std::chrono::milliseconds time_left);

/// @return the request with its deadline counted from `now`; the service and the rights
///   of the route are not set. `protocol_error` for an unknown operation.
[[nodiscard]] result<service_request> from_wire(const peer::relay_request_t& wire, time_point now);

[[nodiscard]] peer::relay_reply_t to_wire(const result<service_reply>& reply);
[[nodiscard]] result<service_reply> from_wire(const peer::relay_reply_t& wire);

}  // namespace bulrushlift
