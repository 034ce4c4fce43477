#pragma once

#include <vector>

#include "document/document.h"
#include "limits/budget_controller.h"
#include "limits/fair_queue.h"
#include "limits/key_ring.h"

/// @file
/// What the controllers of this package take from an environment document.

namespace bulrushlift {

/// @return VMs, rates and bursts; fractions below a thousandth are cut off.
[[nodiscard]] budget_document budgets_of(const document& source);

/// @return all keys, revoked ones included.
[[nodiscard]] std::vector<customer_keys> keys_of(const document& source);

/// @return the weights of all customers.
[[nodiscard]] customer_weights weights_of(const document& source);

}  // namespace bulrushlift
