#include "entry/connection_pool.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "sql/connection_share.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A target accepts a connection within one statement's time; a silent one costs this long.
constexpr duration open_timeout = milliseconds{600};

// Connections that are opened to one target at a time; each takes a slot meanwhile.
constexpr std::size_t most_opening = 2;

// Idle connections are closed before the platform closes them.
constexpr duration idle_lifetime = seconds{40};

// A former owner closes its connections after this time without use.
constexpr duration surplus_time = milliseconds{100};

// Pause before another connection is opened to a target that was at its limit.
constexpr duration crowded_pause = milliseconds{150};

}  // namespace

connection_pool::connection_pool(entry_context& context, change_callback on_change)
    : context_(context), on_change_(std::move(on_change)) {}

std::size_t connection_pool::limit_of(const service_id& service) const {
  const auto& environment = context_.board.environment;
  if (!environment) return 0;
  const auto it = environment->services.find(service);
  if (it == environment->services.end()) return 0;
  const bool is_owner = owner_of(service, context_.board) == context_.settings.vm;
  return sql::connection_share(it->second.connection_limit, is_owner);
}

connection_pool::connection_ptr connection_pool::find_idle(const target_id& target,
                                                           const customer_id& customer,
                                                           const sql::session_state& session) const {
  const auto it = connections_.find(target);
  if (it == connections_.end()) return nullptr;
  connection_ptr best;
  std::size_t best_distance = 0;
  for (const auto& each : it->second) {
    if (each->use != connection_use::idle || each->customer != customer || !each->io.is_open()) continue;
    const auto distance = each->state.distance(session);
    if (best && distance >= best_distance) continue;
    best = each;
    best_distance = distance;
  }
  return best;
}

connection_pool::connection_ptr connection_pool::find_any_idle(const target_id& target) const {
  const auto it = connections_.find(target);
  if (it == connections_.end()) return nullptr;
  const auto found = std::find_if(it->second.begin(), it->second.end(), [](const connection_ptr& each) {
    return each->use == connection_use::idle && each->io.is_open();
  });
  return found == it->second.end() ? nullptr : *found;
}

std::size_t connection_pool::opening(const target_id& target, const customer_id& customer) const {
  const auto it = connections_.find(target);
  if (it == connections_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(it->second.begin(), it->second.end(), [&](const connection_ptr& each) {
        return each->use == connection_use::opening && each->customer == customer;
      }));
}

bool connection_pool::evict_idle(connection_list& connections, std::size_t held) {
  std::map<customer_id, std::size_t> counts;
  for (const auto& each : connections) {
    if (each->use != connection_use::pinned) ++counts[each->customer];
  }
  auto chosen = connections.end();
  for (auto it = connections.begin(); it != connections.end(); ++it) {
    const auto& each = **it;
    if (each.use != connection_use::idle) continue;
    // A customer without any connection takes one from any other; else the richer give.
    if (held > 0 && counts[each.customer] <= held + 1) continue;
    const bool is_better =
        chosen == connections.end() ||
        std::pair{counts[each.customer], (*chosen)->used} > std::pair{counts[(*chosen)->customer], each.used};
    if (is_better) chosen = it;
  }
  if (chosen == connections.end()) return false;
  remove(connection_ptr{*chosen});
  return true;
}

bool connection_pool::open(const service_id& service, const target_id& target, const customer_id& customer,
                           std::size_t useful) {
  const auto board = context_.board.services.find(service);
  if (board == context_.board.services.end()) return false;
  const auto* entry = board->second.find(target);
  if (entry == nullptr) return false;
  const auto now = context_.loop.now();
  if (const auto it = crowded_until_.find(target); it != crowded_until_.end() && it->second > now) {
    return false;
  }
  const auto address = parse_address(entry->info.address);
  if (!address) {
    log_warning("target_address_invalid", {{"target", target.str()}, {"reason", address.error().message}});
    return false;
  }
  auto& connections = connections_[target];
  std::size_t held = 0;
  std::size_t opening = 0;
  for (const auto& each : connections) {
    if (each->use == connection_use::opening) ++opening;
    if (each->customer == customer && each->use != connection_use::pinned) ++held;
  }
  if (held >= useful || opening >= most_opening) return false;
  if (connections.size() >= limit_of(service) && !evict_idle(connections, held)) return false;
  auto connection = std::make_shared<pooled_connection>(context_.loop, service, target, customer);
  connection->used = now;
  connection->give_up = now + open_timeout;
  connections.push_back(connection);
  context_.counters.counter("target_connections_opened_total").add();
  connection->io.open(
      {*address, service, customer, target},
      [this, connection](std::optional<sql::target_error> failure) { on_opened(connection, failure); });
  return true;
}

