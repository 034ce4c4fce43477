#include "entry/statement_runner.h"

// Rollback of transactions by the statement runner, and statements whose rows are dropped.

namespace bulrushlift::entry {
namespace {

// The connection is closed if the target has not rolled back within this time.
constexpr duration rollback_timeout = std::chrono::milliseconds{500};

}  // namespace

void statement_runner::roll_back(const connection_pool::connection_ptr& connection) {
  roll_back(connection, sql::statement{});
}

void statement_runner::roll_back(const connection_pool::connection_ptr& connection,
                                 const sql::statement& statement) {
  if (!connection->io.is_open() || connection->io.is_busy()) {
    pool_.discard(connection);
    return;
  }
  sql::target_command command{sql::command_kind::rollback};
  if (!statement.id.empty()) {
    command.kind = sql::command_kind::forward;
    command.id = statement.id;
    command.text = statement.text;
  }
  connection->batch_deadline = context_.loop.now() + rollback_timeout;
  connection->io.run({command}, [this, connection](const platform::batch_result& result) {
    const bool is_ended = result.is_complete && !result.replies.empty() &&
                          result.replies.back().state == sql::transaction_state::none;
    if (is_ended) {
      pool_.release(connection);
    } else {
      pool_.discard(connection);
    }
  });
}

void statement_runner::on_dropped_rows(const work_ptr& item,
                                       const connection_pool::connection_ptr& connection,
                                       const attempt_result& attempt) {
  context_.counters.counter("answers_dropped_total").add();
  return_connection(connection, attempt);
  const bool is_single_write = item->is_write() && !item->is_in_transaction();
  fail(item,
       is_single_write             ? sql::caller_error::outcome_unknown
       : item->is_in_transaction() ? sql::caller_error::aborted
                                   : sql::caller_error::busy,
       "no memory for the answer");
}

}  // namespace bulrushlift::entry
