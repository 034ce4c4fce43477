#include "entry/entry_daemon.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>
#include <vector>

#include "base/log.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

// Failover, idle transactions and draining need no finer time resolution than this.
constexpr std::uint64_t ticks_per_slow_tick = 3;

// Slow ticks between two log lines with the counts of calls to the store; about 10 s.
constexpr std::uint64_t slow_ticks_per_report = 170;

// Sessions that were opened or answered more recently are not closed: their next statement may be on
// its way.
constexpr duration min_idle_time = milliseconds{200};

// A VM that has read all else from the store but not the evacuations serves after this time: a store that
// does not answer calls about this one kind must not keep all VMs out of service.
constexpr duration max_evacuation_wait = std::chrono::seconds{3};

constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

// Requests to these addresses have no body, and responses are read at once.
http_limits probe_limits(const resource_shares& shares) {
  http_limits limits;
  limits.head_bytes = 8U << 10U;
  limits.body_bytes = 4U << 10U;
  limits.connections = shares.probe_connections;
  limits.replaces_idle = true;
  limits.pipelined_requests = 1;
  limits.unsent_bytes = 0;
  return limits;
}

store_adapter::observer make_store_observer(
    entry_context& context, budget_adapter& budgets, membership_adapter& membership, statement_runner& runner,
    evacuation_adapter& evacuations, std::function<void()> on_environment, std::function<void()> on_vms,
    std::function<void()> on_restored,
    std::function<void(const platform::promotion_record&, std::uint64_t)> on_promotion) {
  store_adapter::observer observer;
  observer.on_environment = [&budgets, &runner, on_environment = std::move(on_environment)] {
    budgets.configure();
    on_environment();
    runner.dispatch_all();
  };
  observer.on_targets = [&context, &runner, &evacuations](const service_id& service) {
    evacuations.on_targets(service);
    for (const auto& [target, entry] : context.shared.services[service].targets()) {
      context.shared.cold.on_report(target, entry.info.number, entry.info.cold_remaining, context.loop.now());
    }
    runner.dispatch(service);
  };
  observer.on_vms = [&context, &budgets, &membership, on_vms = std::move(on_vms)] {
    on_vms();
    membership.update_seeds();
    context.counters.gauge("vms").set(static_cast<double>(context.shared.vms.size()));
    budgets.configure();
  };
  observer.on_restored = std::move(on_restored);
  observer.on_promotion = std::move(on_promotion);
  return observer;
}

}  // namespace

entry_daemon::entry_daemon(entry_context& context)
    : context_(context),
      peers_(context),
      budgets_(context, peers_),
      runner_(context),
      router_(context, peers_, runner_),
      evacuations_(context, peers_, runner_.pool(), [this] { runner_.dispatch_all(); }),
      membership_(
          context, [this] { on_members(); }, [this] { context_.loop.stop(); },
          [this](const vm_id& peer, const configuration_status& status) {
            store_.on_status_received(peer, status);
          }),
      store_(context, peers_,
             make_store_observer(
                 context, budgets_, membership_, runner_, evacuations_,
                 [this] {
                   update_ownership();
                   std::vector<caller_session*> all;
                   for (const auto& [key, each] : sessions_) all.push_back(key);
                   for (auto* each : all) each->on_configuration();
                 },
                 [this] { update_ownership(); }, [this] { failover_.on_store_restored(); },
                 [this](const platform::promotion_record& record, std::uint64_t token) {
                   failover_.on_promotion_seen(record, token);
                 })),
      failover_(context, runner_, store_),
      guard_(context),
      caller_listener_(context.loop, [this](int handle) { accept(handle); }),
      readiness_(context.loop, probe_limits(context.resources.shares()),
                 [this](const http_request& /*request*/, const http_responder& respond) {
                   respond(answer_readiness());
                 }),
      metrics_(context.loop, probe_limits(context.resources.shares()),
               [this](const http_request& /*request*/, const http_responder& respond) {
                 http_response response;
                 response.body = context_.counters.exposition();
                 response.headers.add("Content-Type", "text/plain; version=0.0.4");
                 respond(std::move(response));
               }),
      tick_timer_(context.loop) {}

