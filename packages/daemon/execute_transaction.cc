#include <fmt/format.h>

#include "base/log.h"
#include "daemon/attempt_results.h"
#include "daemon/execute.h"

namespace bulrushlift {

transaction_step service_executor::step_of(const service_request& request) {
  switch (request.what) {
    case operation::begin:
      return transaction_step::begin;
    case operation::commit:
      return transaction_step::commit;
    case operation::rollback:
      return transaction_step::rollback;
    default:
      return transaction_step::statement;
  }
}

void service_executor::start_begin(const task_pointer& it, const target_view& primary) {
  const auto& request = it->request;
  if (const auto allowed = transactions_.check_begin(request.customer); !allowed) {
    refuse(it, allowed.error());
    return;
  }
  auto& connections = *targets_.at(primary.target);
  const auto name =
      fmt::format("{}-{}-{}", context_.options.vm.str(), context_.incarnation.value(), it->ticket.value());
  auto message = make_message(request, primary.term, name, remaining_time(request.deadline, now()));
  const auto used =
      connections.start_request(it->ticket, pool_use::bind, std::move(message), request.deadline);
  if (!used && used.error().kind == error_kind::overloaded) {
    it->state = phase::held;
    held_writes_.push_front(it);
    return;
  }
  if (!used) {
    fail_attempt(it, failure_point::before_send, used.error());
    return;
  }
  const auto id = transactions_.begin(request.customer, service_, primary.term, {primary.target, *used},
                                      it->ticket, now());
  if (!id) {
    connections.discard(*used);
    refuse(it, id.error());
    return;
  }
  it->transaction = *id;
  it->state = phase::running;
  it->target = primary.target;
  it->started = now();
  transaction_names_.emplace(*id, name);
  log_info("transaction_placed", {{"request_id", request.id.str()},
                                  {"service", service_.str()},
                                  {"target", primary.target.str()},
                                  {"transaction", name}});
}

void service_executor::start_step(const task_pointer& it) {
  const auto& request = it->request;
  const auto& id = *it->transaction;
  const auto step = step_of(request);
  const auto binding = transactions_.start_step(id, step, it->ticket, now());
  if (!binding) {
    refuse(it, binding.error());
    return;
  }
  it->state = phase::running;
  it->target = binding->target;
  it->started = now();
  const auto found = targets_.find(binding->target);
  auto message =
      make_message(request, id.term, transaction_names_[id], remaining_time(request.deadline, now()));
  const auto used = found == targets_.end()
                        ? make_error(error_kind::transaction_lost, "the target is not configured any more")
                        : found->second->start_bound_request(binding->connection, it->ticket,
                                                             std::move(message), request.deadline);
  if (!used) {
    perform(transactions_.on_step_result(id, it->ticket, step_result::not_sent, used.error(), now()));
    return;
  }
  if (step != transaction_step::commit) return;
  it->is_write_reported = true;
  group_.handle(write_sent{request_id{std::to_string(it->ticket.value())}});
}

void service_executor::end_step(const task_pointer& it, const result<target_answer>& answer) {
  const auto value = step_result_of(answer);
  std::optional<error> cause;
  if (!answer) {
    cause = answer.error();
  } else if (answer->error_kind.empty()) {
    it->reply.result = answer->result;
    it->reply.point = answer->point;
    it->reply.target = it->target;
  } else {
    cause = error_of(*answer);
  }
  perform(transactions_.on_step_result(*it->transaction, it->ticket, value, cause, now()));
}

void service_executor::perform(const transaction_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
}

void service_executor::run(const release_binding& action) {
  const auto found = targets_.find(action.binding.target);
  if (found != targets_.end()) found->second->release(action.binding.connection);
}

void service_executor::run(const discard_binding& action) {
  const auto found = targets_.find(action.binding.target);
  if (found != targets_.end()) found->second->discard(action.binding.connection);
}

void service_executor::run(const send_rollback& action) {
  service_request request;
  request.what = operation::rollback;
  request.customer = action.transaction.customer;
  auto message = make_message(request, action.transaction.term, transaction_names_[action.transaction],
                              remaining_time(action.deadline, now()));
  const ticket_id ticket{++last_ticket_};
  const auto found = targets_.find(action.binding.target);
  const bool is_sent =
      found != targets_.end() && found->second->start_bound_request(action.binding.connection, ticket,
                                                                    std::move(message), action.deadline);
  if (is_sent) {
    rollbacks_.emplace(ticket, action.transaction);
  } else {
    perform(transactions_.on_rollback_result(action.transaction, step_result::not_sent, now()));
  }
}

void service_executor::run(const answer_step& action) {
  const auto it = find(action.ticket.value());
  if (!it) return;
  if (action.cause) {
    finish(it, tl::unexpected<error>(*action.cause));
    return;
  }
  const auto step = step_of(it->request);
  if (step == transaction_step::begin) {
    it->reply.transaction = encode_transaction_id(*it->transaction, context_.secrets);
    finish(it, it->reply);
    return;
  }
  const bool is_end = step != transaction_step::statement;
  if (is_end) transaction_names_.erase(*it->transaction);
  // What a transaction read or committed must survive a change of the primary.
  if (step == transaction_step::rollback || !it->reply.point) {
    finish(it, it->reply);
    return;
  }
  await_acknowledgement(it, it->reply);
}

void service_executor::on_binding_lost(const target_id& target, connection_id connection) {
  perform(transactions_.on_connection_lost({target, connection}, now()));
}

}  // namespace bulrushlift
