#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "entry/work_item.h"
#include "platform/target_connection.h"
#include "sql/target_command.h"

/// @file
/// Builds the batch of commands for one attempt to run a statement on a target, and evaluates
/// the replies.

namespace bulrushlift::entry {

struct batch_plan {
  std::vector<sql::target_command> commands;
  std::size_t setup_count = 0;       ///< Number of commands that prepare the connection; they come first.
  std::optional<std::size_t> begin;  ///< Index of the command that begins a transaction, if any.
  bool is_begin_exclusive = false;   ///< Whether only the primary accepts the command at `begin`.
  std::size_t main = 0;              ///< Index of the caller's statement.

  /// The commands are sent in parts. A part is sent after all commands before it succeeded, because a target
  /// that fails one command still runs those that were sent behind it. The caller's begin and the caller's
  /// statement therefore start new parts. The proxy's own begin runs nothing of the caller and shares the
  /// part of the setup commands.
  /// @param first index of the first command of a part.
  /// @return the index behind the last command of that part.
  [[nodiscard]] std::size_t part_end(std::size_t first) const;
  /// @return the commands of the part that starts at `first`.
  [[nodiscard]] std::vector<sql::target_command> part(std::size_t first) const;
};

/// Builds the batch for one statement: a single statement, or the first or a later one of a
/// transaction.
/// @param connection the connection that will run the batch; its session state is updated as if
///   the setup commands had succeeded.
/// @param required log point that the target must have applied; nothing if the statement runs on
///   the primary.
[[nodiscard]] batch_plan plan_batch(const work_item& item, pooled_connection& connection,
                                    const std::optional<log_point>& required);

enum class attempt_outcome {
  done,     ///< The target ran the statement and answered, possibly with an error.
  not_run,  ///< The statement had no effect and may be retried on any target.
  unknown,  ///< There is no answer; the statement may have had an effect.
};

/// Result of one attempt, as evaluated from the replies.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::unknown;
  /// First error among the replies, or `connection_lost` if the statement has no reply.
  std::optional<sql::target_error> error;
  std::string error_text;
  sql::target_reply main;  ///< Reply to the caller's statement; set if the outcome is `done`.
  sql::transaction_state state = sql::transaction_state::none;  ///< State after the last reply.
  /// There was no memory for the rows, so they are missing.
  bool is_over_memory = false;
  std::shared_ptr<memory_reservation> reservation = nullptr;  ///< For the rows; null if they are small.
  bool is_connection_usable = false;  ///< Whether the connection may run further batches.
};

/// @param result the replies to all parts that were sent; its `may_have_been_sent` is about the part of the
///   caller's statement.
[[nodiscard]] attempt_result evaluate_replies(const batch_plan& plan, platform::batch_result result);

}  // namespace bulrushlift::entry