entry_daemon::~entry_daemon() = default;

result<void> entry_daemon::start() {
  const auto& settings = context_.settings;
  if (const auto bound = readiness_.listen(settings.readiness_listen); !bound) {
    return tl::unexpected<error>(bound.error());
  }
  if (const auto bound = peers_.listen(); !bound) return tl::unexpected<error>(bound.error());
  if (settings.evacuation_bound > duration::zero()) {
    membership_.exchange_evacuations(
        [this] { return evacuations_.status(); },
        [this](const sql::evacuation_status& status) { evacuations_.on_status_received(status); });
  }
  if (const auto bound = membership_.open(); !bound) return tl::unexpected<error>(bound.error());
  if (const auto bound = metrics_.listen(settings.metrics_listen); !bound) {
    return tl::unexpected<error>(bound.error());
  }
  if (const auto bound = caller_listener_.listen(settings.caller_listen); !bound) {
    return tl::unexpected<error>(bound.error());
  }
  const bool is_term_watched = context_.loop.on_signal(SIGTERM, [this] { drain(); });
  const bool is_hup_watched = context_.loop.on_signal(SIGHUP, [] {
    // Nothing to reload: the addresses in the settings file cannot change while the process runs,
    // and all other settings come from the store.
    log_info("reload", {{"changed", "nothing"}});
  });
  if (!is_term_watched || !is_hup_watched) {
    return make_error(error_kind::internal_error, "cannot install the signal handlers");
  }
  // Before the targets are listed, so that a VM that starts sends nothing to an evacuated data centre.
  evacuations_.start();
  store_.start();
  tick_timer_.set(statement_runner::tick_interval, [this] { on_tick(); });
  return {};
}

http_response entry_daemon::answer_readiness() const {
  http_response response;
  const bool is_ready = store_.is_ready() && !context_.shared.is_evacuation_pending &&
                        context_.shared.drain == drain_phase::none;
  response.status = is_ready ? http_ok : http_unavailable;
  return response;
}

void entry_daemon::accept(int handle) {
  if (!guard_.make_room()) {
    ::close(handle);
    return;
  }
  auto session = std::make_unique<caller_session>(context_, router_, budgets_,
                                                  [this](caller_session& ended) { remove_session(ended); });
  auto* key = session.get();
  if (!session->adopt(handle)) {
    log_warning("session_not_adopted", {});
    return;
  }
  sessions_.emplace(key, std::move(session));
  guard_.add(*key);
}

void entry_daemon::remove_session(caller_session& session) {
  const auto node = sessions_.find(&session);
  if (node == sessions_.end()) return;
  // This may run inside a callback of the session, so the session is destroyed in the next turn of
  // the event loop.
  std::shared_ptr<caller_session> last{std::move(node->second)};
  guard_.remove(session);
  sessions_.erase(node);
  context_.loop.post([last] {});
}

void entry_daemon::update_ownership() {
  auto& shared = context_.shared;
  std::vector<service_id> services;
  if (shared.environment) {
    for (const auto& [service, options] : shared.environment->services) services.push_back(service);
  }
  std::map<vm_id, listed_vm> listed;
  std::map<vm_id, vm_resources> resources;
  for (const auto& [vm, record] : shared.vms) {
    const vm_resources known{record.cores, record.link_mbps};
    listed.emplace(vm, listed_vm{record.data_centre, known});
    resources.emplace(vm, known);
  }
  auto gateways = gateway_table::build(services, listed, shared.members);
  if (gateways.is_in_use() != shared.gateways.is_in_use()) {
    log_info("gateways_changed", {{"in_use", gateways.is_in_use()}, {"vms", std::uint64_t{listed.size()}}});
  }
  shared.gateways = std::move(gateways);
  shared.ownership = ownership_table::build(std::move(services), shared.members, resources);
  update_monitors();
}

