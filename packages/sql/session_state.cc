#include "sql/session_state.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/hash.h"

namespace bulrushlift::sql {
namespace {

// A connection with this many prepared statements is reset before the next one is defined,
// which bounds the target's memory.
constexpr std::size_t max_prepared_per_connection = 256;

}  // namespace

std::string connection_state::name_on_target(const prepared_statement& definition) {
  const auto hash = rendezvous_weight(definition.shape, definition.is_write ? "write" : "read");
  return fmt::format("p{:016x}", hash);
}

bool connection_state::has_stale_value(const session_state& session) const {
  return std::any_of(values_.begin(), values_.end(),
                     [&](const auto& each) { return !session.values.contains(each.first); });
}

std::size_t connection_state::setup_step_count(const session_state& session) const {
  if (has_stale_value(session)) return 1 + session.values.size();
  return static_cast<std::size_t>(
      std::count_if(session.values.begin(), session.values.end(), [&](const auto& each) {
        const auto it = values_.find(each.first);
        return it == values_.end() || it->second != each.second;
      }));
}

connection_setup connection_state::prepare_for(const session_state& session,
                                               const std::optional<prepared_statement>& needed) {
  connection_setup setup;
  const bool is_full =
      needed && !prepared_.contains(*needed) && prepared_.size() >= max_prepared_per_connection;
  if (is_full || has_stale_value(session)) {
    setup.needs_reset = true;
    values_.clear();
    prepared_.clear();
    bytes_ = 0;
  }
  for (const auto& [name, value] : session.values) {
    const auto it = values_.find(name);
    if (it != values_.end() && it->second == value) continue;
    setup.values.push_back({name, value});
    bytes_ += it == values_.end() ? name.size() + value.size() : value.size();
    if (it != values_.end()) bytes_ -= it->second.size();
    values_[name] = value;
  }
  if (!needed || !prepared_.insert(*needed).second) return setup;
  bytes_ += needed->shape.size();
  setup.prepare = prepare_step{name_on_target(*needed), *needed};
  return setup;
}

}  // namespace bulrushlift::sql
