#include "entry/statement_runner.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "entry/attempt_report.h"
#include "sql/freshness.h"

namespace bulrushlift::entry {
namespace {

using sql::caller_error;
using sql::target_error;
using std::chrono::milliseconds;

// Attempts of one statement, including the first.
constexpr std::uint32_t max_attempts = 6;

// Pause before a retry after a target had no free slot.
constexpr duration busy_pause = milliseconds{8};

// Pause before a retry after a replica lagged behind the required log point while no primary is
// available.
constexpr duration behind_pause = milliseconds{15};

// Timeout of one attempt of a read, as a percentage of its latency objective. The read is then
// retried on another target, as the answer may be lost.
constexpr int read_timeout_percent = 75;
constexpr duration min_read_timeout = milliseconds{150};

}  // namespace

statement_runner::statement_runner(entry_context& context)
    : context_(context), pool_(context, [this](const service_id& service) { dispatch(service); }) {}

std::optional<log_point> statement_runner::required_point(const work_item& item) const {
  if (item.is_for_primary()) return std::nullopt;
  const auto directory = context_.shared.services.find(item.route->service);
  if (directory == context_.shared.services.end()) return std::nullopt;
  return sql::required_point(*item.route, item.session->own_commit, directory->second.samples(),
                             context_.loop.now());
}

bool statement_runner::try_dispatch(const work_ptr& item) {
  const auto now = context_.loop.now();
  if (item->not_before > now) return false;
  const auto directory = context_.shared.services.find(item->route->service);
  if (directory == context_.shared.services.end()) return false;
  const auto required = required_point(*item);
  auto candidates = candidates_for(*item);
  if (item->moved && is_better_elsewhere(*item, candidates)) {
    move_elsewhere(item, candidates);
    return true;
  }
  if (item->data_centre) {
    std::erase_if(candidates, [&](const target_id& target) { return !is_in_data_centre(*item, target); });
  }
  // A target whose slots are all in use needs no further connection.
  std::erase_if(candidates, [&](const target_id& target) {
    return !directory->second.has_room(target, extra_running) ||
           !context_.shared.cold.can_send(target, is_holder(directory->second, target), now);
  });
  if (candidates.empty()) return false;
  if (try_idle_connection(item, candidates, required)) return true;
  open_connection_for(item, candidates);
  return false;
}

bool statement_runner::try_idle_connection(const work_ptr& item, const std::vector<target_id>& candidates,
                                           const std::optional<log_point>& required) {
  for (const auto& target : candidates) {
    const auto connection = pool_.find_idle(target, item->customer, *item->session);
    if (!connection) continue;
    // Opens a connection to the preferred target for later reads; without one, the primary would
    // continue to serve them.
    if (target != candidates.front()) {
      connection_request later;
      later.can_wait = duration::max();
      static_cast<void>(pool_.open(item->route->service, candidates.front(), item->customer, later));
    }
    static_cast<void>(context_.shared.cold.reserve(target, context_.loop.now()));
    start(item, connection, required);
    return true;
  }
  return false;
}

void statement_runner::open_connection_for(const work_ptr& item, const std::vector<target_id>& candidates) {
  const auto& service = item->route->service;
  const auto wanted = queues_[service].waiting.count_of(item->customer);
  for (const auto& target : candidates) {
    if (pool_.opening(target, item->customer) >= wanted) return;
    const auto* entry = context_.shared.services[service].find(target);
    connection_request request;
    if (entry != nullptr) request.max_useful = entry->info.slots + extra_running;
    request.is_urgent = item->route->priority == 0;
    request.can_wait = item->wait_end - context_.loop.now();
    if (pool_.open(service, target, item->customer, request)) return;
  }
}

void statement_runner::start(const work_ptr& item, const connection_pool::connection_ptr& connection,
                             const std::optional<log_point>& required) {
  const auto now = context_.loop.now();
  ++item->attempts;
  pool_.take(connection, item->is_in_transaction() ? connection_use::pinned : connection_use::busy);
  auto batch_deadline = item->deadline;
  if (!item->is_write() && !item->is_commit()) {
    const auto timeout =
        std::max(item->route->latency_objective * read_timeout_percent / 100, min_read_timeout);
    batch_deadline = std::min(batch_deadline, now + timeout);
  }
  connection->batch_deadline = batch_deadline;
  report_start(context_, *item, *connection);
  send_part(std::make_shared<running_attempt>(
      running_attempt{item, connection, plan_batch(*item, *connection, required), now}));
}

void statement_runner::send_part(const attempt_ptr& attempt) {
  attempt->connection->io.run(
      attempt->plan.part(attempt->replies.size()),
      [this, attempt](platform::batch_result result) { on_part(attempt, std::move(result)); });
}

void statement_runner::on_part(const attempt_ptr& attempt, platform::batch_result result) {
  const auto& plan = attempt->plan;
  const bool is_main_part = plan.part_end(attempt->replies.size()) > plan.main;
  const bool has_failed = !result.is_complete ||
                          std::any_of(result.replies.begin(), result.replies.end(),
                                      [](const sql::target_reply& each) { return each.error.has_value(); });
  std::move(result.replies.begin(), result.replies.end(), std::back_inserter(attempt->replies));
  if (!is_main_part && !has_failed && !attempt->item->is_cancelled) {
    send_part(attempt);
    return;
  }
  result.replies = std::move(attempt->replies);
  result.may_have_been_sent = is_main_part && result.may_have_been_sent;
  on_batch(attempt->item, attempt->connection, plan, attempt->sent, std::move(result));
}

void statement_runner::record_replies(const work_item& item, const pooled_connection& connection,
                                      const batch_plan& plan, time_point sent,
                                      const platform::batch_result& result) {
  const auto now = context_.loop.now();
  auto& directory = context_.shared.services[connection.service];
  directory.on_finished(connection.target);
  if (result.replies.empty()) {
    directory.on_failure(connection.target, now);
    return;
  }
  directory.on_answer(connection.target, result.replies.back().point, now);
  const auto is_accepted = [&](std::size_t index) {
    return index < result.replies.size() && !result.replies[index].error && result.replies[index].point;
  };
  if (plan.begin && plan.is_begin_exclusive && is_accepted(*plan.begin)) {
    directory.on_primary_answer(connection.target, *result.replies[*plan.begin].point, sent, now);
  }
  if (item.is_write() && !item.is_in_transaction() && is_accepted(plan.main)) {
    directory.on_primary_answer(connection.target, *result.replies[plan.main].point, sent, now);
  }
}

void statement_runner::on_batch(const work_ptr& item, const connection_pool::connection_ptr& connection,
                                const batch_plan& plan, time_point sent, platform::batch_result result) {
  connection->batch_deadline.reset();
  record_replies(*item, *connection, plan, sent, result);
  const bool is_answered = !result.replies.empty();
  auto attempt = evaluate_replies(plan, std::move(result));
  const auto now = context_.loop.now();
  if (is_answered) report_attempt(context_, pool_, *item, *connection, attempt, now - sent);
  if (attempt.outcome == attempt_outcome::done) {
    queues_[connection->service].waits.on_finished(item->route->priority, now - sent, now);
  }
  if (attempt.error == target_error::read_only) {
    context_.shared.services[connection->service].on_read_only(connection->target, now);
  }
  if (item->is_cancelled) {
    return_connection(connection, attempt);
    return;
  }
  switch (attempt.outcome) {
    case attempt_outcome::done:
      on_done(item, connection, std::move(attempt));
      return;
    case attempt_outcome::not_run:
      on_refused(item, connection, attempt);
      return;
    case attempt_outcome::unknown:
      return_connection(connection, attempt);
      on_unknown_outcome(item, connection->target, attempt);
      return;
  }
}

void statement_runner::return_connection(const connection_pool::connection_ptr& connection,
                                         const attempt_result& attempt) {
  if (!attempt.is_connection_usable || !connection->io.is_open()) {
    pool_.discard(connection);
  } else if (attempt.state == sql::transaction_state::none) {
    pool_.release(connection);
  } else {
    roll_back(connection);
  }
}

void statement_runner::on_done(const work_ptr& item, const connection_pool::connection_ptr& connection,
                               attempt_result attempt) {
  if (attempt.is_over_memory && !attempt.error) {
    on_dropped_rows(item, connection, attempt);
    return;
  }
  work_result result;
  result.reply = std::move(attempt.main);
  result.reservation = attempt.reservation;
  if (attempt.error) {
    return_connection(connection, attempt);
    const bool may_be_committed = item->is_commit() || (!item->is_in_transaction() && item->is_write());
    // A statement of an open transaction runs on the connection of that transaction only.
    const bool can_run_elsewhere = !may_be_committed && !item->pinned.is_set();
    if (can_run_elsewhere && retry(item, connection->target, duration::zero(), true)) return;
    if (item->is_in_transaction() && !item->is_commit()) {
      fail(item, caller_error::aborted, attempt.error_text);
    } else if (attempt.error == target_error::failed) {
      fail(item, caller_error::failed, attempt.error_text);
    } else if (attempt.error == target_error::timed_out) {
      fail(item, caller_error::timed_out, attempt.error_text);
    } else {
      fail(item, caller_error::outcome_unknown, attempt.error_text);
    }
    return;
  }
  const bool stays_open = item->is_in_transaction() && attempt.state == sql::transaction_state::open;
  if (stays_open) {
    result.transaction.connection = connection;
  } else {
    return_connection(connection, attempt);
  }
  finish(item, std::move(result));
}

void statement_runner::on_refused(const work_ptr& item, const connection_pool::connection_ptr& connection,
                                  const attempt_result& attempt) {
  const auto now = context_.loop.now();
  const auto error = attempt.error.value_or(target_error::connection_lost);
  const bool is_open = attempt.state == sql::transaction_state::open && attempt.is_connection_usable;
  const bool can_repeat_here = item->pinned.is_set() && error == target_error::busy && is_open;
  if (can_repeat_here && item->attempts < max_attempts && now + busy_pause < item->deadline) {
    context_.loop.schedule(busy_pause, [this, item, connection] {
      if (item->is_cancelled) {
        roll_back(connection);
      } else {
        run_pinned(item);
      }
    });
    return;
  }
  return_connection(connection, attempt);
  auto pause = error == target_error::busy ? busy_pause : duration::zero();
  if (error == target_error::behind) {
    auto& directory = context_.shared.services[connection->service];
    directory.on_behind(connection->target, now);
    const auto* primary_entry = directory.primary();
    // The point belongs to an earlier term and was dropped by a promotion, so even the primary
    // lacks it.
    if (primary_entry != nullptr && primary_entry->info.target == connection->target)
      item->needs_primary = true;
    // Waiting for a replica to catch up is limited by the deadline, not by the number of attempts.
    --item->attempts;
    if (primary_entry == nullptr || primary_entry->blocked_until > now) pause = behind_pause;
  }
  if (!item->pinned.is_set() && retry(item, connection->target, pause, false)) return;
  if (error == target_error::malformed) {
    fail(item, caller_error::malformed, attempt.error_text);
    return;
  }
  fail(item, item->is_in_transaction() ? caller_error::aborted : caller_error::busy, sql::name_of(error));
}

void statement_runner::on_unknown_outcome(const work_ptr& item, const target_id& target,
                                          const attempt_result& attempt) {
  const auto reason = sql::name_of(attempt.error.value_or(target_error::connection_lost));
  const bool is_commit_sent = item->is_commit() && item->pinned.is_set();
  const bool is_write_sent = item->is_write() && !item->is_in_transaction();
  if (is_commit_sent || is_write_sent) return fail(item, caller_error::outcome_unknown, reason);
  // The target rolled the transaction back when the connection was closed, so the first statement
  // of a transaction can be retried.
  if (!item->pinned.is_set() && retry(item, target, duration::zero(), true)) return;
  // Reads and uncommitted transactions have no lasting effect.
  fail(item, item->is_in_transaction() ? caller_error::aborted : caller_error::busy, reason);
}

bool statement_runner::retry(const work_ptr& item, const target_id& failed, duration pause,
                             bool has_used_slot) {
  const auto now = context_.loop.now();
  if (item->attempts >= max_attempts || now + pause >= item->deadline) return false;
  auto& queue = queues_[item->route->service];
  if (has_used_slot && !queue.retries.try_retry(!queue.waiting.empty())) {
    context_.counters.counter("statement_retries_refused_total").add();
    return false;
  }
  item->excluded_target = failed;
  item->not_before = now + pause;
  enqueue(item);
  if (pause > duration::zero()) {
    context_.loop.schedule(pause, [this, service = item->route->service] { dispatch(service); });
  } else {
    context_.loop.post([this, service = item->route->service] { dispatch(service); });
  }
  return true;
}

void statement_runner::fail(const work_ptr& item, caller_error kind, std::string_view reason) {
  work_result result;
  result.error = kind;
  result.reason = std::string{reason};
  finish(item, std::move(result));
}

void statement_runner::finish(const work_ptr& item, work_result result) {
  if (item->is_cancelled) return;
  if (result.error) {
    const auto waited = context_.loop.now() - item->arrived;
    log_warning("statement_failed", {{"request_id", item->statement.id},
                                     {"service", item->route->service.str()},
                                     {"customer", item->customer.str()},
                                     {"kind", sql::name_of(item->statement.kind)},
                                     {"error", sql::name_of(*result.error)},
                                     {"reason", result.reason},
                                     {"attempts", std::int64_t{item->attempts}},
                                     {"elapsed_ms", waited}});
  }
  item->done(std::move(result));
}

}  // namespace bulrushlift::entry
