#include <optional>
#include <string_view>

#include "entry/statement_runner.h"

// Statements of open transactions, which run on the connection of their transaction.

namespace bulrushlift::entry {

using sql::caller_error;

void statement_runner::run_pinned(const work_ptr& item) {
  const auto& connection = item->pinned.connection;
  if (connection->is_ending || !connection->io.is_open()) {
    end_pinned(item, "the connection was closed");
    return;
  }
  const auto now = context_.loop.now();
  const auto send_at = context_.shared.cold.reserve(connection->target, now);
  if (send_at == now) {
    start(item, connection, std::nullopt);
  } else if (send_at && *send_at < item->deadline) {
    context_.loop.schedule(*send_at - now, [this, item] { start_later(item); });
  } else {
    end_pinned(item, "the target is cold");
  }
}

void statement_runner::start_later(const work_ptr& item) {
  const auto& connection = item->pinned.connection;
  if (item->is_cancelled) {
    roll_back(connection);
  } else if (connection->is_ending || !connection->io.is_open()) {
    end_pinned(item, "the connection was closed");
  } else {
    start(item, connection, std::nullopt);
  }
}

void statement_runner::end_pinned(const work_ptr& item, std::string_view reason) {
  // Closing the connection rolls the transaction back, also if it has been closed by the target.
  pool_.discard(item->pinned.connection);
  context_.loop.post([this, item, reason] { fail(item, caller_error::aborted, reason); });
}

}  // namespace bulrushlift::entry
