#pragma once

#include <peer_types.h>

#include "base/ids.h"
#include "limits/loan.h"

/// @file
/// Converts messages about loans of rate-limit tokens to and from their Thrift form.

namespace bulrushlift {

/// @param generation generation of the configuration that is in force at the sender.
[[nodiscard]] peer::loan_request_t to_wire(const loan_request& request, generation_id generation);
/// @return the request without its id, which the wire form does not carry.
[[nodiscard]] loan_request from_wire(const peer::loan_request_t& wire);

[[nodiscard]] peer::loan_reply_t to_wire(const loan_reply& reply);
/// @param request the request that this reply answers; supplies the id, which the wire form does
///   not carry.
[[nodiscard]] loan_reply from_wire(const peer::loan_reply_t& wire, const loan_request& request);

}  // namespace bulrushlift
