#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "entry/work_item.h"
#include "platform/target_connection.h"
#include "sql/target_command.h"

/// @file
/// The commands of one attempt of a statement and the meaning of their replies.

namespace bulrushlift::entry {

struct batch_plan {
  std::vector<sql::target_command> commands;
  std::size_t setup_count = 0;       ///< Commands before `begin` and `main`.
  std::optional<std::size_t> begin;  ///< Index of the begin of a transaction.
  bool is_begin_exclusive = false;   ///< Only the primary accepts that begin.
  std::size_t main = 0;              ///< Index of the caller's statement.

  /// @return the commands to send first: all of them, or those up to the begin.
  [[nodiscard]] std::vector<sql::target_command> first_part() const;
  /// @return what follows once the first part succeeded; empty without a begin.
  [[nodiscard]] std::vector<sql::target_command> second_part() const;
};

/// Plans the first or only statement of an operation, or a later one of a transaction.
/// @param required log point that the target must have; unused on the primary.
[[nodiscard]] batch_plan plan_batch(const work_item& item, pooled_connection& connection,
                                    const std::optional<log_point>& required);

enum class attempt_outcome {
  done,     ///< The target answered the statement.
  not_run,  ///< It had no effect and may be tried again elsewhere.
  unknown,  ///< It may have had an effect.
};

/// What the replies of one attempt mean.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::unknown;
  std::optional<sql::target_error> error;  ///< First error among the replies.
  std::string error_text;
  sql::target_reply main;                                       ///< With `done`.
  sql::transaction_state state = sql::transaction_state::none;  ///< After the last reply.
  bool is_connection_usable = false;
};

[[nodiscard]] attempt_result evaluate_replies(const batch_plan& plan, const platform::batch_result& result);

}  // namespace bulrushlift::entry
