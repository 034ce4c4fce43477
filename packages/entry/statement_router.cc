#include "entry/statement_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
#include "entry/statement_wire.h"

namespace bulrushlift::entry {
namespace {

using sql::caller_error;
using std::chrono::milliseconds;

// Added to the deadline of a relayed statement for the network delay of its reply.
constexpr duration reply_allowance = milliseconds{50};

// A VM whose link failed is not chosen as an owner for this long.
constexpr duration unreachable_period = milliseconds{500};

// Relays of one statement, including the first.
constexpr std::uint32_t max_relays = 3;

// The VM of the session ends a transaction at the idle limit. If a transaction of another VM stays
// idle for this much longer, that VM has lost the session.
constexpr duration idle_limit_allowance = milliseconds{500};
constexpr duration default_idle_limit = std::chrono::seconds{3};

}  // namespace

statement_router::statement_router(entry_context& context, peer_adapter& peers, statement_runner& runner)
    : context_(context), peers_(peers), runner_(runner) {
  peers_.on_statement([this](const peer::envelope_t& message, const peer_responder& respond) {
    on_message(message, respond);
  });
}

std::optional<vm_id> statement_router::choose_owner(const service_id& service) const {
  const auto now = context_.loop.now();
  std::vector<vm_id> failed;
  for (const auto& [vm, until] : unreachable_until_) {
    if (until > now) failed.push_back(vm);
  }
  return context_.shared.ownership.first_except(service, failed);
}

void statement_router::run(const work_ptr& item) {
  if (item->pinned.connection) {
    runner_.run(item);
    return;
  }
  if (item->pinned.is_set()) {
    relay(item, item->pinned.owner);
    return;
  }
  const auto owner = choose_owner(item->route->service);
  if (!owner || *owner == context_.settings.vm) {
    runner_.run(item);
  } else {
    relay(item, *owner);
  }
}

void statement_router::cancel(const work_ptr& item) {
  item->is_cancelled = true;
  runner_.cancel(item);
}

void statement_router::roll_back(const open_transaction& transaction) {
  roll_back(transaction, sql::statement{});
}

void statement_router::roll_back(const open_transaction& transaction, const sql::statement& statement) {
  if (transaction.connection) {
    runner_.roll_back(transaction.connection, statement);
    return;
  }
  if (!transaction.is_set()) return;
  peer::transaction_end_t end;
  end.transaction = static_cast<std::int64_t>(transaction.number);
  if (!statement.id.empty()) end.__set_statement(encode_statement(statement));
  peer::envelope_t message;
  message.__set_transaction_end(end);
  peers_.send(transaction.owner, std::move(message));
}

void statement_router::relay(const work_ptr& item, const vm_id& owner) {
  const auto remaining = item->deadline - context_.loop.now();
  ++item->relays;
  peer::envelope_t message;
  message.__set_statement_request(encode_request(*item, context_.settings.vm, remaining));
  peers_.request(
      owner, std::move(message), remaining + reply_allowance,
      [this, item, owner](const result<peer::envelope_t>& reply) { on_reply(item, owner, reply); });
}

void statement_router::on_reply(const work_ptr& item, const vm_id& owner,
                                const result<peer::envelope_t>& reply) {
  if (!reply) {
    on_relay_failed(item, owner, reply.error());
    return;
  }
  if (!reply->__isset.statement_reply) {
    on_relay_failed(item, owner, {error_kind::protocol_error, "not a reply to a statement"});
    return;
  }
  const auto value = decode_reply(reply->statement_reply, owner);
  if (item->is_cancelled) {
    roll_back(value.transaction);
    return;
  }
  finish(item, value);
}

void statement_router::on_relay_failed(const work_ptr& item, const vm_id& owner, const error& failure) {
  const auto now = context_.loop.now();
  if (failure.kind != error_kind::deadline_exceeded) unreachable_until_[owner] = now + unreachable_period;
  log_warning("relay_failed", {{"request_id", item->statement.id},
                               {"owner", owner.str()},
                               {"service", item->route->service.str()},
                               {"outcome", name_of(failure.request_outcome())},
                               {"reason", failure.message}});
  if (item->is_cancelled) return;
  const bool is_not_run = failure.request_outcome() == outcome::not_run;
  const bool has_time = item->relays < max_relays && now < item->deadline;
  // Single reads may run again on another VM. The first statement of a transaction is repeated
  // only if it was never sent: an owner that was paused could run it after the transaction ended.
  const bool can_run_again = !item->pinned.is_set() && (is_not_run || !item->begin);
  const bool is_commit_sent = item->is_commit() && item->pinned.is_set() && !is_not_run;
  const bool is_write_sent = item->is_write() && !item->is_in_transaction() && !is_not_run;
  if (is_commit_sent || is_write_sent) {
    fail(item, caller_error::outcome_unknown, failure.message);
  } else if (can_run_again && has_time) {
    run(item);
  } else {
    fail(item, item->is_in_transaction() ? caller_error::aborted : caller_error::busy, failure.message);
  }
}

void statement_router::finish(const work_ptr& item, const work_result& value) { item->done(value); }

void statement_router::fail(const work_ptr& item, caller_error kind, std::string_view reason) {
  work_result value;
  value.error = kind;
  value.reason = std::string{reason};
  finish(item, value);
}

void statement_router::on_message(const peer::envelope_t& message, const peer_responder& respond) {
  if (message.__isset.transaction_end) {
    end_transaction_for_peer(message.transaction_end);
  } else {
    run_for_peer(message.statement_request, respond);
  }
}

void statement_router::run_for_peer(const peer::statement_request_t& wire, const peer_responder& respond) {
  const auto now = context_.loop.now();
  auto item = decode_request(wire, now);
  if (!item) {
    respond(item.error());
    return;
  }
  const vm_id sender{wire.sender};
  std::uint64_t number = 0;
  if (wire.__isset.transaction) {
    number = static_cast<std::uint64_t>(wire.transaction);
    const auto open = relayed_.find(number);
    if (open == relayed_.end() || open->second.is_running || open->second.sender != sender) {
      // No commit of the transaction was relayed, so it was rolled back.
      work_result ended;
      ended.error = caller_error::aborted;
      ended.reason = "the transaction is over";
      reply_to_peer(0, sender, ended, respond);
      return;
    }
    (*item)->pinned.connection = open->second.connection;
    open->second.is_running = true;
  }
  (*item)->done = [this, number, sender, respond, deadline = (*item)->deadline](const work_result& value) {
    const bool is_late = context_.loop.now() > deadline + reply_allowance;
    if (is_late && value.transaction.connection) {
      // The session's VM no longer waits for the reply and treats the transaction as aborted.
      runner_.roll_back(value.transaction.connection, sql::statement{});
      auto late = value;
      late.error = caller_error::aborted;
      late.reason = "too late";
      late.transaction = {};
      reply_to_peer(number, sender, late, respond);
      return;
    }
    reply_to_peer(number, sender, value, respond);
  };
  runner_.run(*item);
}

void statement_router::reply_to_peer(std::uint64_t number, const vm_id& sender, const work_result& value,
                                     const peer_responder& respond) {
  if (value.transaction.connection) {
    if (number == 0) number = ++last_transaction_number_;
    relayed_.insert_or_assign(
        number, relayed_transaction{sender, value.transaction.connection, false, context_.loop.now()});
  } else {
    relayed_.erase(number);
    number = 0;
  }
  peer::envelope_t reply;
  reply.__set_statement_reply(encode_reply(value, number));
  respond(std::move(reply));
}

void statement_router::end_transaction_for_peer(const peer::transaction_end_t& wire) {
  const auto node = relayed_.extract(static_cast<std::uint64_t>(wire.transaction));
  if (node.empty()) return;
  sql::statement statement;
  if (wire.__isset.statement) {
    auto decoded = decode_statement(wire.statement);
    if (decoded) statement = std::move(*decoded);
  }
  runner_.roll_back(node.mapped().connection, statement);
}

void statement_router::on_tick() {
  const auto now = context_.loop.now();
  const auto& environment = context_.shared.environment;
  const auto limit =
      (environment ? environment->transaction_idle_limit : default_idle_limit) + idle_limit_allowance;
  std::vector<std::uint64_t> expired;
  for (const auto& [number, each] : relayed_) {
    if (each.is_running) continue;
    // A VM that is taken for dead may only have been paused, and goes on with its sessions then.
    if (now - each.last_used >= limit) expired.push_back(number);
  }
  for (const auto number : expired) {
    const auto node = relayed_.extract(number);
    log_warning("relayed_transaction_ended", {{"sender", node.mapped().sender.str()}, {"number", number}});
    runner_.roll_back(node.mapped().connection, sql::statement{});
  }
}

}  // namespace bulrushlift::entry
