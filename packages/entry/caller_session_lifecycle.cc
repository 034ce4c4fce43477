#include <utility>

#include "base/log.h"
#include "entry/caller_session.h"

// How a session and its transaction end: by the caller, by a new configuration, after an idle time, or
// because the VM shuts down.

namespace bulrushlift::entry {
namespace {

// A session that is closed before its caller has read the last answers ends after this time.
constexpr duration unsent_answer_timeout = std::chrono::seconds{5};

}  // namespace

void caller_session::clean_up() {
  if (running_) {
    router_.cancel(running_);
    // A running statement holds the connection of its transaction and releases it when it ends.
    if (transaction_) transaction_->location = {};
    running_ = nullptr;
  }
  release_transaction();
}

void caller_session::end() {
  if (std::exchange(has_ended_, true)) return;
  clean_up();
  context_.resources.close(account_);
  on_end_(*this);
}

void caller_session::close_if_idle(duration min_idle_time) {
  connection_.read_available();
  if (has_ended_ || is_closing_ || !is_idle() || context_.loop.now() - last_answer_ < min_idle_time) return;
  close();
}

void caller_session::close_after_operation() {
  // This may run while the connection passes on messages, so it reads more in the next turn of the event
  // loop.
  context_.loop.post([this, alive = is_alive_] {
    if (!*alive || has_ended_ || is_closing_) return;
    connection_.read_available();
    if (!has_ended_ && is_operation_over_ && is_idle()) close();
  });
}

void caller_session::refuse_operation() {
  is_operation_over_ = true;
  answer_error(sql::caller_error::busy, "the VM is shutting down");
}

void caller_session::close() {
  if (std::exchange(is_closing_, true)) return;
  pending_messages_.clear();
  pending_bytes_ = 0;
  clean_up();
  running_bytes_ = 0;
  connection_.close_when_sent();
  update_flow();
  if (connection_.unsent_bytes() == 0) {
    end();
    return;
  }
  // The session lives until the connection has taken the answers, or the caller has not read them in time.
  context_.loop.schedule(unsent_answer_timeout, [this, alive = is_alive_] {
    if (*alive) end();
  });
}

void caller_session::release_transaction() {
  if (!transaction_) return;
  router_.roll_back(std::exchange(transaction_->location, {}));
  transaction_.reset();
}

void caller_session::abort_transaction(std::string_view reason) {
  if (is_busy_ || !transaction_ || transaction_->has_failed) return;
  log_warning("transaction_aborted",
              {{"request_id", transaction_->begin.id}, {"database", database_}, {"reason", reason}});
  router_.roll_back(std::exchange(transaction_->location, {}));
  transaction_->has_failed = true;
  // An assignment would keep the buffers of the strings.
  static_cast<void>(std::exchange(transaction_->begin, {}));
  update_flow();
}

void caller_session::on_tick(time_point now) {
  if (is_busy_ || !transaction_) return;
  // A transaction that has run nothing costs nothing, unless its begin is long.
  const bool holds_memory = kept_by_transaction() > context_.resources.shares().small_bytes;
  if (!transaction_->location.is_set() && !holds_memory) return;
  const auto limit = transaction_->granted.environment->transaction_idle_limit;
  if (now - transaction_->last_used >= limit) abort_transaction("the transaction was idle for too long");
}

void caller_session::on_configuration() {
  if (!is_open_ || has_ended_ || is_closing_) return;
  access allowed;
  const auto refusal = authorize(allowed);
  if (!refusal) return;
  if (transaction_ && refusal == sql::caller_error::access_denied) abort_transaction("the key was revoked");
  const bool has_no_pending_work = !is_busy_ && pending_messages_.empty();
  if (has_no_pending_work && (!transaction_ || transaction_->has_failed)) {
    refuse_and_close(*refusal, "no longer in the configuration");
  }
}

}  // namespace bulrushlift::entry
