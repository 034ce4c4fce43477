#pragma once

#include <vector>

#include "document/document.h"
#include "limits/budget_controller.h"
#include "limits/fair_queue.h"
#include "limits/key_ring.h"

/// @file
/// Converts an environment document into the input of the budget controller, the key
/// ring and the fair queue.

namespace bulrushlift {

/// @return the VMs and each customer's rate and burst, rounded down to thousandths of a token.
[[nodiscard]] budget_document budgets_of(const document& source);

/// @return the keys of all customers, revoked ones included.
[[nodiscard]] std::vector<customer_keys> keys_of(const document& source);

/// @return the weights of all customers.
[[nodiscard]] customer_weights weights_of(const document& source);

}  // namespace bulrushlift
