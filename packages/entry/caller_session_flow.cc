#include <utility>

#include "base/log.h"
#include "entry/caller_session.h"

// What a session holds, what it is refused, and when it is read.

namespace bulrushlift::entry {
namespace {

using sql::caller_error;

// Memory of a value, a definition or a row besides its data.
constexpr std::size_t entry_overhead_bytes = 64;

}  // namespace

void caller_session::on_received(std::size_t bytes) {
  context_.resources.on_received(account_, bytes, context_.loop.now());
  update_flow();
}

void caller_session::on_sent() {
  context_.resources.on_sent(account_, context_.loop.now());
  process();
}

void caller_session::update_flow() {
  if (has_ended_) return;
  auto& budget = context_.resources;
  const auto& shares = budget.shares();
  const auto now = context_.loop.now();
  const auto input = connection_.buffered_bytes();
  const auto unsent = connection_.unsent_bytes();
  budget.hold(account_, holding::pending, pending_bytes_, now);
  budget.hold(account_, holding::running, running_bytes_, now);
  budget.hold(account_, holding::session, kept_bytes(), now);
  budget.hold(account_, holding::input, input, now);
  budget.hold(account_, holding::answer, unsent, now);
  if (is_closing_) {
    budget.release_message(account_);
    return;
  }
  const bool has_statement = is_busy_ || !pending_messages_.empty();
  budget.set_activity(account_,
                      has_statement || unsent > 0 ? caller_activity::busy
                      : transaction_              ? caller_activity::in_transaction
                                                  : caller_activity::resting,
                      now);
  const auto queued = pending_bytes_ + running_bytes_;
  if (input + queued <= shares.small_bytes) budget.release_message(account_);
  bool is_paused = queued > shares.small_bytes || unsent > shares.unsent_bytes;
  if (!is_paused && input > shares.small_bytes) is_paused = !budget.request_message(account_, now);
  connection_.pause_reading(is_paused);
}

void caller_session::close_by_force(close_reason reason) {
  if (has_ended_) return;
  context_.counters.counter("callers_closed_total", {{"reason", std::string{name_of(reason)}}}).add();
  log_warning("caller_closed", {{"reason", name_of(reason)},
                                {"database", database_},
                                {"held_bytes", std::uint64_t{context_.resources.held_by(account_)}}});
  connection_.close();
  end();
}

std::size_t caller_session::kept_bytes() const {
  return session_bytes_ + database_.size() + key_.size() + kept_by_transaction();
}

std::size_t caller_session::kept_by_transaction() const {
  return transaction_ ? transaction_->begin.id.size() + transaction_->begin.text.size() : 0;
}

bool caller_session::grow_session(std::size_t added, std::size_t removed) {
  const auto bytes = session_bytes_ + added - removed;
  const bool is_within_share = bytes <= context_.resources.shares().session_bytes;
  if (!is_within_share || !context_.resources.try_hold(account_, holding::session,
                                                       kept_bytes() + added - removed, context_.loop.now())) {
    // The session would go on without what its caller believes to be set.
    refuse_and_close(is_within_share ? caller_error::busy : caller_error::too_large,
                     "no memory for the state of the session");
    return false;
  }
  session_bytes_ = bytes;
  return true;
}

void caller_session::on_set_value(const sql::statement& statement) {
  const auto it = session_->values.find(statement.name);
  const auto entry = statement.name.size() + entry_overhead_bytes;
  const auto removed = it == session_->values.end() ? 0 : entry + it->second.size();
  if (!grow_session(entry + statement.argument.size(), removed)) return;
  session_->values[statement.name] = statement.argument;
  answer_complete("");
}

void caller_session::on_prepare(const sql::statement& statement) {
  const auto it = session_->prepared.find(statement.name);
  const auto entry = statement.name.size() + entry_overhead_bytes;
  const auto removed = it == session_->prepared.end() ? 0 : entry + it->second.shape.size();
  if (!grow_session(entry + statement.definition.shape.size(), removed)) return;
  session_->prepared[statement.name] = statement.definition;
  answer_complete("");
}

void caller_session::on_deallocate(const sql::statement& statement) {
  const auto it = session_->prepared.find(statement.name);
  if (it == session_->prepared.end()) {
    answer_error(caller_error::undefined_name, statement.name);
    return;
  }
  const auto removed = statement.name.size() + entry_overhead_bytes + it->second.shape.size();
  session_->prepared.erase(it);
  static_cast<void>(grow_session(0, removed));
  answer_complete("");
}

bool caller_session::has_room_for(const work_result& result) {
  std::size_t bytes = 0;
  for (const auto& row : result.reply.rows) bytes += row.size() + entry_overhead_bytes;
  // What is reserved for the received rows becomes free for the bytes that are sent.
  if (result.reservation) result.reservation->reset();
  return bytes == 0 || context_.resources.try_hold(account_, holding::answer,
                                                   connection_.unsent_bytes() + bytes, context_.loop.now());
}

void caller_session::refuse_result(const sql::statement& statement, const work_result& result) {
  context_.counters.counter("answers_dropped_total").add();
  router_.roll_back(result.transaction);
  work_result refused;
  refused.error = transaction_ ? caller_error::aborted : caller_error::busy;
  if (transaction_) take_transaction_result(statement, refused);
  is_operation_over_ = !transaction_;
  answer_error(*refused.error, "no memory for the answer");
}

}  // namespace bulrushlift::entry
