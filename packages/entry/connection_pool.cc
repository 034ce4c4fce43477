#include "entry/connection_pool.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A target that responds opens a connection within the time of one statement; an opening on a
// silent target is aborted after this time.
constexpr duration open_timeout = milliseconds{600};

// Connections that are opened to one target at the same time; each occupies a slot of the target.
constexpr std::size_t max_opening = 2;

// Idle connections are closed after this time, before the platform closes them.
constexpr duration idle_lifetime = seconds{40};

// Pause before another connection is opened to a target that refused one as busy or at its
// connection limit.
constexpr duration connection_limit_pause = milliseconds{150};

// Weight, as a divisor, of the newest opening in the mean opening time of a target.
constexpr int opening_time_weight = 8;

// A transaction whose connection is unused for this long counts as resting. Longer than a client
// in the same region takes to send the next statement.
constexpr duration rest_time = milliseconds{250};

// Session state above which a connection is not kept for other sessions.
constexpr std::size_t max_idle_state_bytes = std::size_t{64} << 10U;

}  // namespace

connection_pool::connection_pool(entry_context& context, change_callback on_change)
    : context_(context), on_change_(std::move(on_change)) {}

sql::quota_terms connection_pool::quota_terms(const service_id& service) const {
  const auto& environment = context_.shared.environment;
  if (!environment) return {};
  const auto it = environment->services.find(service);
  if (it == environment->services.end()) return {};
  return {it->second.connection_limit, environment->customers.size()};
}

sql::service_role connection_pool::role_for_target(const service_id& service, const target_id& target) const {
  const auto directory = context_.shared.services.find(service);
  if (directory == context_.shared.services.end()) return sql::service_role::other;
  const auto* entry = directory->second.find(target);
  if (entry == nullptr) return sql::service_role::other;
  return role_for(entry->info, context_.shared, context_.settings.vm);
}

const connection_pool::target_pool* connection_pool::find(const target_id& target) const {
  const auto it = pools_.find(target);
  return it == pools_.end() ? nullptr : &it->second;
}

void connection_pool::drop_from_idle(target_pool& pool, const connection_ptr& connection) {
  const auto it = pool.idle.find(connection->customer);
  if (it == pool.idle.end()) return;
  std::erase(it->second, connection);
  if (it->second.empty()) pool.idle.erase(it);
}

void connection_pool::set_use(const connection_ptr& connection, connection_use use) {
  auto& pool = pools_[connection->target];
  if (connection->use == connection_use::idle) drop_from_idle(pool, connection);
  --pool.counts.at(static_cast<std::size_t>(connection->use));
  connection->use = use;
  connection->use_start = context_.loop.now();
  ++pool.counts.at(static_cast<std::size_t>(use));
  if (use == connection_use::idle) pool.idle[connection->customer].push_back(connection);
}

connection_pool::connection_ptr connection_pool::find_idle(const target_id& target,
                                                           const customer_id& customer,
                                                           const sql::session_state& session) const {
  const auto* pool = find(target);
  if (pool == nullptr) return nullptr;
  const auto it = pool->idle.find(customer);
  if (it == pool->idle.end()) return nullptr;
  connection_ptr best;
  std::size_t best_distance = 0;
  for (const auto& each : it->second) {
    if (!each->io.is_open()) continue;
    const auto distance = each->state.setup_step_count(session);
    if (best && distance >= best_distance) continue;
    best = each;
    best_distance = distance;
    if (distance == 0) break;
  }
  return best;
}

connection_pool::connection_ptr connection_pool::find_any_idle(const target_id& target) const {
  const auto* pool = find(target);
  if (pool == nullptr) return nullptr;
  for (const auto& [customer, connections] : pool->idle) {
    for (const auto& each : connections) {
      if (each->io.is_open()) return each;
    }
  }
  return nullptr;
}

std::size_t connection_pool::opening(const target_id& target, const customer_id& customer) const {
  const auto* pool = find(target);
  if (pool == nullptr || count(target, connection_use::opening) == 0) return 0;
  return static_cast<std::size_t>(
      std::count_if(pool->all.begin(), pool->all.end(), [&](const connection_ptr& each) {
        return each->use == connection_use::opening && each->customer == customer;
      }));
}

bool connection_pool::evict_idle(const target_pool& pool, std::size_t held,
                                 const connection_request& request) {
  const auto now = context_.loop.now();
  std::map<customer_id, std::size_t> counts;
  for (const auto& each : pool.all) {
    if (each->use != connection_use::pinned) ++counts[each->customer];
  }
  std::vector<connection_ptr> connections;
  std::vector<sql::idle_connection> idle;
  for (const auto& [customer, each_idle] : pool.idle) {
    const auto demand = pool.demand.of(customer, now);
    for (const auto& each : each_idle) {
      connections.push_back(each);
      idle.push_back({customer, each->use_start, counts[customer], demand});
    }
  }
  const auto chosen =
      sql::choose_eviction(idle, {held, request.is_urgent, request.can_wait, pool.opening_time}, now);
  if (!chosen) return false;
  context_.counters.counter("target_connections_evicted_total").add();
  remove(connections[*chosen]);
  return true;
}

