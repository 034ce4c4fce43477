#pragma once

#include "base/error.h"
#include "daemon/target_messages.h"
#include "database/retry_policy.h"
#include "database/transaction_table.h"

/// @file
/// What the answer of a target means for the retry policy and the transaction table.

namespace bulrushlift {

/// @param answer one that is no success.
[[nodiscard]] failure_point failure_point_of(const target_answer& answer);

/// @param answer of a request of a transaction, or why there is none.
[[nodiscard]] step_result step_result_of(const result<target_answer>& answer);

}  // namespace bulrushlift
