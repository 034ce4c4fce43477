#include "entry/caller_session.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace bulrushlift::entry {
namespace {

using sql::caller_error;
using sql::statement_kind;
using sql::transaction_state;

// Customer name that targets get for callers of public routes without a known key.
constexpr std::string_view anonymous = "anonymous";

// Number of messages that a caller may send before it has received the answers to earlier ones;
// more violate the protocol.
constexpr std::size_t max_pending_messages = 64;

// A running statement is held as statement, as command and as bytes for the target or a peer.
constexpr std::size_t copies_of_running = 3;

std::size_t bytes_of(const sql::statement& value) {
  return value.id.size() + value.text.size() + value.name.size() + value.argument.size() +
         value.definition.shape.size();
}

std::size_t bytes_of(const platform::caller_message& message) {
  auto sum = sizeof message;
  if (const auto* statement = std::get_if<platform::run_statement>(&message)) {
    sum += bytes_of(statement->statement);
  } else if (const auto* opening = std::get_if<platform::open_session>(&message)) {
    sum += opening->database.size() + opening->key.size();
  } else if (const auto* malformed = std::get_if<platform::malformed_statement>(&message)) {
    sum += malformed->id.size();
  }
  return sum;
}

}  // namespace

caller_session::caller_session(entry_context& context, statement_router& router, budget_adapter& budgets,
                               end_callback on_end)
    : context_(context),
      router_(router),
      budgets_(budgets),
      on_end_(std::move(on_end)),
      connection_(context.loop, *this),
      account_(context.resources.open(context.loop.now())),
      last_answer_(context.loop.now()) {}

caller_session::~caller_session() {
  *is_alive_ = false;
  clean_up();
  context_.resources.close(account_);
}

bool caller_session::is_idle() const noexcept {
  return !is_busy_ && pending_messages_.empty() && !transaction_;
}

transaction_state caller_session::state() const noexcept {
  if (!transaction_) return transaction_state::none;
  return transaction_->has_failed ? transaction_state::failed : transaction_state::open;
}

void caller_session::on_message(platform::caller_message message) {
  if (has_ended_ || is_closing_) return;
  if (pending_messages_.size() >= max_pending_messages) {
    refuse_and_close(caller_error::too_large, "too many statements ahead of their answers");
    return;
  }
  pending_bytes_ += bytes_of(message);
  pending_messages_.push_back(std::move(message));
  process();
}

void caller_session::on_oversize() { refuse_and_close(caller_error::too_large, "message too long"); }

void caller_session::on_disconnected() { end(); }

void caller_session::process() {
  if (std::exchange(is_processing_, true)) return;
  if (!is_busy_) running_bytes_ = 0;
  const auto unsent_limit = context_.resources.shares().unsent_bytes;
  while (!is_busy_ && !has_ended_ && !pending_messages_.empty() &&
         connection_.unsent_bytes() <= unsent_limit) {
    const auto message = std::move(pending_messages_.front());
    pending_messages_.pop_front();
    const auto bytes = bytes_of(message);
    pending_bytes_ -= bytes;
    running_bytes_ = bytes;
    is_operation_over_ = false;
    std::visit([this](const auto& each) { handle(each); }, message);
    if (!is_busy_) running_bytes_ = 0;
  }
  is_processing_ = false;
  update_flow();
  // The caller has not sent its next statement yet if it waits for each answer.
  if (is_operation_over_ && context_.shared.drain >= drain_phase::closing_sessions) close_after_operation();
}

customer_id caller_session::customer_of(const sql::environment& environment,
                                        const sql::database_route& route) const {
  const auto customer = environment.customer_of_key(key_);
  if (customer) return *customer;
  return route.is_public ? customer_id{anonymous} : customer_id{};
}

std::optional<caller_error> caller_session::authorize(access& out) const {
  out.environment = context_.shared.environment;
  if (!out.environment) return caller_error::busy;
  const auto* route = out.environment->find_database(database_);
  if (route == nullptr) return caller_error::no_database;
  // The route keeps the whole environment alive.
  out.route = {out.environment, route};
  out.customer = customer_of(*out.environment, *out.route);
  if (out.customer.empty()) return caller_error::access_denied;
  return std::nullopt;
}