bool connection_pool::may_begin_transaction(const target_id& target, const customer_id& customer) const {
  const auto* pool = find(target);
  if (pool == nullptr || pool->all.empty()) return true;
  const auto now = context_.loop.now();
  const auto quota = pool->quota.allowed(quota_terms(pool->all.front()->service), now);
  if (pool->all.size() < quota) return true;
  std::map<customer_id, std::size_t> counts;
  sql::resting_transactions resting;
  for (const auto& each : pool->all) {
    if (each->use != connection_use::pinned || each->io.is_busy() || now - each->use_start < rest_time)
      continue;
    ++resting.total;
    resting.most_of_one = std::max(resting.most_of_one, ++counts[each->customer]);
  }
  resting.of_customer = counts[customer];
  return sql::may_begin_transaction(resting, pool->all.size(), quota);
}

bool connection_pool::open(const service_id& service, const target_id& target, const customer_id& customer,
                           const connection_request& request) {
  const auto directory = context_.shared.services.find(service);
  if (directory == context_.shared.services.end()) return false;
  const auto* entry = directory->second.find(target);
  if (entry == nullptr || directory->second.is_evacuated(*entry)) return false;
  const auto now = context_.loop.now();
  auto& pool = pools_[target];
  pool.service = service;
  const auto opening = pool.counts.at(static_cast<std::size_t>(connection_use::opening));
  if (pool.open_blocked_until > now || opening >= max_opening) return false;
  const auto address = parse_address(entry->info.address);
  if (!address) {
    log_warning("target_address_invalid", {{"target", target.str()}, {"reason", address.error().message}});
    return false;
  }
  const auto held = static_cast<std::size_t>(
      std::count_if(pool.all.begin(), pool.all.end(), [&](const connection_ptr& each) {
        return each->customer == customer && each->use != connection_use::pinned;
      }));
  if (held >= request.max_useful) return false;
  pool.quota.set_role(role_for_target(service, target), now);
  const auto quota = pool.quota.allowed(quota_terms(service), now);
  if (pool.all.size() >= quota && !evict_idle(pool, held, request)) return false;
  auto connection =
      std::make_shared<pooled_connection>(context_.loop, &context_.resources, service, target, customer);
  connection->use_start = now;
  connection->batch_deadline = now + open_timeout;
  pool.all.push_back(connection);
  ++pool.counts.at(static_cast<std::size_t>(connection_use::opening));
  context_.counters.counter("target_connections_opened_total").add();
  connection->io.open(
      {*address, service, customer, target},
      [this, connection](std::optional<sql::target_error> failure) { on_opened(connection, failure); });
  return true;
}

void connection_pool::on_opened(const connection_ptr& connection, std::optional<sql::target_error> failure) {
  connection->batch_deadline.reset();
  if (failure) {
    on_refused(connection, *failure);
  } else {
    on_accepted(connection);
  }
  on_change_(connection->service);
}

void connection_pool::on_accepted(const connection_ptr& connection) {
  const auto now = context_.loop.now();
  auto& pool = pools_[connection->target];
  const auto elapsed = now - connection->use_start;
  pool.opening_time +=
      (elapsed - pool.opening_time) / (pool.opening_time == duration::zero() ? 1 : opening_time_weight);
  pool.quota.on_opened(pool.all.size(), quota_terms(connection->service), now);
  context_.shared.services[connection->service].on_answer(connection->target, std::nullopt, now);
  set_use(connection, connection_use::idle);
  connection->io.on_idle_close([this, weak = std::weak_ptr{connection}] {
    const auto self = weak.lock();
    if (!self) return;
    remove(self);
    on_change_(self->service);
  });
}

void connection_pool::on_refused(const connection_ptr& connection, sql::target_error reason) {
  const auto now = context_.loop.now();
  auto& pool = pools_[connection->target];
  const auto held = pool.all.empty() ? 0 : pool.all.size() - 1;
  const bool is_at_limit = reason == sql::target_error::too_many_connections;
  if (is_at_limit) pool.quota.on_refused(held, now);
  if (is_at_limit || reason == sql::target_error::busy) {
    pool.open_blocked_until = now + connection_limit_pause;
  } else {
    context_.shared.services[connection->service].on_failure(connection->target, now);
  }
  const auto terms = quota_terms(connection->service);
  context_.counters
      .counter("target_connections_refused_total", {{"reason", std::string{sql::name_of(reason)}}})
      .add();
  log_info("target_connection_failed", {{"target", connection->target.str()},
                                        {"service", connection->service.str()},
                                        {"reason", sql::name_of(reason)},
                                        {"held", std::uint64_t{held}},
                                        {"quota", std::uint64_t{pool.quota.allowed(terms, now)}},
                                        {"limit", std::uint64_t{terms.limit}}});
  remove(connection);
}

