#pragma once

#include <peer_types.h>

#include "base/ids.h"
#include "limits/loan.h"

/// @file
/// Wire form of loans of rate budgets.

namespace bulrushlift {

/// @param generation of the configuration that the sender has in force.
[[nodiscard]] peer::loan_request_t to_wire(const loan_request& request, generation_id generation);
[[nodiscard]] loan_request from_wire(const peer::loan_request_t& wire);

[[nodiscard]] peer::loan_reply_t to_wire(const loan_reply& reply);
/// @param request the request that the reply answers; the wire form does not repeat its id.
[[nodiscard]] loan_reply from_wire(const peer::loan_reply_t& wire, const loan_request& request);

}  // namespace bulrushlift
