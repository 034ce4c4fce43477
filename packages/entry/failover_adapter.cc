#include "entry/failover_adapter.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "platform/line_protocol.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

// Targets that have not answered within this time count as targets without an answer.
constexpr duration round_time = milliseconds{350};
constexpr duration status_timeout = milliseconds{250};
constexpr duration order_timeout = milliseconds{1'200};
// A target without a free slot is asked again this soon, because statements take a slot as soon as it is
// free.
constexpr duration busy_pause = milliseconds{10};

sql::order_outcome outcome_of(const result<void>& ordered) {
  if (ordered) return sql::order_outcome::accepted;
  const bool is_refused = ordered.error().request_outcome() == outcome::not_run;
  return is_refused ? sql::order_outcome::refused : sql::order_outcome::unknown;
}

}  // namespace

failover_adapter::failover_adapter(entry_context& context, statement_runner& runner, store_adapter& store)
    : context_(context),
      runner_(runner),
      store_(store),
      promotions_(context.loop, context.settings.promotions) {}

sql::failover_controller& failover_adapter::controller_of(const service_id& service) {
  sql::failover_options options;
  options.is_first_start = context_.settings.is_first_start;
  return controllers_.try_emplace(service, options).first->second;
}

void failover_adapter::on_tick() {
  const auto now = context_.loop.now();
  std::vector<service_id> active;
  for (const auto& [service, round] : rounds_) active.push_back(service);
  for (const auto& service : active) advance(service);
  const auto& environment = context_.shared.environment;
  if (!environment) return;
  for (const auto& [service, directory] : context_.shared.services) {
    const auto options = environment->services.find(service);
    if (options == environment->services.end()) continue;
    const auto rank = monitor_rank(service, context_.shared, context_.settings.vm);
    if (!rank) continue;
    const sql::failover_view view{*rank, context_.shared.is_target_list_trusted,
                                  options->second.synchronous_replicas, store_.epoch().value()};
    perform(service, controller_of(service).on_timer(directory, view, now));
  }
}

void failover_adapter::on_store_restored() {
  const auto now = context_.loop.now();
  for (const auto& [service, directory] : context_.shared.services)
    controller_of(service).on_store_restored(now);
}

void failover_adapter::on_promotion_seen(const platform::promotion_record& record, std::uint64_t token) {
  log_info("promotion_claimed", {{"service", record.service.str()},
                                 {"target", record.claim.target.str()},
                                 {"phase", sql::name_of(record.claim.phase)},
                                 {"attempt", record.claim.attempt},
                                 {"claimed_by", record.claimed_by.str()}});
  auto& controller = controller_of(record.service);
  const bool is_own = record.claimed_by == context_.settings.vm;
  controller.on_claim_seen(record.claim, token, is_own, context_.loop.now());
  if (controller.is_idle()) rounds_.erase(record.service);
}

void failover_adapter::perform(const service_id& service, const std::optional<sql::failover_action>& action) {
  if (!action) return;
  std::visit([&](const auto& each) { run(service, each); }, *action);
}

void failover_adapter::run(const service_id& service, const sql::survey_targets& action) {
  log_primary_lost(service, action.reason);
  start_round(service, {sql::command_kind::query_status}, action.targets);
}

void failover_adapter::run(const service_id& service, const sql::fence_targets& action) {
  sql::target_command command{sql::command_kind::pause_replication};
  command.term = action.term;
  log_info("replication_paused", {{"service", service.str()}, {"term", action.term.value()}});
  start_round(service, command, action.targets);
}

void failover_adapter::run(const service_id& service, const sql::resume_targets& action) {
  log_warning("replication_resumed",
              {{"service", service.str()}, {"targets", std::uint64_t{action.targets.size()}}});
  start_round(service, {sql::command_kind::resume_replication}, action.targets);
}

void failover_adapter::log_primary_lost(const service_id& service, sql::loss_reason reason) const {
  const auto directory = context_.shared.services.find(service);
  const auto* leader = directory == context_.shared.services.end() ? nullptr : directory->second.primary();
  if (leader == nullptr || !leader->failing_since) {
    log_warning("primary_lost", {{"service", service.str()}, {"reason", sql::name_of(reason)}});
    return;
  }
  const auto now = context_.loop.now();
  log_warning("primary_lost", {{"service", service.str()},
                               {"reason", sql::name_of(reason)},
                               {"target", leader->info.target.str()},
                               {"failures", std::uint64_t{leader->failures}},
                               {"failing_ms", now - *leader->failing_since},
                               {"last_failure_ms", now - leader->last_failure}});
}

void failover_adapter::start_round(const service_id& service, const sql::target_command& command,
                                   const std::vector<target_id>& targets) {
  auto& round = rounds_[service];
  round = command_round{};
  round.command = command;
  round.targets = targets;
  round.pending = targets;
  round.number = ++last_round_;
  round.started = context_.loop.now();
  advance(service);
}