void connection_pool::take(const connection_ptr& connection, connection_use use) {
  pools_[connection->target].demand.on_used(connection->customer, context_.loop.now());
  set_use(connection, use);
}

void connection_pool::release(const connection_ptr& connection) {
  connection->batch_deadline.reset();
  // An idle connection keeps the values and definitions that it has, and few sessions have large ones.
  const bool is_large =
      connection->state.bytes() > std::max(context_.resources.shares().small_bytes, max_idle_state_bytes);
  if (!connection->io.is_open() || is_large) {
    discard(connection);
    return;
  }
  set_use(connection, connection_use::idle);
  on_change_(connection->service);
}

void connection_pool::discard(const connection_ptr& connection) {
  remove(connection);
  on_change_(connection->service);
}

void connection_pool::remove(const connection_ptr& connection) {
  const auto it = pools_.find(connection->target);
  if (it != pools_.end() && std::erase(it->second.all, connection) > 0) {
    if (connection->use == connection_use::idle) drop_from_idle(it->second, connection);
    --it->second.counts.at(static_cast<std::size_t>(connection->use));
  }
  // This may run inside a callback of the connection, so the connection is closed and destroyed in the next
  // turn of the event loop. A batch that is running by then still has its callback.
  context_.loop.post([connection] {
    if (connection->io.is_busy()) connection->io.abort();
    connection->io.close_silently();
  });
}

void connection_pool::close_unused(const target_id& target, bool ends_transactions) {
  const auto* pool = find(target);
  if (pool == nullptr) return;
  std::vector<connection_ptr> unused;
  for (const auto& each : pool->all) {
    const bool is_transaction = each->use == connection_use::pinned;
    if (ends_transactions && is_transaction) each->is_ending = true;
    const bool is_ended = each->is_ending && !each->io.is_busy();
    if (each->use == connection_use::idle || each->use == connection_use::opening || is_ended) {
      unused.push_back(each);
    }
  }
  for (const auto& each : unused) remove(each);
}

void connection_pool::on_tick() {
  const auto now = context_.loop.now();
  std::vector<connection_ptr> timed_out;
  std::vector<connection_ptr> expired;
  for (auto& [target, pool] : pools_) {
    const auto& service = pool.service;
    pool.quota.set_role(role_for_target(service, target), now);
    const auto allowed_idle = pool.quota.allowed_idle(quota_terms(service), now);
    const auto surplus_idle_time = pool.quota.surplus_idle_time(now);
    for (const auto& each : pool.all) {
      if (each->batch_deadline && *each->batch_deadline <= now) timed_out.push_back(each);
      if (each->use != connection_use::idle) continue;
      const bool is_surplus = pool.all.size() > allowed_idle && now - each->use_start >= surplus_idle_time;
      if (is_surplus || now - each->use_start >= idle_lifetime) expired.push_back(each);
    }
  }
  for (const auto& each : timed_out) {
    each->batch_deadline.reset();
    each->io.abort();
  }
  // The callbacks of the aborted batches may have begun to use a connection.
  for (const auto& each : expired) {
    if (each->use == connection_use::idle) remove(each);
  }
  close_connections_of_removed_targets();
}

void connection_pool::close_connections_of_removed_targets() {
  std::vector<connection_ptr> unlisted;
  for (const auto& [target, pool] : pools_) {
    if (pool.all.empty()) continue;
    const auto directory = context_.shared.services.find(pool.all.front()->service);
    if (directory != context_.shared.services.end() && directory->second.find(target) != nullptr) continue;
    for (const auto& [customer, connections] : pool.idle) {
      unlisted.insert(unlisted.end(), connections.begin(), connections.end());
    }
  }
  for (const auto& each : unlisted) remove(each);
  const auto now = context_.loop.now();
  // The quota of a listed target outlasts its connections.
  std::erase_if(pools_, [&](const auto& each) {
    const auto directory = context_.shared.services.find(each.second.service);
    const bool is_listed =
        directory != context_.shared.services.end() && directory->second.find(each.first) != nullptr;
    return each.second.all.empty() && each.second.open_blocked_until <= now && !is_listed;
  });
}

std::size_t connection_pool::count(const target_id& target, connection_use use) const {
  const auto* pool = find(target);
  return pool == nullptr ? 0 : pool->counts.at(static_cast<std::size_t>(use));
}

std::size_t connection_pool::count(const target_id& target) const {
  const auto* pool = find(target);
  return pool == nullptr ? 0 : pool->all.size();
}

}  // namespace bulrushlift::entry
