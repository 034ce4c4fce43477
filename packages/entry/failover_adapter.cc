#include "entry/failover_adapter.h"

#include <utility>

#include "base/log.h"
#include "platform/line_protocol.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

// Targets that have not answered within this time are not considered for promotion.
constexpr duration survey_time = milliseconds{350};
constexpr duration status_timeout = milliseconds{250};
constexpr duration order_timeout = milliseconds{1'200};

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
  return controllers_.try_emplace(service, sql::failover_options{}).first->second;
}

void failover_adapter::on_tick() {
  const auto now = context_.loop.now();
  for (auto& [service, each] : surveys_) advance(service, each);
  const auto& environment = context_.shared.environment;
  if (!environment) return;
  for (const auto& [service, directory] : context_.shared.services) {
    const auto options = environment->services.find(service);
    if (options == environment->services.end()) continue;
    const auto rank = monitor_rank(service, context_.shared, context_.settings.vm);
    if (!rank) continue;
    const sql::failover_view view{*rank, context_.shared.is_target_list_trusted,
                                  options->second.synchronous_replicas};
    perform(service, controller_of(service).on_timer(directory, view, now));
  }
}

void failover_adapter::on_promotion_seen(const platform::promotion_record& record) {
  log_info("promotion_claimed", {{"service", record.service.str()},
                                 {"target", record.target.str()},
                                 {"claimed_by", record.claimed_by.str()}});
  attempts_[record.service] = record.attempt;
  const bool is_own = record.claimed_by == context_.settings.vm;
  controller_of(record.service).on_claim_seen(record.target, is_own, context_.loop.now());
}

void failover_adapter::perform(const service_id& service, const std::optional<sql::failover_action>& action) {
  if (!action) return;
  std::visit([&](const auto& each) { run(service, each); }, *action);
}

void failover_adapter::run(const service_id& service, const sql::survey_targets& action) {
  log_primary_lost(service, action.reason);
  auto& each = surveys_[service];
  each = survey{};
  each.pending = action.targets;
  each.fence = action.fence;
  each.is_active = true;
  each.started = context_.loop.now();
  advance(service, each);
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

void failover_adapter::advance(const service_id& service, survey& each) {
  if (!each.is_active) return;
  const auto now = context_.loop.now();
  const auto pending = each.pending;
  for (const auto& target : pending) ask(service, target);
  const bool is_answered = each.pending.empty() && each.running == 0;
  if (!is_answered && now - each.started < survey_time) return;
  const auto answers = std::exchange(each, survey{}).answers;
  perform(service, controller_of(service).on_survey(answers, context_.shared.services[service], now));
}

void failover_adapter::ask(const service_id& service, const target_id& target) {
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
  auto& each = surveys_[service];
  std::erase(each.pending, target);
  ++each.running;
  pool.take(connection, connection_use::busy);
  connection->batch_deadline = context_.loop.now() + status_timeout;
  sql::target_command command{sql::command_kind::query_status};
  if (each.fence) {
    command.kind = sql::command_kind::pause_replication;
    command.term = *each.fence;
  }
  connection->io.run({command}, [this, service, target, connection](const platform::batch_result& result) {
    if (result.is_complete) {
      runner_.pool().release(connection);
    } else {
      runner_.pool().discard(connection);
    }
    on_status(service, target, result);
  });
}

void failover_adapter::on_status(const service_id& service, const target_id& target,
                                 const platform::batch_result& result) {
  auto& each = surveys_[service];
  if (!each.is_active || each.running == 0) return;  // The survey is over.
  --each.running;
  sql::survey_answer answer;
  answer.target = target;
  if (result.is_complete && !result.replies.front().rows.empty()) {
    if (const auto status = platform::decode_status(result.replies.front().rows.front())) {
      answer.received = status->received;
      answer.is_primary = status->is_primary;
      answer.fence_term = status->fence_term;
    }
  }
  const bool was_busy = result.is_complete && result.replies.front().error == sql::target_error::busy;
  if (was_busy) {
    each.pending.push_back(target);
    return;
  }
  each.answers.push_back(answer);
  if (each.pending.empty() && each.running == 0) advance(service, each);
}

void failover_adapter::run(const service_id& service, const sql::resume_targets& action) {
  log_warning("promotion_given_up", {{"service", service.str()}});
  for (const auto& target : action.targets) {
    const auto connection = runner_.pool().find_any_idle(target);
    // Replication of a target that cannot be reached stays paused until the next promotion or
    // until the target restarts.
    if (!connection) continue;
    runner_.pool().take(connection, connection_use::busy);
    connection->batch_deadline = context_.loop.now() + status_timeout;
    connection->io.run({{sql::command_kind::resume_replication}},
                       [this, connection](const platform::batch_result& result) {
                         if (result.is_complete) {
                           runner_.pool().release(connection);
                         } else {
                           runner_.pool().discard(connection);
                         }
                       });
  }
}

void failover_adapter::run(const service_id& service, const sql::claim_promotion& action) {
  store_.claim({service, action.target, context_.settings.vm, ++attempts_[service]},
               [this, service](std::optional<std::uint64_t> token) {
                 perform(service, controller_of(service).on_claim(token, context_.loop.now()));
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
        perform(service, controller_of(service).on_order(outcome_of(ordered), context_.loop.now()));
      });
}

}  // namespace bulrushlift::entry
