#pragma once

#include "base/error.h"
#include "daemon/accept.h"
#include "daemon/context.h"
#include "fleet/configuration_controller.h"

/// @file
/// Pipeline step "authenticate": finds the customer of a request by its key. Later steps never see the key.

namespace bulrushlift {

/// Finds the customer by the key and checks its access to the route. Removes the key from the request.
/// @param state freshness of the configuration; a stale one must not be used to accept keys.
/// @return the customer, anonymous on an open route without a key; `no_configuration`,
///   `configuration_stale`, `no_route`, `forbidden` or an error of the key ring.
[[nodiscard]] result<customer_id> authenticate(const shared_state& shared, freshness state,
                                               caller_request& request);

}  // namespace bulrushlift
