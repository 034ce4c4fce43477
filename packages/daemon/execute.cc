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

request_traits traits_of_request(const service_request& request) {
  request_traits traits;
  traits.is_read = request.what == operation::execute && request.is_read;
  traits.is_idempotent = request.is_idempotent || request.what == operation::resolve;
  traits.has_idempotency_key = !request.idempotency_key.empty();
  traits.in_transaction = !request.transaction.empty();
  return traits;
}

}  // namespace

service_executor::service_executor(daemon_context& context, const service& configured)
    : context_(context),
      service_(configured.name),
      queue_(queue_options_of(context.options)),
      budget_(context.options.limits.retry_share, context.options.limits.retry_minimum),
      transactions_(context.options.vm, context.incarnation, transaction_options_of(context.options)),
      pump_timer_(context.loop),
      wake_timer_(context.loop),
      group_(context, configured.name,
             {[this](const request_id& id, log_point /*point*/) { on_acknowledged(id); },
              [this](const request_id& id) { on_unacknowledged(id); }, [this] { on_view_changed(); },
              [](const publish_group_status& /*status*/) {}}) {
  read_options_.replica_wait = context.options.timing.replica_wait;
}

service_executor::~service_executor() = default;

void service_executor::configure() {
  const auto* configured = context_.board.configuration.find_service(service_);
  if (configured == nullptr) return;
  const auto& leaving = context_.board.leaving_targets;
  queue_.set_weights(weights_of(context_.board.configuration));
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
  if (!is_owner) refuse_queued({error_kind::peer_unavailable, "the owner of the service changed"});
}

void service_executor::submit(service_request request, reply_callback done) {
  const auto ticket = ++last_ticket_;
  const bool is_in_transaction = !request.transaction.empty();
  const bool is_read = request.what == operation::execute && request.is_read && !is_in_transaction;
  request_attempts attempts{traits_of_request(request), request.deadline};
  auto it = std::make_shared<task>(task{std::move(request), std::move(done), attempts, ticket_id{ticket},
                                        is_read ? request_class::read : request_class::write});
  it->first_routed = now();
  tasks_.emplace(ticket, it);
  budget_.count_request(now());
  if (is_in_transaction) {
    const auto id = decode_transaction_id(it->request.transaction, it->request.customer, context_.secrets);
    if (!id) {
      refuse(it, id.error());
      return;
    }
    if (id->owner != context_.options.vm || id->owner_incarnation != context_.incarnation) {
      refuse(it, error_for_unknown_transaction(step_of(it->request)));
      return;
    }
    it->transaction = *id;
  }
  enqueue(it);
}

void service_executor::enqueue(const task_pointer& it) {
  if (!tasks_.contains(it->ticket.value())) return;
  if (!is_owner_ && !it->transaction) {
    refuse(it, {error_kind::peer_unavailable, "this VM is not the owner of the service"});
    return;
  }
  it->state = phase::queued;
  auto pushed = queue_.push({queue_ticket{it->ticket.value()}, it->request.customer, it->kind,
                             it->request.deadline, it->transaction.has_value()},
                            now());
  if (!pushed) {
    refuse(it, pushed.error());
    return;
  }
  pump();
}

void service_executor::pump() {
  is_pump_wanted_ = true;
  if (is_pumping_) return;
  is_pumping_ = true;
  while (std::exchange(is_pump_wanted_, false)) {
    pump_writes();
    pump_reads();
  }
  is_pumping_ = false;
  rearm();
}

void service_executor::schedule_pump() {
  if (!pump_timer_.is_set()) pump_timer_.set(duration::zero(), [this] { pump(); });
}

void service_executor::pump_writes() {
  while (const auto* primary = writable_primary(group_.view())) {
    const auto found = targets_.find(primary->target);
    if (found == targets_.end()) return;
    const auto pool = found->second->view();
    if (pool.free_slots() == 0) return;
    const bool has_connection = pool.idle > 0;
    if (has_connection && !held_writes_.empty()) {
      const auto it = held_writes_.front();
      held_writes_.pop_front();
      start_write(it, *primary);
      if (it->state == phase::held) return;
      continue;
    }
    const auto from = has_connection ? pop_from::all : pop_from::transactions;
    const auto ticket = queue_.pop(request_class::write, from, now());
    if (!ticket) return;
    if (const auto it = find(ticket->value())) start_write(it, *primary);
  }
}

