#pragma once

#include <unordered_map>

#include "entry/caller_session.h"
#include "entry/entry_context.h"

/// @file
/// Applies the decisions of the resource budget to the sessions of callers. Load pattern: clients that hold
/// memory or connections without end; see `resource_budget`.

namespace bulrushlift::entry {

class caller_guard {
 public:
  explicit caller_guard(entry_context& context) : context_(context) {}

  /// Makes room for a new connection by closing another one, if needed.
  /// @return whether the connection may be kept.
  [[nodiscard]] bool make_room();
  void add(caller_session& session) { sessions_.emplace(session.account().value(), &session); }
  void remove(const caller_session& session) { sessions_.erase(session.account().value()); }
  /// Ends waits for memory, and closes connections that have exceeded a limit. Call often.
  void on_tick();

 private:
  void close(const forced_close& decision);

  entry_context& context_;
  std::unordered_map<std::uint64_t, caller_session*> sessions_;
  time_point last_time_check_{};
};

}  // namespace bulrushlift::entry
