#include "daemon/execute.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "daemon/attempt_results.h"
#include "limits/document_limits.h"

namespace bulrushlift {
namespace {

fair_queue_options queue_options_of(const settings& options) {
  fair_queue_options queue;
  queue.customer_bound = options.limits.customer_queue;
  queue.total_bound = options.limits.total_queue;
  return queue;
}

transaction_options transaction_options_of(const settings& options) {
  transaction_options transactions;
  transactions.idle_limit = options.timing.transaction_idle;
  return transactions;
}

}  // namespace

service_executor::service_executor(daemon_context& context, const service& configured)
    : context_(context),
      service_(configured.name),
      queue_(queue_options_of(context.options)),
      budget_(context.options.limits.retry_share, context.options.limits.retry_minimum),
      transactions_(context.options.vm, context.incarnation, transaction_options_of(context.options)),
      dispatch_timer_(context.loop),
      wake_timer_(context.loop),
      group_(context, configured.name,
             {[this](const request_id& id, log_point /*point*/) { on_acknowledged(id); },
              [this](const request_id& id) { on_unacknowledged(id); }, [this] { on_view_changed(); },
              [](const publish_group_status& /*status*/) {}}) {
  read_options_.replica_wait = context.options.timing.replica_wait;
}

service_executor::~service_executor() = default;

void service_executor::configure() {
  const auto* configured = context_.shared.configuration.find_service(service_);
  if (configured == nullptr) return;
  const auto& leaving = context_.shared.leaving_targets;
  queue_.set_weights(weights_of(context_.shared.configuration));
  for (const auto& each : configured->targets) {
    auto& connections = targets_[each.name];
    const auto address = parse_address(each.address.str());
    if (connections && address && connections->address() != *address) connections.reset();
    if (!connections) connections = std::make_unique<target_connections>(context_, each, *this);
    connections->configure(each, each.leaving || leaving.contains(each.name));
  }
  std::erase_if(targets_, [&](const auto& entry) {
    return std::none_of(configured->targets.begin(), configured->targets.end(),
                        [&](const auto& each) { return each.name == entry.first; });
  });
  group_.configure(*configured, leaving);
}

void service_executor::set_owner(bool is_owner) {
  if (is_owner_ == is_owner) return;
  is_owner_ = is_owner;
  group_.handle(ownership_changed{is_owner});
  if (!is_owner) refuse_unstarted({error_kind::peer_unavailable, "the owner of the service changed"});
}

void service_executor::submit(service_request request, reply_callback done) {
  const auto ticket = ++last_ticket_;
  const bool is_in_transaction = !request.transaction.empty();
  const bool is_read = request.op == operation::execute && request.is_read && !is_in_transaction;
  request_attempts attempts{retry_traits_of(request), request.deadline};
  auto task = std::make_shared<request_task>(
      request_task{std::move(request), std::move(done), attempts, ticket_id{ticket},
                   is_read ? request_class::read : request_class::write});
  task->first_routed = now();
  tasks_.emplace(ticket, task);
  budget_.count_request(now());
  if (is_in_transaction) {
    const auto id = decode_transaction_id(task->request.transaction, task->request.customer, context_.signer);
    if (!id) {
      refuse(task, id.error());
      return;
    }
    if (id->owner != context_.options.vm || id->owner_incarnation != context_.incarnation) {
      refuse(task, error_for_unknown_transaction(step_of(task->request)));
      return;
    }
    task->transaction = *id;
  }
  enqueue(task);
}

void service_executor::enqueue(const task_pointer& task) {
  if (!tasks_.contains(task->ticket.value())) return;
  if (!is_owner_ && !task->transaction) {
    refuse(task, {error_kind::peer_unavailable, "this VM is not the owner of the service"});
    return;
  }
  task->state = phase::queued;
  auto pushed = queue_.push({queue_ticket{task->ticket.value()}, task->request.customer, task->kind,
                             task->request.deadline, task->transaction.has_value()},
                            now());
  if (!pushed) {
    refuse(task, pushed.error());
    return;
  }
  dispatch();
}

void service_executor::dispatch() {
  is_dispatch_requested_ = true;
  if (is_dispatching_) return;
  is_dispatching_ = true;
  while (std::exchange(is_dispatch_requested_, false)) {
    dispatch_writes();
    dispatch_reads();
  }
  is_dispatching_ = false;
  rearm();
}

void service_executor::schedule_dispatch() {
  if (!dispatch_timer_.is_set()) dispatch_timer_.set(duration::zero(), [this] { dispatch(); });
}

void service_executor::dispatch_writes() {
  while (const auto* primary = writable_primary(group_.view())) {
    const auto found = targets_.find(primary->target);
    if (found == targets_.end()) return;
    const auto pool = found->second->view();
    if (pool.free_slots() == 0) return;
    const bool has_connection = pool.idle > 0;
    if (has_connection && !blocked_writes_.empty()) {
      const auto task = blocked_writes_.front();
      blocked_writes_.pop_front();
      start_write(task, *primary);
      if (task->state == phase::blocked) return;
      continue;
    }
    const auto from = has_connection ? pop_from::all : pop_from::transactions;
    const auto ticket = queue_.pop(request_class::write, from, now());
    if (!ticket) return;
    if (const auto task = find(ticket->value())) start_write(task, *primary);
  }
}

void service_executor::start_write(const task_pointer& task, const target_view& primary) {
  if (task->transaction) {
    start_step(task);
    return;
  }
  if (task->request.op == operation::begin) {
    start_begin(task, primary);
    return;
  }
  auto& connections = *targets_.at(primary.target);
  if (is_next_decision_logged()) {
    log_info("write_routed", {{"request_id", task->request.id.str()},
                              {"service", service_.str()},
                              {"target", primary.target.str()},
                              {"term", primary.term.value()},
                              {"reason", "primary"}});
  }
  if (!start_single(task, connections, primary.term)) blocked_writes_.push_front(task);
}

bool service_executor::start_single(const task_pointer& task, target_connections& connections,
                                    std::optional<term_id> term) {
  const auto& request = task->request;
  const auto deadline = attempt_deadline(retry_traits_of(request), retry_options_, request.deadline, now());
  auto message = make_message(request, term, {}, remaining_time(deadline, now()));
  const auto used = connections.start_request(task->ticket, pool_use::single, std::move(message), deadline);
  if (!used && used.error().kind == error_kind::overloaded) {
    task->state = phase::blocked;
    return false;
  }
  if (!used) {
    fail_attempt(task, failure_point::before_send, used.error());
    return true;
  }
  task->state = phase::running;
  task->target = connections.name();
  task->started = now();
  if (task->kind == request_class::write) {
    task->is_write_reported = true;
    group_.handle(write_sent{request_id{std::to_string(task->ticket.value())}});
  }
  return true;
}

void service_executor::on_request_end(ticket_id ticket, const result<target_answer>& answer) {
  if (const auto node = rollbacks_.extract(ticket); !node.empty()) {
    perform(transactions_.on_rollback_result(node.mapped(), step_result_of(answer), now()));
    return;
  }
  const auto task = find(ticket.value());
  if (!task || task->state != phase::running) return;
  queue_.on_finished(task->kind, now() - task->started);
  const bool has_log_state = answer && (answer->point || answer->term != term_id{});
  if (has_log_state)
    group_.handle(point_observed{task->target, answer->term, answer->point.value_or(log_point{})});
  if (task->transaction) {
    end_step(task, answer);
  } else if (!answer) {
    fail_attempt(task, failure_point::after_send, answer.error());
  } else if (answer->error_kind == "behind" && task->is_on_replica) {
    task->must_use_primary = true;
    enqueue(task);
  } else if (!answer->error_kind.empty()) {
    fail_attempt(task, failure_point_of(*answer), error_of(*answer));
  } else {
    complete(task, *answer);
  }
  schedule_dispatch();
}

void service_executor::complete(const task_pointer& task, const target_answer& answer) {
  service_reply reply;
  reply.result = answer.result;
  reply.point = answer.point;
  reply.target = task->target;
  if (answer.outcome == "cancelled") reply.final_outcome = outcome::not_run;
  if (!answer.point) {
    fail_attempt(task, failure_point::after_send,
                 {error_kind::protocol_error, "the answer of the target has no log point"});
    return;
  }
  if (!task->is_on_replica) {
    await_acknowledgement(task, std::move(reply));
    return;
  }
  task->reply = std::move(reply);
  if (is_sufficient(*task)) {
    finish(task, task->reply);
    return;
  }
  task->must_use_primary = true;
  enqueue(task);
}

void service_executor::fail_attempt(const task_pointer& task, failure_point point, error cause) {
  report_write_end(*task);
  const auto decision =
      task->attempts.on_failure({point, std::move(cause)}, budget_, retry_options_, now(), context_.random());
  if (const auto* end = std::get_if<give_up>(&decision)) {
    finish(task, tl::unexpected<error>(end->cause));
    return;
  }
  task->state = phase::backing_off;
  const auto when = std::get<retry_at>(decision).when;
  context_.loop.schedule(when - now(), [this, weak = std::weak_ptr{task}] {
    const auto waiting_task = weak.lock();
    if (waiting_task && waiting_task->state == phase::backing_off) enqueue(waiting_task);
  });
}

void service_executor::refuse(const task_pointer& task, error cause) {
  // If an earlier attempt may have run, the refusal of a later one leaves the outcome unknown.
  if (task->attempts.known_outcome() == outcome::unknown && cause.request_outcome() == outcome::not_run) {
    cause.stated_outcome = outcome::unknown;
    cause.kind = error_kind::outcome_unknown;
  }
  finish(task, tl::unexpected<error>(std::move(cause)));
}

void service_executor::finish(const task_pointer& task, const result<service_reply>& reply) {
  report_write_end(*task);
  if (tasks_.erase(task->ticket.value()) == 0) return;
  const auto done = std::exchange(task->done, nullptr);
  done(reply);
}

void service_executor::report_write_end(request_task& task) {
  if (!std::exchange(task.is_write_reported, false)) return;
  group_.handle(write_ended{request_id{std::to_string(task.ticket.value())}});
}

void service_executor::refuse_unstarted(const error& cause) {
  std::vector<task_pointer> waiting;
  for (const auto& [ticket, task] : tasks_) {
    const bool is_waiting = task->state != phase::running && task->state != phase::awaiting_acknowledgement &&
                            task->state != phase::awaiting_freshness;
    if (is_waiting && !task->transaction) waiting.push_back(task);
  }
  blocked_writes_.clear();
  waiting_reads_.clear();
  for (const auto& task : waiting) {
    queue_.remove(queue_ticket{task->ticket.value()});
    refuse(task, cause);
  }
}

void service_executor::end_remaining() {
  refuse_unstarted({error_kind::draining, "this VM is draining"});
  perform(transactions_.end_all(now()));
  const auto rest = tasks_;
  for (const auto& [ticket, task] : rest) {
    const bool is_read = task->kind == request_class::read;
    const auto kind = is_read ? error_kind::draining : error_kind::outcome_unknown;
    finish(task, make_error(kind, "the drain of this VM ended before the request did"));
  }
}

void service_executor::on_view_changed() {
  update_slots();
  const auto term = group_.view().term;
  if (std::exchange(last_term_, term) != term) perform(transactions_.on_term_changed(service_, term, now()));
  release_fresh_answers();
  if (queue_.size() > 0 || !blocked_writes_.empty() || !waiting_reads_.empty()) schedule_dispatch();
}

void service_executor::update_slots() {
  std::size_t readable = 0;
  std::size_t writable = 0;
  const auto& view = group_.view();
  const auto* primary = writable_primary(view);
  for (const auto& each : view.targets) {
    const auto found = targets_.find(each.target);
    if (found == targets_.end() || !each.is_reachable) continue;
    const auto slots = found->second->view().slots;
    readable += slots;
    if (&each == primary) writable = slots;
  }
  queue_.set_slots(request_class::read, readable);
  queue_.set_slots(request_class::write, writable);
}

void service_executor::expire() {
  std::vector<task_pointer> expired;
  for (const auto& ticket : queue_.expire(now())) {
    if (auto task = find(ticket.value())) expired.push_back(std::move(task));
  }
  std::erase_if(blocked_writes_, [&](const task_pointer& task) {
    const bool is_expired = task->request.deadline <= now();
    if (is_expired) expired.push_back(task);
    return is_expired;
  });
  for (const auto& task : expired) {
    if (task->transaction) {
      refuse(task, {error_kind::deadline_exceeded, "the statement did not start before its deadline",
                    std::nullopt, outcome::not_run});
    } else {
      finish(task, tl::unexpected<error>(task->attempts.on_deadline()));
    }
  }
  perform(transactions_.on_timer(now()));
  release_fresh_answers();
  dispatch();
}

void service_executor::rearm() {
  std::optional<time_point> due = transactions_.next_timer();
  const auto add = [&due](time_point when) { due = due ? std::min(*due, when) : when; };
  if (const auto deadline = queue_.next_deadline()) add(*deadline);
  for (const auto& task : blocked_writes_) add(task->request.deadline);
  for (const auto& task : waiting_reads_) add(std::min(task->wake_time, task->request.deadline));
  for (const auto& task : stale_answers_) add(task->request.deadline);
  if (due) {
    wake_timer_.set(*due - now(), [this] { expire(); });
  } else {
    wake_timer_.cancel();
  }
}

service_executor::task_pointer service_executor::find(std::uint64_t ticket) const {
  const auto found = tasks_.find(ticket);
  return found == tasks_.end() ? nullptr : found->second;
}

void service_executor::on_connection_refused(const target_id& target) {
  group_.handle(connection_refused{target});
}

void service_executor::on_capacity_freed(const target_id& /*target*/) { schedule_dispatch(); }

std::map<target_id, pool_view> service_executor::pools() const {
  std::map<target_id, pool_view> views;
  for (const auto& [name, connections] : targets_) views.emplace(name, connections->view());
  return views;
}

}  // namespace bulrushlift
