#pragma once

#include "base/error.h"
#include "daemon/accept.h"
#include "daemon/context.h"
#include "fleet/configuration_controller.h"

/// @file
/// Pipeline step "authenticate": from a key to a customer. The key ends here.

namespace bulrushlift {

/// Takes the key out of the request.
/// @param state whether the configuration may serve requests with keys.
/// @return the customer; `no_configuration`, `configuration_stale`, `no_route`, `forbidden`
///   or an error of the key ring.
[[nodiscard]] result<customer_id> authenticate(const shared_state& shared, freshness state,
                                               caller_request& request);

}  // namespace bulrushlift