void caller_session::handle(const platform::open_session& message) {
  if (is_open_) {
    refuse_and_close(caller_error::malformed, "the session is open already");
    return;
  }
  if (context_.shared.drain >= drain_phase::refusing) {
    refuse_and_close(caller_error::busy, "the VM is shutting down");
    return;
  }
  database_ = message.database;
  key_ = message.key;
  access allowed;
  if (const auto refusal = authorize(allowed)) {
    log_info("session_refused", {{"database", database_}, {"error", sql::name_of(*refusal)}});
    refuse_and_close(*refusal, "session refused");
    return;
  }
  if (!context_.resources.admits_session()) {
    context_.counters.counter("sessions_refused_for_memory_total").add();
    log_warning("session_refused", {{"database", database_}, {"error", "no memory for a session"}});
    refuse_and_close(caller_error::busy, "no memory for a session");
    return;
  }
  context_.resources.start(account_, allowed.customer, context_.loop.now());
  is_open_ = true;
  std::string lines;
  send_ready(lines, std::nullopt);
}

void caller_session::handle(const platform::run_statement& message) {
  if (!is_open_) {
    refuse_and_close(caller_error::malformed, "no session is open");
    return;
  }
  const auto& statement = message.statement;
  if (transaction_ && transaction_->has_failed) {
    on_failed_transaction(statement);
    return;
  }
  switch (statement.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read_only:
      on_begin(statement);
      return;
    case statement_kind::rollback:
      on_rollback(statement);
      return;
    case statement_kind::set_value:
      on_set_value(statement);
      return;
    case statement_kind::prepare:
      on_prepare(statement);
      return;
    case statement_kind::deallocate:
      on_deallocate(statement);
      return;
    case statement_kind::commit:
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
      on_data(statement);
      return;
  }
}

void caller_session::handle(const platform::malformed_statement& /*message*/) {
  if (!is_open_) {
    refuse_and_close(caller_error::malformed, "no session is open");
    return;
  }
  answer_error(caller_error::malformed, "not a statement");
}

void caller_session::handle(const platform::close_session& /*message*/) { close(); }

void caller_session::handle(const platform::malformed_message& /*message*/) {
  refuse_and_close(caller_error::malformed, "not a message");
}

void caller_session::on_failed_transaction(const sql::statement& statement) {
  is_operation_over_ = statement.kind == statement_kind::rollback || statement.kind == statement_kind::commit;
  if (statement.kind == statement_kind::rollback) {
    release_transaction();
    answer_complete("");
  } else if (statement.kind == statement_kind::commit) {
    release_transaction();
    answer_error(caller_error::aborted, "the transaction had failed and was rolled back");
  } else {
    answer_error(caller_error::malformed, "the transaction has failed");
  }
}

void caller_session::on_rollback(const sql::statement& statement) {
  if (!transaction_) {
    answer_error(caller_error::malformed, "no transaction is open");
    return;
  }
  router_.roll_back(std::exchange(transaction_->location, {}), statement);
  transaction_.reset();
  is_operation_over_ = true;
  answer_complete("");
}

void caller_session::admit(const sql::statement& statement, const access& allowed,
                           std::function<void()> next) {
  is_busy_ = true;
  const auto priority = allowed.route->priority;
  budgets_.admit(allowed.customer, priority,
                 [this, alive = is_alive_, customer = allowed.customer, priority, id = statement.id,
                  next = std::move(next)](bool is_admitted) {
                   if (!*alive || has_ended_ || is_closing_) return;
                   if (is_admitted) {
                     next();
                     return;
                   }
                   is_busy_ = false;
                   is_operation_over_ = true;
                   budgets_.log_refusal(customer, id, database_, priority);
                   answer_error(caller_error::busy, "over the customer's rate");
                   process();
                 });
}

void caller_session::on_begin(const sql::statement& statement) {
  if (transaction_) {
    answer_error(caller_error::malformed, "a transaction is open already");
    return;
  }
  if (context_.shared.drain >= drain_phase::ending_transactions) {
    refuse_operation();
    return;
  }
  access allowed;
  if (const auto refusal = authorize(allowed)) {
    answer_error(*refusal, "no longer in the configuration");
    close();
    return;
  }
  // The callback is copied, and the id may be long.
  const auto kept = std::make_shared<const sql::statement>(statement);
  admit(statement, allowed, [this, kept, allowed] {
    is_busy_ = false;
    transaction_ = transaction{};
    transaction_->begin = *kept;
    transaction_->granted = allowed;
    transaction_->last_used = context_.loop.now();
    answer_complete("");
    process();
  });
}

