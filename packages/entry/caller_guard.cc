#include "entry/caller_guard.h"

#include "base/log.h"

namespace bulrushlift::entry {
namespace {

// The time limits are many times longer than this.
constexpr duration time_check_interval = std::chrono::seconds{1};

}  // namespace

void caller_guard::close(const forced_close& decision) {
  const auto it = sessions_.find(decision.account.value());
  if (it != sessions_.end()) it->second->close_by_force(decision.reason);
}

bool caller_guard::make_room() {
  if (const auto replaced = context_.resources.replaced_connection(context_.loop.now())) close(*replaced);
  if (!context_.resources.is_full()) return true;
  context_.counters.counter("callers_refused_total", {{"reason", "descriptors"}}).add();
  log_warning("caller_refused",
              {{"reason", "descriptors"}, {"connections", std::uint64_t{context_.resources.connections()}}});
  return false;
}

void caller_guard::on_tick() {
  auto& budget = context_.resources;
  const auto now = context_.loop.now();
  for (const auto& decision : budget.closes_for_memory(now)) close(decision);
  for (const auto id : budget.end_waits(now)) {
    const auto it = sessions_.find(id.value());
    if (it != sessions_.end()) it->second->resume();
  }
  if (now - last_time_check_ < time_check_interval) return;
  last_time_check_ = now;
  for (const auto& decision : budget.closes_for_time(now)) close(decision);
  context_.counters.gauge("caller_bytes").set(static_cast<double>(budget.held_bytes()));
  context_.counters.gauge("caller_connections").set(static_cast<double>(budget.connections()));
}

}  // namespace bulrushlift::entry
