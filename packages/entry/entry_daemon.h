#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "entry/budget_adapter.h"
#include "entry/caller_guard.h"
#include "entry/caller_session.h"
#include "entry/entry_context.h"
#include "entry/evacuation_adapter.h"
#include "entry/failover_adapter.h"
#include "entry/membership_adapter.h"
#include "entry/peer_adapter.h"
#include "entry/statement_router.h"
#include "entry/statement_runner.h"
#include "entry/store_adapter.h"
#include "net/http_server.h"
#include "net/tcp_stream.h"

/// @file
/// The daemon of a proxy that serves sessions: owns and connects all components of the process.

namespace bulrushlift::entry {

class entry_daemon {
 public:
  explicit entry_daemon(entry_context& context);
  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;
  ~entry_daemon();

  /// Opens the listeners, installs the signal handlers and starts to read the store.
  [[nodiscard]] result<void> start();

  /// Starts a graceful shutdown, which ends within the drain time: reports unready at once, closes
  /// sessions between operations after the load balancer has noticed that, and aborts open transactions
  /// after half of the drain time. Has no effect if called again.
  void drain();

 private:
  void accept(int handle);
  void remove_session(caller_session& session);
  void update_ownership();
  /// The monitors follow the targets and the primaries too, so they are computed at each tick.
  void update_monitors();
  /// Ends the wait for the evacuations if the store answers calls about other kinds only.
  void limit_evacuation_wait();
  void on_members();
  void on_tick();
  void on_drain_tick();
  void close_idle_sessions();
  void abort_transactions();
  /// @return whether no session and no statement of another VM is left.
  [[nodiscard]] bool is_all_served() const;
  [[nodiscard]] http_response answer_readiness() const;

  entry_context& context_;
  peer_adapter peers_;
  budget_adapter budgets_;
  statement_runner runner_;
  statement_router router_;
  evacuation_adapter evacuations_;
  membership_adapter membership_;
  store_adapter store_;
  failover_adapter failover_;
  caller_guard guard_;
  tcp_listener caller_listener_;
  http_server readiness_;
  http_server metrics_;
  std::map<caller_session*, std::unique_ptr<caller_session>> sessions_;
  std::uint64_t ticks_ = 0;
  std::optional<drain_schedule> drain_;
  std::optional<time_point> store_ready_since_;
  bool is_evacuation_wait_over_ = false;
  scoped_timer tick_timer_;
};

}  // namespace bulrushlift::entry