void failover_adapter::advance(const service_id& service) {
  const auto it = rounds_.find(service);
  if (it == rounds_.end()) return;
  const auto pending = it->second.pending;
  for (const auto& target : pending) ask(service, it->second, target);
  const bool is_answered = it->second.pending.empty() && it->second.running.empty();
  if (!is_answered && context_.loop.now() - it->second.started < round_time) return;
  auto round = std::move(it->second);
  rounds_.erase(it);
  for (const auto& target : round.running) round.answers.push_back({target, std::nullopt});
  finish(service, round);
}

void failover_adapter::finish(const service_id& service, const command_round& round) {
  const auto now = context_.loop.now();
  auto& controller = controller_of(service);
  const auto& directory = context_.shared.services[service];
  if (round.command.kind == sql::command_kind::pause_replication) {
    perform(service, controller.on_fence(round.answers, directory, now));
    return;
  }
  if (round.command.kind == sql::command_kind::query_status) {
    log_answers(service, round);
    perform(service, controller.on_survey(round.answers, directory, now));
    if (!controller.is_idle()) return;
    const auto answered = std::count_if(round.answers.begin(), round.answers.end(),
                                        [](const auto& each) { return each.received.has_value(); });
    log_warning("promotion_given_up", {{"service", service.str()},
                                       {"asked", std::uint64_t{round.targets.size()}},
                                       {"answered", static_cast<std::uint64_t>(answered)}});
    return;
  }
  std::vector<target_id> late;
  for (const auto& each : round.answers) {
    if (!each.received) late.push_back(each.target);
  }
  auto missing = round.pending;
  missing.insert(missing.end(), late.begin(), late.end());
  perform(service, controller.on_resume(missing, late, now));
}

void failover_adapter::log_answers(const service_id& service, const command_round& round) const {
  for (const auto& each : round.answers) {
    if (!each.received) continue;
    log_info("target_surveyed", {{"service", service.str()},
                                 {"target", each.target.str()},
                                 {"is_primary", each.is_primary},
                                 {"term", each.term.value()},
                                 {"received_term", each.received->term.value()},
                                 {"received", each.received->position.value()}});
  }
}

void failover_adapter::ask(const service_id& service, command_round& round, const target_id& target) {
  auto& pool = runner_.pool();
  const auto connection = pool.find_any_idle(target);
  const auto& environment = context_.shared.environment;
  if (!connection) {
    const bool can_open = environment && !environment->customers.empty();
    const auto customer = can_open ? environment->customers.begin()->first : customer_id{};
    if (can_open && pool.opening(target, customer) == 0)
      static_cast<void>(pool.open(service, target, customer));
    return;
  }
  const auto now = context_.loop.now();
  std::erase(round.pending, target);
  round.running.push_back(target);
  pool.take(connection, connection_use::busy);
  connection->batch_deadline = now + status_timeout;
  connection->io.run({round.command}, [this, service, target, connection, now,
                                       number = round.number](const platform::batch_result& result) {
    if (result.is_complete) {
      runner_.pool().release(connection);
    } else {
      runner_.pool().discard(connection);
    }
    on_status(service, number, target, now, result);
  });
}

void failover_adapter::on_status(const service_id& service, std::uint64_t number, const target_id& target,
                                 time_point sent, const platform::batch_result& result) {
  const auto it = rounds_.find(service);
  if (it == rounds_.end() || it->second.number != number) return;  // The round is over.
  auto& round = it->second;
  std::erase(round.running, target);
  const bool was_busy = result.is_complete && result.replies.front().error == sql::target_error::busy;
  if (was_busy) {
    round.pending.push_back(target);
    context_.loop.schedule(busy_pause, [this, service] { advance(service); });
    return;
  }
  sql::survey_answer answer;
  answer.target = target;
  if (result.is_complete && !result.replies.front().rows.empty()) {
    if (const auto status = platform::decode_status(result.replies.front().rows.front())) {
      answer.received = status->received;
      answer.is_primary = status->is_primary;
      answer.fence_term = status->fence_term;
      answer.term = status->term;
    }
  }
  if (answer.is_primary) {
    context_.shared.services[service].on_primary_answer(target, *answer.received, sent, context_.loop.now());
  }
  round.answers.push_back(answer);
  if (round.pending.empty() && round.running.empty()) advance(service);
}

void failover_adapter::run(const service_id& service, const sql::claim_promotion& action) {
  store_.claim({service, context_.settings.vm, action.claim},
               [this, service, attempt = action.claim.attempt](std::optional<std::uint64_t> token) {
                 perform(service, controller_of(service).on_claim(attempt, token, context_.loop.now()));
               });
}

void failover_adapter::run(const service_id& service, const sql::order_promotion& action) {
  log_warning("promotion_ordered",
              {{"service", service.str()}, {"target", action.target.str()}, {"token", action.token}});
  promotions_.order(
      {service, action.target, context_.settings.vm, action.token}, order_timeout,
      [this, service, action](const result<void>& ordered) {
        log_warning("promotion_answered", {{"service", service.str()},
                                           {"target", action.target.str()},
                                           {"accepted", ordered.has_value()},
                                           {"reason", ordered ? std::string{} : ordered.error().message}});
        auto& controller = controller_of(service);
        perform(service, controller.on_order(action.token, outcome_of(ordered), context_.loop.now()));
      });
}

}  // namespace bulrushlift::entry
