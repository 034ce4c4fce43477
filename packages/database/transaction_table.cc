#include "database/transaction_table.h"

#include <string>
#include <utility>

namespace bulrushlift {
namespace {

error lost_error() { return {error_kind::transaction_lost, "the transaction ended without a commit"}; }

error commit_unknown_error() {
  return {error_kind::outcome_unknown, "the commit was sent and its answer is missing", std::nullopt,
          outcome::unknown};
}

}  // namespace

error error_for_unknown_transaction(transaction_step step) {
  error cause{error_kind::transaction_lost,
              "this process does not know the transaction; the process that began it has ended"};
  if (step == transaction_step::commit) cause.kind = error_kind::outcome_unknown;
  // A caller that got no answer to its commit may send a rollback; the commit may have run.
  if (step == transaction_step::rollback) cause.kind = error_kind::transaction_unknown;
  return cause;
}

result<void> transaction_table::check_begin(const customer_id& customer) const {
  const auto it = open_by_customer_.find(customer);
  if (it == open_by_customer_.end() || it->second < options_.customer_limit) return {};
  return make_error(error_kind::overloaded,
                    "the customer has " + std::to_string(it->second) + " open transactions on this VM");
}

result<transaction_id> transaction_table::begin(const customer_id& customer, const service_id& service,
                                                term_id term, const transaction_binding& binding,
                                                ticket_id ticket, time_point now) {
  if (auto allowed = check_begin(customer); !allowed) return tl::unexpected(allowed.error());
  transaction_id id{self_, incarnation_, service, term, customer, ++last_counter_};
  open_[id] = {binding, phase::beginning, ticket, now};
  bindings_[binding] = id;
  ++open_by_customer_[customer];
  return id;
}

result<transaction_binding> transaction_table::start_step(const transaction_id& id, transaction_step step,
                                                          ticket_id ticket, time_point /*now*/) {
  const auto it = open_.find(id);
  if (it == open_.end()) {
    const auto ended = ended_.find(id);
    return tl::unexpected(ended == ended_.end() ? error_for_unknown_transaction(step)
                                                : ended_error(ended->second, step));
  }
  auto& record = it->second;
  if (record.state == phase::timeout_rollback) return tl::unexpected(lost_error());
  if (record.state != phase::idle) {
    return make_error(error_kind::conflict, "another request of the transaction is running");
  }
  record.ticket = ticket;
  record.state = step == transaction_step::commit     ? phase::committing
                 : step == transaction_step::rollback ? phase::rolling_back
                                                      : phase::running;
  return record.binding;
}

transaction_actions transaction_table::on_step_result(const transaction_id& id, ticket_id ticket,
                                                      step_result value, std::optional<error> cause,
                                                      time_point now) {
  transaction_actions actions;
  const auto it = open_.find(id);
  if (it == open_.end() || it->second.ticket != ticket) return actions;
  auto& record = it->second;
  if (record.state == phase::idle || record.state == phase::timeout_rollback) return actions;
  switch (value) {
    case step_result::confirmed:
      on_confirmed(it, now, actions);
      break;
    case step_result::failed:
    case step_result::not_sent:
      if (record.state == phase::beginning) {
        actions.emplace_back(discard_binding{record.binding});
        actions.emplace_back(answer_step{ticket, cause ? std::move(cause) : lost_error()});
        end(it, end_state::lost);
        break;
      }
      record.state = phase::idle;
      record.idle_since = now;
      actions.emplace_back(answer_step{ticket, cause ? std::move(cause) : lost_error()});
      break;
    case step_result::refused:
      on_refused(it, actions);
      break;
    case step_result::lost:
      end_as_lost(it, false, actions);
      break;
  }
  return actions;
}

void transaction_table::on_confirmed(iterator it, time_point now, transaction_actions& actions) {
  auto& record = it->second;
  actions.emplace_back(answer_step{record.ticket, std::nullopt});
  const bool is_commit = record.state == phase::committing;
  if (is_commit || record.state == phase::rolling_back) {
    actions.emplace_back(release_binding{record.binding});
    end(it, is_commit ? end_state::committed : end_state::rolled_back);
    return;
  }
  record.state = phase::idle;
  record.idle_since = now;
}

void transaction_table::on_refused(iterator it, transaction_actions& actions) {
  const auto& record = it->second;
  // The target does not have the transaction, so it cannot have committed it.
  std::optional<error> cause;
  if (record.state != phase::rolling_back) cause = lost_error();
  actions.emplace_back(discard_binding{record.binding});
  actions.emplace_back(answer_step{record.ticket, std::move(cause)});
  end(it, end_state::lost);
}

transaction_actions transaction_table::on_rollback_result(const transaction_id& id, step_result value,
                                                          time_point /*now*/) {
  transaction_actions actions;
  const auto it = open_.find(id);
  if (it == open_.end() || it->second.state != phase::timeout_rollback) return actions;
  if (value == step_result::confirmed) {
    actions.emplace_back(release_binding{it->second.binding});
  } else if (value != step_result::lost) {
    actions.emplace_back(discard_binding{it->second.binding});
  }
  end(it, end_state::lost);
  return actions;
}

transaction_actions transaction_table::on_connection_lost(const transaction_binding& binding,
                                                          time_point /*now*/) {
  transaction_actions actions;
  const auto it = bindings_.find(binding);
  if (it == bindings_.end()) return actions;
  end_as_lost(open_.find(it->second), false, actions);
  return actions;
}

transaction_actions transaction_table::on_term_changed(const service_id& service, term_id term,
                                                       time_point /*now*/) {
  transaction_actions actions;
  for (auto it = open_.begin(); it != open_.end();) {
    const bool is_of_lower_term = it->first.service == service && it->first.term < term;
    it = is_of_lower_term ? end_as_lost(it, true, actions) : std::next(it);
  }
  return actions;
}

transaction_actions transaction_table::on_timer(time_point now) {
  transaction_actions actions;
  for (auto it = open_.begin(); it != open_.end();) {
    const auto current = it++;
    const bool is_over =
        current->second.state == phase::idle && now >= current->second.idle_since + options_.idle_limit;
    if (is_over) roll_back(current, now, actions);
  }
  return actions;
}

transaction_actions transaction_table::end_all(time_point /*now*/) {
  transaction_actions actions;
  for (auto it = open_.begin(); it != open_.end();) it = end_as_lost(it, true, actions);
  return actions;
}

std::optional<time_point> transaction_table::next_timer() const {
  std::optional<time_point> earliest;
  for (const auto& [id, record] : open_) {
    if (record.state != phase::idle) continue;
    const auto due = record.idle_since + options_.idle_limit;
    if (!earliest || due < *earliest) earliest = due;
  }
  return earliest;
}

void transaction_table::roll_back(iterator it, time_point now, transaction_actions& actions) {
  if (options_.releases_unconfirmed) {
    actions.emplace_back(release_binding{it->second.binding});
    end(it, end_state::lost);
    return;
  }
  it->second.state = phase::timeout_rollback;
  actions.emplace_back(send_rollback{it->first, it->second.binding, now + options_.rollback_timeout});
}

transaction_table::iterator transaction_table::end_as_lost(iterator it, bool is_connection_open,
                                                           transaction_actions& actions) {
  const auto& record = it->second;
  if (is_connection_open) actions.emplace_back(discard_binding{record.binding});
  const bool has_request = record.state != phase::idle && record.state != phase::timeout_rollback;
  if (has_request) actions.emplace_back(answer_step{record.ticket, error_for_lost(record.state)});
  return end(it, record.state == phase::committing ? end_state::unknown : end_state::lost);
}

std::optional<error> transaction_table::error_for_lost(phase state) const {
  if (state == phase::committing) return commit_unknown_error();
  // The target rolls back when its connection closes, which is what the caller asked for.
  if (state == phase::rolling_back) return std::nullopt;
  return lost_error();
}

transaction_table::iterator transaction_table::end(iterator it, end_state state_at_end) {
  bindings_.erase(it->second.binding);
  const auto count = open_by_customer_.find(it->first.customer);
  if (--count->second == 0) open_by_customer_.erase(count);
  ended_.emplace(it->first, state_at_end);
  ended_order_.push_back(it->first);
  if (ended_order_.size() > options_.ended_limit) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
  return open_.erase(it);
}

error transaction_table::ended_error(end_state state_at_end, transaction_step step) {
  const bool is_commit = step == transaction_step::commit;
  switch (state_at_end) {
    case end_state::committed: {
      error cause{error_kind::transaction_unknown, "the transaction has been committed"};
      // It is unknown whether a majority has the commit.
      if (is_commit) cause.stated_outcome = outcome::unknown;
      return cause;
    }
    case end_state::rolled_back:
      return {error_kind::transaction_unknown, "the transaction has been rolled back"};
    case end_state::unknown:
      if (is_commit) return commit_unknown_error();
      return {error_kind::transaction_unknown, "the outcome of the transaction's commit is unknown"};
    case end_state::lost:
      break;
  }
  return lost_error();
}

}  // namespace bulrushlift