void service_executor::start_write(const task_pointer& it, const target_view& primary) {
  if (it->transaction) {
    start_step(it);
    return;
  }
  if (it->request.what == operation::begin) {
    start_begin(it, primary);
    return;
  }
  auto& connections = *targets_.at(primary.target);
  if (is_next_decision_logged()) {
    log_info("write_routed", {{"request_id", it->request.id.str()},
                              {"service", service_.str()},
                              {"target", primary.target.str()},
                              {"term", primary.term.value()},
                              {"reason", "primary"}});
  }
  if (!start_single(it, connections, primary.term)) held_writes_.push_front(it);
}

bool service_executor::start_single(const task_pointer& it, target_connections& connections,
                                    std::optional<term_id> term) {
  const auto& request = it->request;
  const auto deadline = attempt_deadline(traits_of_request(request), retry_options_, request.deadline, now());
  auto message = make_message(request, term, {}, remaining_time(deadline, now()));
  const auto used = connections.start_request(it->ticket, pool_use::single, std::move(message), deadline);
  if (!used && used.error().kind == error_kind::overloaded) {
    it->state = phase::held;
    return false;
  }
  if (!used) {
    fail_attempt(it, failure_point::before_send, used.error());
    return true;
  }
  it->state = phase::running;
  it->target = connections.name();
  it->started = now();
  if (it->kind == request_class::write) {
    it->is_write_reported = true;
    group_.handle(write_sent{request_id{std::to_string(it->ticket.value())}});
  }
  return true;
}

void service_executor::on_request_end(ticket_id ticket, const result<target_answer>& answer) {
  if (const auto node = rollbacks_.extract(ticket); !node.empty()) {
    perform(transactions_.on_rollback_result(node.mapped(), step_result_of(answer), now()));
    return;
  }
  const auto it = find(ticket.value());
  if (!it || it->state != phase::running) return;
  queue_.on_finished(it->kind, now() - it->started);
  const bool is_news = answer && (answer->point || answer->term != term_id{});
  if (is_news) group_.handle(point_observed{it->target, answer->term, answer->point.value_or(log_point{})});
  if (it->transaction) {
    end_step(it, answer);
  } else if (!answer) {
    fail_attempt(it, failure_point::after_send, answer.error());
  } else if (answer->error_kind == "behind" && it->is_on_replica) {
    it->must_use_primary = true;
    enqueue(it);
  } else if (!answer->error_kind.empty()) {
    fail_attempt(it, failure_point_of(*answer), error_of(*answer));
  } else {
    complete(it, *answer);
  }
  schedule_pump();
}

void service_executor::complete(const task_pointer& it, const target_answer& answer) {
  service_reply reply;
  reply.result = answer.result;
  reply.point = answer.point;
  reply.target = it->target;
  if (answer.outcome == "cancelled") reply.result_of = outcome::not_run;
  if (!answer.point) {
    fail_attempt(it, failure_point::after_send, {error_kind::protocol_error, "the answer has no log point"});
    return;
  }
  if (!it->is_on_replica) {
    await_acknowledgement(it, std::move(reply));
    return;
  }
  it->reply = std::move(reply);
  if (is_sufficient(*it)) {
    finish(it, it->reply);
    return;
  }
  it->must_use_primary = true;
  enqueue(it);
}

void service_executor::fail_attempt(const task_pointer& it, failure_point point, error cause) {
  report_write_end(*it);
  const auto decision =
      it->attempts.on_failure({point, std::move(cause)}, budget_, retry_options_, now(), context_.random());
  if (const auto* end = std::get_if<give_up>(&decision)) {
    finish(it, tl::unexpected<error>(end->cause));
    return;
  }
  it->state = phase::pausing;
  const auto when = std::get<retry_at>(decision).when;
  context_.loop.schedule(when - now(), [this, weak = std::weak_ptr{it}] {
    const auto paused = weak.lock();
    if (paused && paused->state == phase::pausing) enqueue(paused);
  });
}