void entry_daemon::update_monitors() {
  auto& shared = context_.shared;
  std::map<service_id, std::vector<vm_id>> monitors;
  for (const auto& [service, directory] : shared.services) {
    monitors.emplace(service, monitors_of(service, shared));
  }
  shared.monitors = std::move(monitors);
}

void entry_daemon::on_members() {
  update_ownership();
  std::set<vm_id> unreachable;
  for (const auto& each : context_.shared.members) {
    if (each.state != member_state::alive) unreachable.insert(each.vm);
  }
  budgets_.set_unreachable(std::move(unreachable));
  store_.on_members();
  evacuations_.on_members();
  runner_.dispatch_all();
}

void entry_daemon::on_tick() {
  tick_timer_.set(statement_runner::tick_interval, [this] { on_tick(); });
  evacuations_.on_tick();
  // Targets may be known before the evacuations are, as they are read by separate calls.
  context_.shared.is_evacuation_pending = !evacuations_.is_ready() && !is_evacuation_wait_over_;
  runner_.on_tick();
  guard_.on_tick();
  if (++ticks_ % ticks_per_slow_tick != 0) return;
  if (ticks_ % (ticks_per_slow_tick * slow_ticks_per_report) == 0) store_.log_calls();
  store_.on_tick();
  update_monitors();
  limit_evacuation_wait();
  failover_.on_tick();
  router_.on_tick();
  const auto now = context_.loop.now();
  for (const auto& [key, each] : sessions_) {
    if (each->has_transaction()) each->on_tick(now);
  }
  if (drain_) on_drain_tick();
}

void entry_daemon::limit_evacuation_wait() {
  if (is_evacuation_wait_over_ || evacuations_.is_ready() || !store_.is_ready()) return;
  const auto now = context_.loop.now();
  if (!store_ready_since_) store_ready_since_ = now;
  if (now - *store_ready_since_ < max_evacuation_wait) return;
  is_evacuation_wait_over_ = true;
  log_error("evacuations_unknown",
            {{"reason", "the store answers no call about them; serving without them"}});
}

void entry_daemon::drain() {
  if (drain_) return;
  drain_.emplace(context_.loop.now(), context_.settings.drain_time);
  context_.shared.drain = drain_phase::unready;
  context_.shared.last_deadline = drain_->last_deadline();
  membership_.leave();
  log_info("drain_started", {{"sessions", std::uint64_t{sessions_.size()}}});
}

bool entry_daemon::is_all_served() const {
  return sessions_.empty() && router_.relayed_transactions() == 0 && router_.relayed_statements() == 0;
}

void entry_daemon::on_drain_tick() {
  auto& phase = context_.shared.drain;
  phase = std::max(phase, drain_->phase_at(context_.loop.now()));
  if (phase >= drain_phase::ending_transactions) abort_transactions();
  if (phase >= drain_phase::closing_sessions) close_idle_sessions();
  if (phase >= drain_phase::closing_sessions && is_all_served()) {
    // The sessions that wait to be accepted are served first.
    phase = std::max(phase, drain_phase::refusing);
    caller_listener_.stop();
    if (is_all_served() && !caller_listener_.is_stopping()) phase = drain_phase::over;
  }
  if (phase != drain_phase::over) return;
  log_info("drained", {{"sessions", std::uint64_t{sessions_.size()}},
                       {"relayed_statements", std::uint64_t{router_.relayed_statements()}}});
  context_.loop.stop();
}

void entry_daemon::close_idle_sessions() {
  std::vector<caller_session*> all;
  for (const auto& [key, each] : sessions_) all.push_back(key);
  for (auto* each : all) each->close_if_idle(min_idle_time);
}

void entry_daemon::abort_transactions() {
  for (const auto& [key, each] : sessions_) each->abort_transaction("the VM is shutting down");
}

}  // namespace bulrushlift::entry