void caller_session::on_data(const sql::statement& statement) {
  if (statement.kind == statement_kind::execute && !session_->prepared.contains(statement.name)) {
    answer_error(caller_error::undefined_name, statement.name);
    return;
  }
  if (statement.kind == statement_kind::commit && !transaction_) {
    answer_error(caller_error::malformed, "no transaction is open");
    return;
  }
  if (transaction_) {
    run(statement, transaction_->granted);
    return;
  }
  if (context_.shared.drain >= drain_phase::refusing) {
    refuse_operation();
    return;
  }
  access allowed;
  if (const auto refusal = authorize(allowed)) {
    answer_error(*refusal, "no longer in the configuration");
    close();
    return;
  }
  // The callback is copied, and a statement may be large.
  const auto kept = std::make_shared<const sql::statement>(statement);
  admit(statement, allowed, [this, kept, allowed] { run(*kept, allowed); });
}

void caller_session::run(const sql::statement& statement, const access& allowed) {
  const auto now = context_.loop.now();
  auto item = std::make_shared<work_item>();
  item->statement = statement;
  item->route = allowed.route;
  item->customer = allowed.customer;
  item->session = session_;
  item->arrived = now;
  item->deadline = now + allowed.route->statement_timeout;
  if (const auto& last = context_.shared.last_deadline) item->deadline = std::min(item->deadline, *last);
  if (statement.kind == statement_kind::execute) item->prepared = session_->prepared[statement.name];
  if (transaction_) {
    item->pinned = transaction_->location;
    if (!item->pinned.is_set()) item->begin = transaction_->begin;
    transaction_->has_written = transaction_->has_written || item->is_write();
  }
  item->done = [this, alive = is_alive_](const work_result& result) {
    if (*alive && !has_ended_ && !is_closing_) on_result(result);
  };
  is_busy_ = true;
  running_bytes_ = copies_of_running * bytes_of(statement);
  running_ = item;
  router_.run(item);
}

void caller_session::take_transaction_result(const sql::statement& statement, const work_result& result) {
  const bool is_commit = statement.kind == statement_kind::commit;
  if (result.error) {
    transaction_->location = {};
    if (is_commit) {
      transaction_.reset();
    } else {
      transaction_->has_failed = true;
    }
    return;
  }
  if (!is_commit) {
    transaction_->location = result.transaction;
    transaction_->last_used = context_.loop.now();
    return;
  }
  if (transaction_->has_written && result.reply.point) session_->own_commit = result.reply.point;
  transaction_.reset();
}

void caller_session::on_result(const work_result& result) {
  const auto item = std::exchange(running_, nullptr);
  const auto& statement = item->statement;
  const bool is_single_write = item->is_write() && !transaction_;
  is_busy_ = false;
  if (!result.error && !is_single_write && !has_room_for(result)) {
    refuse_result(statement, result);
    process();
    return;
  }
  if (transaction_) take_transaction_result(statement, result);
  is_operation_over_ = !transaction_;
  if (result.error) {
    answer_error(*result.error, result.reason);
    process();
    return;
  }
  if (is_single_write && result.reply.point) session_->own_commit = result.reply.point;
  std::string lines;
  for (const auto& row : result.reply.rows) platform::append_row(lines, row);
  platform::append_complete(lines, result.reply.signature);
  send_ready(lines, result.reply.point);
  process();
}

void caller_session::answer_complete(std::string_view signature) {
  std::string lines;
  platform::append_complete(lines, signature);
  send_ready(lines, std::nullopt);
}

void caller_session::answer_error(caller_error kind, std::string_view text) {
  std::string lines;
  platform::append_error(lines, kind, text);
  send_ready(lines, std::nullopt);
}

void caller_session::send_ready(std::string& lines, const std::optional<log_point>& point) {
  last_answer_ = context_.loop.now();
  platform::append_ready(lines, state(), point);
  connection_.send(lines);
}

void caller_session::refuse_and_close(caller_error kind, std::string_view text) {
  std::string lines;
  platform::append_error(lines, kind, text);
  connection_.send(lines);
  close();
}

}  // namespace bulrushlift::entry
