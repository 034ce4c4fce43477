#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "entry/attempt_report.h"
#include "entry/statement_runner.h"

// Periodic tasks of the statement runner: timeouts of waiting and running statements, probes of
// the targets, and load reports.

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

constexpr duration load_report_interval = std::chrono::seconds{1};

constexpr duration probe_timeout = milliseconds{400};
constexpr duration probe_interval = milliseconds{200};
// Age from which the newest sample of the primary's log position is renewed by a probe.
constexpr duration sample_refresh = milliseconds{400};

}  // namespace

void statement_runner::on_tick() {
  pool_.on_tick();
  fail_expired();
  probe_services();
  dispatch_all();
  report_target_health(context_);
  report_load();
}

void statement_runner::report_load() {
  const auto now = context_.loop.now();
  if (now - last_load_report_ < load_report_interval) return;
  last_load_report_ = now;
  report_omitted_lines();
  for (const auto& [service, queue] : queues_) {
    report_waits(service);
    const auto oldest = queue.waiting.oldest_arrival();
    if (!oldest) continue;
    for (const auto& [id, entry] : context_.shared.services[service].targets()) {
      log_info("target_load", {{"service", service.str()},
                               {"target", id.str()},
                               {"waiting", std::uint64_t{queue.waiting.size()}},
                               {"oldest_ms", now - *oldest},
                               {"running", std::uint64_t{entry.running}},
                               {"idle", std::uint64_t{pool_.count(id, connection_use::idle)}},
                               {"busy", std::uint64_t{pool_.count(id, connection_use::busy)}},
                               {"pinned", std::uint64_t{pool_.count(id, connection_use::pinned)}},
                               {"opening", std::uint64_t{pool_.count(id, connection_use::opening)}}});
    }
  }
}

void statement_runner::report_waits(const service_id& service) {
  const auto& queue = queues_[service];
  context_.counters.gauge("statements_waiting", {{"service", service.str()}})
      .set(static_cast<double>(queue.waiting.size()));
  for (const auto& [priority, is_for_primary] : queue.is_for_primary) {
    const std::chrono::duration<double> wait{expected_wait(service, std::nullopt, priority)};
    context_.counters
        .gauge("statement_expected_wait_seconds",
               {{"service", service.str()}, {"priority", std::to_string(priority)}})
        .set(wait.count());
  }
}

void statement_runner::fail_expired() {
  const auto now = context_.loop.now();
  std::vector<work_ptr> expired;
  std::vector<work_ptr> blocked;
  for (auto& [service, queue] : queues_) {
    const auto evacuated =
        queue.waiting.take_if([this](const work_ptr& each) { return is_blocked_by_evacuation(*each); });
    blocked.insert(blocked.end(), evacuated.begin(), evacuated.end());
    const auto removed = queue.waiting.take_expired(now);
    expired.insert(expired.end(), removed.begin(), removed.end());
  }
  // A waiting statement has not run, or its earlier attempts had no lasting effect, so it can be
  // refused as not run.
  for (const auto& each : expired) {
    context_.counters.counter("statements_refused_total", {{"reason", "waited"}}).add();
    fail(each, each->is_in_transaction() ? sql::caller_error::aborted : sql::caller_error::busy,
         "no free slot in time");
  }
  for (const auto& each : blocked) {
    fail(each, each->is_in_transaction() ? sql::caller_error::aborted : sql::caller_error::busy,
         "the data centre is evacuated");
  }
}

bool statement_runner::is_blocked_by_evacuation(const work_item& item) const {
  const auto directory = context_.shared.services.find(item.route->service);
  return directory != context_.shared.services.end() &&
         directory->second.is_blocked_by_evacuation(!required_point(item).has_value());
}

void statement_runner::probe_services() {
  const auto now = context_.loop.now();
  for (const auto& [service, directory] : context_.shared.services) {
    const auto* primary_entry = directory.primary();
    record_primary(service, primary_entry);
    if (!needs_samples(service)) continue;
    // A VM that cannot read the store finds the successor of an evacuated primary by probes.
    if (primary_entry == nullptr || directory.is_evacuated(*primary_entry)) {
      for (const auto& [id, entry] : directory.targets()) probe(service, id);
      continue;
    }
    const auto newest = directory.samples().newest();
    const bool is_sample_old = !newest || now - *newest >= sample_refresh;
    if (primary_entry->failing_since || is_sample_old) probe(service, primary_entry->info.target);
  }
}

bool statement_runner::needs_samples(const service_id& service) const {
  const auto& shared = context_.shared;
  const auto& self = context_.settings.vm;
  if (monitor_rank(service, shared, self)) return true;
  const auto data_centres = data_centres_of(service, shared);
  return std::any_of(data_centres.begin(), data_centres.end(),
                     [&](const data_centre_id& each) { return holder_of(service, each, shared) == self; });
}

void statement_runner::record_primary(const service_id& service, const sql::target_entry* primary_entry) {
  if (primary_entry != nullptr) {
    context_.shared.primary_data_centres[service] = primary_entry->info.data_centre;
  }
  auto& logged = logged_primaries_[service];
  const auto target = primary_entry == nullptr ? target_id{} : primary_entry->info.target;
  if (logged == target) return;
  log_info("primary_changed", {{"service", service.str()}, {"from", logged.str()}, {"to", target.str()}});
  logged = target;
}

void statement_runner::probe(const service_id& service, const target_id& target) {
  const auto now = context_.loop.now();
  auto& last = last_probe_[target];
  if (now - last < probe_interval) return;
  const auto& known = context_.shared.services[service];
  auto connection = pool_.find_any_idle(target);
  while (connection && known.is_connection_doubtful(target, connection->use_start)) {
    pool_.discard(connection);
    connection = pool_.find_any_idle(target);
  }
  if (!connection) {
    const auto& environment = context_.shared.environment;
    const bool is_opening = pool_.count(target, connection_use::opening) > 0;
    const bool are_all_doubtful = known.is_connection_doubtful(target, {}) && !is_opening;
    if ((pool_.count(target) > 0 && !are_all_doubtful) || !environment || environment->customers.empty())
      return;
    last = now;
    static_cast<void>(pool_.open(service, target, environment->customers.begin()->first));
    return;
  }
  last = now;
  pool_.take(connection, connection_use::busy);
  connection->batch_deadline = now + probe_timeout;
  connection->io.run({{sql::command_kind::begin}, {sql::command_kind::rollback}},
                     [this, connection, now](const platform::batch_result& result) {
                       auto& directory = context_.shared.services[connection->service];
                       const auto answered = context_.loop.now();
                       if (result.replies.empty()) {
                         directory.on_failure(connection->target, answered);
                       } else {
                         const auto& begin_reply = result.replies.front();
                         directory.on_answer(connection->target, begin_reply.point, answered);
                         if (!begin_reply.error && begin_reply.point) {
                           directory.on_primary_answer(connection->target, *begin_reply.point, now, answered);
                         } else if (begin_reply.error == sql::target_error::read_only) {
                           directory.on_read_only(connection->target, answered);
                         }
                       }
                       const bool is_clean =
                           result.is_complete && result.replies.back().state == sql::transaction_state::none;
                       if (is_clean) {
                         pool_.release(connection);
                       } else {
                         pool_.discard(connection);
                       }
                     });
}

}  // namespace bulrushlift::entry