void service_executor::refuse(const task_pointer& it, error cause) {
  // An earlier attempt may have run, which a refusal of a later one does not undo.
  if (it->attempts.known_outcome() == outcome::unknown && cause.request_outcome() == outcome::not_run) {
    cause.stated_outcome = outcome::unknown;
    cause.kind = error_kind::outcome_unknown;
  }
  finish(it, tl::unexpected<error>(std::move(cause)));
}

void service_executor::finish(const task_pointer& it, const result<service_reply>& reply) {
  report_write_end(*it);
  if (tasks_.erase(it->ticket.value()) == 0) return;
  const auto done = std::exchange(it->done, nullptr);
  done(reply);
}

void service_executor::report_write_end(task& it) {
  if (!std::exchange(it.is_write_reported, false)) return;
  group_.handle(write_ended{request_id{std::to_string(it.ticket.value())}});
}

void service_executor::refuse_queued(const error& cause) {
  std::vector<task_pointer> waiting;
  for (const auto& [ticket, it] : tasks_) {
    const bool is_waiting =
        it->state != phase::running && it->state != phase::acknowledging && it->state != phase::holding;
    if (is_waiting && !it->transaction) waiting.push_back(it);
  }
  held_writes_.clear();
  parked_reads_.clear();
  for (const auto& it : waiting) {
    queue_.remove(queue_ticket{it->ticket.value()});
    refuse(it, cause);
  }
}

void service_executor::end_remaining() {
  refuse_queued({error_kind::draining, "the VM leaves"});
  perform(transactions_.end_all(now()));
  const auto rest = tasks_;
  for (const auto& [ticket, it] : rest) {
    const bool is_read = it->kind == request_class::read;
    const auto kind = is_read ? error_kind::draining : error_kind::outcome_unknown;
    finish(it, make_error(kind, "the VM leaves before the request ended"));
  }
}

void service_executor::on_view_changed() {
  update_slots();
  const auto term = group_.view().term;
  if (std::exchange(last_term_, term) != term) perform(transactions_.on_term_changed(service_, term, now()));
  release_held_answers();
  if (queue_.size() > 0 || !held_writes_.empty() || !parked_reads_.empty()) schedule_pump();
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
  std::vector<task_pointer> late;
  for (const auto& ticket : queue_.expire(now())) {
    if (auto it = find(ticket.value())) late.push_back(std::move(it));
  }
  std::erase_if(held_writes_, [&](const task_pointer& it) {
    const bool is_late = it->request.deadline <= now();
    if (is_late) late.push_back(it);
    return is_late;
  });
  for (const auto& it : late) {
    if (it->transaction) {
      refuse(it, {error_kind::deadline_exceeded, "the statement did not start in time", std::nullopt,
                  outcome::not_run});
    } else {
      finish(it, tl::unexpected<error>(it->attempts.on_deadline()));
    }
  }
  perform(transactions_.on_timer(now()));
  release_held_answers();
  pump();
}

void service_executor::rearm() {
  std::optional<time_point> due = transactions_.next_timer();
  const auto add = [&due](time_point when) { due = due ? std::min(*due, when) : when; };
  if (const auto deadline = queue_.next_deadline()) add(*deadline);
  for (const auto& it : held_writes_) add(it->request.deadline);
  for (const auto& it : parked_reads_) add(std::min(it->wake, it->request.deadline));
  for (const auto& it : held_answers_) add(it->request.deadline);
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

void service_executor::on_refused(const target_id& target) { group_.handle(connection_refused{target}); }

void service_executor::on_capacity(const target_id& /*target*/) { schedule_pump(); }

std::map<target_id, pool_view> service_executor::pools() const {
  std::map<target_id, pool_view> views;
  for (const auto& [name, connections] : targets_) views.emplace(name, connections->view());
  return views;
}

}  // namespace bulrushlift