void connection_pool::on_opened(const connection_ptr& connection, std::optional<sql::target_error> failure) {
  const auto now = context_.loop.now();
  auto& board = context_.board.services[connection->service];
  connection->give_up.reset();
  if (!failure) {
    board.on_answer(connection->target, std::nullopt, now);
    connection->use = connection_use::idle;
    connection->used = now;
    connection->io.on_idle_close([this, weak = std::weak_ptr{connection}] {
      const auto self = weak.lock();
      if (!self) return;
      remove(self);
      on_change_(self->service);
    });
    on_change_(connection->service);
    return;
  }
  const bool is_crowded =
      *failure == sql::target_error::too_many_connections || *failure == sql::target_error::busy;
  if (is_crowded) {
    crowded_until_[connection->target] = now + crowded_pause;
  } else {
    board.on_failure(connection->target, now);
  }
  log_info("target_connection_failed", {{"target", connection->target.str()},
                                        {"service", connection->service.str()},
                                        {"reason", sql::name_of(*failure)}});
  remove(connection);
  on_change_(connection->service);
}

void connection_pool::take(const connection_ptr& connection, connection_use use) {
  connection->use = use;
  connection->used = context_.loop.now();
}

void connection_pool::release(const connection_ptr& connection) {
  connection->give_up.reset();
  if (!connection->io.is_open()) {
    discard(connection);
    return;
  }
  connection->use = connection_use::idle;
  connection->used = context_.loop.now();
  on_change_(connection->service);
}

void connection_pool::discard(const connection_ptr& connection) {
  remove(connection);
  on_change_(connection->service);
}

void connection_pool::remove(const connection_ptr& connection) {
  const auto it = connections_.find(connection->target);
  if (it != connections_.end()) it->second.remove(connection);
  // The connection may be inside its own callback, so it is destroyed in the next turn.
  context_.loop.post([connection] { connection->io.drop(); });
}

void connection_pool::on_tick() {
  const auto now = context_.loop.now();
  std::vector<connection_ptr> late;
  std::vector<connection_ptr> unused;
  for (const auto& [target, connections] : connections_) {
    for (const auto& each : connections) {
      if (each->give_up && *each->give_up <= now) late.push_back(each);
      if (each->use != connection_use::idle) continue;
      const bool is_surplus =
          connections.size() > limit_of(each->service) && now - each->used >= surplus_time;
      if (is_surplus || now - each->used >= idle_lifetime) unused.push_back(each);
    }
  }
  for (const auto& each : late) {
    each->give_up.reset();
    each->io.abort();
  }
  for (const auto& each : unused) remove(each);
  close_unlisted();
}

void connection_pool::close_unlisted() {
  std::vector<connection_ptr> orphans;
  for (const auto& [target, connections] : connections_) {
    for (const auto& each : connections) {
      if (each->use != connection_use::idle) continue;
      const auto board = context_.board.services.find(each->service);
      if (board == context_.board.services.end() || board->second.find(target) == nullptr) {
        orphans.push_back(each);
      }
    }
  }
  for (const auto& each : orphans) remove(each);
  std::erase_if(connections_, [](const auto& each) { return each.second.empty(); });
}

std::size_t connection_pool::count(const target_id& target, connection_use use) const {
  const auto it = connections_.find(target);
  if (it == connections_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(
      it->second.begin(), it->second.end(), [&](const connection_ptr& each) { return each->use == use; }));
}

std::size_t connection_pool::count(const target_id& target) const {
  const auto it = connections_.find(target);
  return it == connections_.end() ? 0 : it->second.size();
}

}  // namespace bulrushlift::entry
