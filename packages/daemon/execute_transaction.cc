#include <fmt/format.h>

#include "base/log.h"
#include "daemon/attempt_results.h"
#include "daemon/execute.h"

namespace bulrushlift {

transaction_step service_executor::step_of(const service_request& request) {
  switch (request.op) {
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

void service_executor::start_begin(const task_pointer& task, const target_view& primary) {
  const auto& request = task->request;
  if (const auto allowed = transactions_.check_begin(request.customer); !allowed) {
    refuse(task, allowed.error());
    return;
  }
  auto& connections = *targets_.at(primary.target);
  const auto name =
      fmt::format("{}-{}-{}", context_.options.vm.str(), context_.incarnation.value(), task->ticket.value());
  auto message = make_message(request, primary.term, name, remaining_time(request.deadline, now()));
  const auto used =
      connections.start_request(task->ticket, pool_use::bind, std::move(message), request.deadline);
  if (!used && used.error().kind == error_kind::overloaded) {
    task->state = phase::blocked;
    blocked_writes_.push_front(task);
    return;
  }
  if (!used) {
    fail_attempt(task, failure_point::before_send, used.error());
    return;
  }
  const auto id = transactions_.begin(request.customer, service_, primary.term, {primary.target, *used},
                                      task->ticket, now());
  if (!id) {
    connections.discard(*used);
    refuse(task, id.error());
    return;
  }
  task->transaction = *id;
  task->state = phase::running;
  task->target = primary.target;
  task->started = now();
  transaction_names_.emplace(*id, name);
  log_info("transaction_placed", {{"request_id", request.id.str()},
                                  {"service", service_.str()},
                                  {"target", primary.target.str()},
                                  {"transaction", name}});
}

void service_executor::start_step(const task_pointer& task) {
  const auto& request = task->request;
  const auto& id = *task->transaction;
  const auto step = step_of(request);
  const auto binding = transactions_.start_step(id, step, task->ticket, now());
  if (!binding) {
    refuse(task, binding.error());
    return;
  }
  task->state = phase::running;
  task->target = binding->target;
  task->started = now();
  const auto found = targets_.find(binding->target);
  auto message =
      make_message(request, id.term, transaction_names_[id], remaining_time(request.deadline, now()));
  const auto used =
      found == targets_.end()
          ? make_error(error_kind::transaction_lost, "the target is no longer in the configuration")
          : found->second->start_bound_request(binding->connection, task->ticket, std::move(message),
                                               request.deadline);
  if (!used) {
    perform(transactions_.on_step_result(id, task->ticket, step_result::not_sent, used.error(), now()));
    return;
  }
  if (step != transaction_step::commit) return;
  task->is_write_reported = true;
  group_.handle(write_sent{request_id{std::to_string(task->ticket.value())}});
}

void service_executor::end_step(const task_pointer& task, const result<target_answer>& answer) {
  const auto value = step_result_of(answer);
  std::optional<error> cause;
  if (!answer) {
    cause = answer.error();
  } else if (answer->error_kind.empty()) {
    task->reply.result = answer->result;
    task->reply.point = answer->point;
    task->reply.target = task->target;
  } else {
    cause = error_of(*answer);
  }
  perform(transactions_.on_step_result(*task->transaction, task->ticket, value, cause, now()));
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
  request.op = operation::rollback;
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
  const auto task = find(action.ticket.value());
  if (!task) return;
  if (action.cause) {
    finish(task, tl::unexpected<error>(*action.cause));
    return;
  }
  const auto step = step_of(task->request);
  if (step == transaction_step::begin) {
    task->reply.transaction = encode_transaction_id(*task->transaction, context_.signer);
    finish(task, task->reply);
    return;
  }
  const bool is_end = step != transaction_step::statement;
  if (is_end) transaction_names_.erase(*task->transaction);
  // What a transaction has read or committed must survive a failover, so a second member has to have it.
  if (step == transaction_step::rollback || !task->reply.point) {
    finish(task, task->reply);
    return;
  }
  await_acknowledgement(task, task->reply);
}

void service_executor::on_binding_lost(const target_id& target, connection_id connection) {
  perform(transactions_.on_connection_lost({target, connection}, now()));
}

}  // namespace bulrushlift
