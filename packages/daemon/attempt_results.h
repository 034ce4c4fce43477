#pragma once

#include "base/error.h"
#include "daemon/target_messages.h"
#include "database/retry_policy.h"
#include "database/transaction_table.h"

/// @file
/// Classifies answers of targets for the retry policy and the transaction table.

namespace bulrushlift {

/// Classifies an error of a target for the retry policy.
/// @param answer an answer with an error kind.
[[nodiscard]] failure_point failure_point_of(const target_answer& answer);

/// Classifies the result of a statement, commit or rollback of a transaction.
/// @param answer the answer of the target, or the error if none arrived.
[[nodiscard]] step_result step_result_of(const result<target_answer>& answer);

}  // namespace bulrushlift
