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

// Idle connections beyond the limit, such as those of a former owner, are closed after this time.
constexpr duration surplus_idle_time = milliseconds{100};

// Pause before another connection is opened to a target that refused one as busy or at its
// connection limit.
constexpr duration connection_limit_pause = milliseconds{150};

// Session state above which a connection is not kept for other sessions.
constexpr std::size_t max_idle_state_bytes = std::size_t{64} << 10U;

}  // namespace

connection_pool::connection_pool(entry_context& context, change_callback on_change)
    : context_(context), on_change_(std::move(on_change)) {}

std::size_t connection_pool::target_limit(const service_id& service) const {
  const auto& environment = context_.shared.environment;
  if (!environment) return 0;
  const auto it = environment->services.find(service);
  return it == environment->services.end() ? 0 : it->second.connection_limit;
}

sql::service_role connection_pool::role_in(const service_id& service) const {
  const auto rank = monitor_rank(service, context_.shared, context_.settings.vm);
  if (!rank) return sql::service_role::other;
  return *rank == 0 ? sql::service_role::owner : sql::service_role::monitor;
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

bool connection_pool::evict_idle(const target_pool& pool, std::size_t held) {
  std::map<customer_id, std::size_t> counts;
  for (const auto& each : pool.all) {
    if (each->use != connection_use::pinned) ++counts[each->customer];
  }
  connection_ptr chosen;
  for (const auto& [customer, connections] : pool.idle) {
    // A customer without a connection may evict one of any other customer; otherwise only
    // customers that have at least two connections more than this one are considered.
    if (held > 0 && counts[customer] <= held + 1) continue;
    for (const auto& each : connections) {
      const bool is_better = !chosen || std::pair{counts[customer], chosen->use_start} >
                                            std::pair{counts[chosen->customer], each->use_start};
      if (is_better) chosen = each;
    }
  }
  if (!chosen) return false;
  remove(chosen);
  return true;
}

bool connection_pool::open(const service_id& service, const target_id& target, const customer_id& customer,
                           std::size_t max_useful) {
  const auto directory = context_.shared.services.find(service);
  if (directory == context_.shared.services.end()) return false;
  const auto* entry = directory->second.find(target);
  if (entry == nullptr) return false;
  const auto now = context_.loop.now();
  auto& pool = pools_[target];
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
  if (held >= max_useful) return false;
  if (pool.all.size() >= sql::connection_share(target_limit(service), role_in(service)) &&
      !evict_idle(pool, held))
    return false;
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
  const auto now = context_.loop.now();
  auto& directory = context_.shared.services[connection->service];
  connection->batch_deadline.reset();
  if (!failure) {
    directory.on_answer(connection->target, std::nullopt, now);
    set_use(connection, connection_use::idle);
    connection->io.on_idle_close([this, weak = std::weak_ptr{connection}] {
      const auto self = weak.lock();
      if (!self) return;
      remove(self);
      on_change_(self->service);
    });
    on_change_(connection->service);
    return;
  }
  const bool is_at_limit =
      *failure == sql::target_error::too_many_connections || *failure == sql::target_error::busy;
  if (is_at_limit) {
    pools_[connection->target].open_blocked_until = now + connection_limit_pause;
  } else {
    directory.on_failure(connection->target, now);
  }
  log_info("target_connection_failed", {{"target", connection->target.str()},
                                        {"service", connection->service.str()},
                                        {"reason", sql::name_of(*failure)}});
  remove(connection);
  on_change_(connection->service);
}

void connection_pool::take(const connection_ptr& connection, connection_use use) { set_use(connection, use); }

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

void connection_pool::on_tick() {
  const auto now = context_.loop.now();
  std::vector<connection_ptr> timed_out;
  std::vector<connection_ptr> expired;
  for (const auto& [target, pool] : pools_) {
    if (pool.all.empty()) continue;
    const auto& service = pool.all.front()->service;
    const auto idle_share = sql::idle_connection_share(target_limit(service), role_in(service));
    for (const auto& each : pool.all) {
      if (each->batch_deadline && *each->batch_deadline <= now) timed_out.push_back(each);
      if (each->use != connection_use::idle) continue;
      const bool is_surplus = pool.all.size() > idle_share && now - each->use_start >= surplus_idle_time;
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
  std::erase_if(pools_, [now](const auto& each) {
    return each.second.all.empty() && each.second.open_blocked_until <= now;
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
