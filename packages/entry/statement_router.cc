#include "entry/statement_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
#include "entry/statement_wire.h"
#include "peer_protocol/frame.h"

namespace bulrushlift::entry {
namespace {

using sql::caller_error;
using std::chrono::milliseconds;

// Added to the deadline of a relayed statement for the network delay of its reply.
constexpr duration reply_allowance = milliseconds{50};

// A VM whose link failed gets no statements for this long.
constexpr duration unreachable_period = milliseconds{500};

// Relays of one statement, including the first.
constexpr std::uint32_t max_relays = 4;

// The VM of the session ends a transaction at the idle limit. If a transaction of another VM stays
// idle for this much longer, that VM has lost the session.
constexpr duration idle_limit_allowance = milliseconds{500};
constexpr duration default_idle_limit = std::chrono::seconds{3};

// A relayed statement is held as statement, as command and as bytes for the target.
constexpr std::size_t copies_of_statement = 3;

// A frame has room for this much data besides the names, the route and the encoding.
constexpr std::size_t max_relayed_bytes = max_frame_bytes - (std::size_t{256} << 10U);

std::size_t bytes_of(const std::vector<std::string>& rows) {
  std::size_t sum = 0;
  for (const auto& each : rows) sum += each.size() + sizeof(std::int64_t);
  return sum;
}

std::size_t bytes_of(const work_item& item) {
  auto sum = item.statement.id.size() + item.statement.text.size() + item.statement.argument.size();
  if (item.begin) sum += item.begin->id.size() + item.begin->text.size();
  if (item.prepared) sum += item.prepared->shape.size();
  for (const auto& [name, value] : item.session->values) sum += name.size() + value.size();
  return sum;
}

work_result refused(caller_error kind, std::string_view reason) {
  work_result value;
  value.error = kind;
  value.reason = std::string{reason};
  return value;
}

work_result aborted(std::string_view reason) { return refused(caller_error::aborted, reason); }

}  // namespace

statement_router::statement_router(entry_context& context, peer_adapter& peers, statement_runner& runner)
    : context_(context), peers_(peers), runner_(runner), relayed_(context.incarnation) {
  peers_.on_statement([this](const peer::envelope_t& message, const peer_responder& respond) {
    on_message(message, respond);
  });
}

void statement_router::on_moved(const work_ptr& item, const data_centre_id& suggested) {
  if (item->is_cancelled) return;
  if (item->relays >= max_relays || context_.loop.now() >= item->deadline) {
    fail(item, item->is_in_transaction() ? caller_error::aborted : caller_error::busy,
         "no data centre can run it now");
    return;
  }
  if (item->data_centre) item->tried_data_centres.push_back(*item->data_centre);
  const bool is_tried = std::find(item->tried_data_centres.begin(), item->tried_data_centres.end(),
                                  suggested) != item->tried_data_centres.end();
  if (suggested.empty() || is_tried) {
    run(item);
    return;
  }
  item->data_centre = suggested;
  send(item, holder_of(item->route->service, suggested, context_.shared, unreachable_vms()));
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
  if (!is_admitted(*item)) {
    refuse(item);
    return;
  }
  send(item, place(item));
}

void statement_router::send(const work_ptr& item, const std::optional<vm_id>& vm) {
  if (vm && *vm != context_.settings.vm) {
    relay(item, *vm);
    return;
  }
  item->moved = nullptr;
  if (item->data_centre) {
    item->moved = [this, weak = std::weak_ptr{item}](const work_result& result) {
      if (const auto moved = weak.lock()) on_moved(moved, *result.other_data_centre);
    };
    ++item->relays;
  }
  runner_.run(item);
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
  if (bytes_of(*item) > max_relayed_bytes) {
    // A longer frame would end the link, with all that runs over it.
    context_.loop.post(
        [this, item, kind = item->is_in_transaction() ? caller_error::aborted : caller_error::busy] {
          if (!item->is_cancelled) fail(item, kind, "too large to relay");
        });
    return;
  }
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
  if (value.expected_wait) {
    waits_.record({item->route->service, item->data_centre.value_or(data_centre_id{}), item->route->priority},
                  *value.expected_wait, context_.loop.now());
  }
  if (item->is_cancelled) {
    roll_back(value.transaction);
    return;
  }
  if (value.error && value.other_data_centre) {
    on_moved(item, *value.other_data_centre);
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

bool statement_router::reserve_for_peer(work_item& item) const {
  const auto bytes = bytes_of(item);
  if (bytes <= context_.resources.shares().small_bytes) return true;
  item.reservation = std::make_shared<memory_reservation>(&context_.resources, item.customer);
  return item.reservation->grow_to(bytes * copies_of_statement, context_.loop.now());
}

void statement_router::run_for_peer(const peer::statement_request_t& wire, const peer_responder& respond) {
  const auto now = context_.loop.now();
  auto item = decode_request(wire, now);
  if (!item) {
    respond(item.error());
    return;
  }
  const sql::wait_key queue{(*item)->route->service, (*item)->data_centre.value_or(data_centre_id{}),
                            (*item)->route->priority};
  reply_address to{vm_id{wire.sender}, (*item)->customer, 0, queue, respond};
  if (wire.__isset.transaction) {
    to.transaction = static_cast<std::uint64_t>(wire.transaction);
    (*item)->pinned.connection = relayed_.start_statement(to.transaction, to.sender, to.customer);
    if (!(*item)->pinned.connection) {
      log_warning("relayed_transaction_unknown", {{"request_id", (*item)->statement.id},
                                                  {"sender", wire.sender},
                                                  {"customer", wire.customer},
                                                  {"number", to.transaction}});
      // No commit of the transaction was relayed, so it was rolled back.
      reply_to_peer({to.sender, to.customer, 0, queue, respond}, aborted("the transaction is over"));
      return;
    }
  }
  if (!reserve_for_peer(**item)) {
    context_.counters.counter("relays_refused_for_memory_total").add();
    if ((*item)->pinned.connection) {
      relayed_.remove(to.transaction);
      runner_.roll_back((*item)->pinned.connection, sql::statement{});
    }
    const auto kind = (*item)->is_in_transaction() ? caller_error::aborted : caller_error::busy;
    reply_to_peer({to.sender, to.customer, 0, queue, respond}, refused(kind, "no memory for the statement"));
    return;
  }
  (*item)->done = [this, to, reply_deadline = (*item)->deadline + reply_allowance](const work_result& value) {
    --relayed_statements_;
    on_relayed_result(to, reply_deadline, value);
  };
  if ((*item)->data_centre && !wire.__isset.transaction) (*item)->moved = (*item)->done;
  ++relayed_statements_;
  runner_.run(*item);
}

void statement_router::on_relayed_result(const reply_address& to, time_point reply_deadline,
                                         const work_result& value) {
  if (context_.loop.now() <= reply_deadline || !value.transaction.connection) {
    reply_to_peer(to, value);
    return;
  }
  // The session's VM no longer waits for the reply and treats the transaction as aborted.
  runner_.roll_back(value.transaction.connection, sql::statement{});
  reply_to_peer(to, aborted("too late"));
}

void statement_router::reply_to_peer(const reply_address& to, work_result value) {
  auto number = to.transaction;
  if (bytes_of(value.reply.rows) > max_relayed_bytes) {
    const bool is_in_transaction = value.transaction.connection || number != 0;
    if (value.transaction.connection) runner_.roll_back(value.transaction.connection, sql::statement{});
    value = refused(is_in_transaction ? caller_error::aborted : caller_error::outcome_unknown,
                    "the answer is too large to relay");
  }
  if (value.transaction.connection) {
    const auto now = context_.loop.now();
    if (number == 0) {
      number = relayed_.add(to.sender, to.customer, value.transaction.connection, now);
    } else if (!relayed_.finish_statement(number, now)) {
      // The transaction was rolled back while the statement ran.
      value = aborted("the transaction is over");
      number = 0;
    }
  } else {
    relayed_.remove(number);
    number = 0;
  }
  std::optional<data_centre_id> data_centre;
  if (!to.queue.data_centre.empty()) data_centre = to.queue.data_centre;
  value.expected_wait = runner_.expected_wait(to.queue.service, data_centre, to.queue.priority);
  peer::envelope_t reply;
  reply.__set_statement_reply(encode_reply(value, number));
  to.respond(std::move(reply));
}

void statement_router::end_transaction_for_peer(const peer::transaction_end_t& wire) {
  const auto connection = relayed_.remove(static_cast<std::uint64_t>(wire.transaction));
  if (!connection) return;
  sql::statement statement;
  if (wire.__isset.statement) {
    auto decoded = decode_statement(wire.statement);
    if (decoded) statement = std::move(*decoded);
  }
  runner_.roll_back(connection, statement);
}

void statement_router::on_tick() {
  const auto now = context_.loop.now();
  report_placements();
  const auto& environment = context_.shared.environment;
  const auto limit =
      (environment ? environment->transaction_idle_limit : default_idle_limit) + idle_limit_allowance;
  // A VM that is taken for dead may only have been paused, and goes on with its sessions then.
  for (const auto& [number, each] : relayed_.remove_expired(now, limit)) {
    log_warning("relayed_transaction_ended", {{"sender", each.sender.str()}, {"number", number}});
    runner_.roll_back(each.connection, sql::statement{});
  }
}

}  // namespace bulrushlift::entry
