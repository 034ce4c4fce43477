#pragma once

#include <functional>
#include <map>
#include <memory>

#include "entry/budget_adapter.h"
#include "entry/caller_session.h"
#include "entry/entry_context.h"
#include "entry/failover_adapter.h"
#include "entry/membership_adapter.h"
#include "entry/peer_adapter.h"
#include "entry/statement_router.h"
#include "entry/statement_runner.h"
#include "entry/store_adapter.h"
#include "net/http_server.h"
#include "net/tcp_stream.h"

/// @file
/// A proxy that serves sessions: all parts of one process.

namespace bulrushlift::entry {

class entry_daemon {
 public:
  explicit entry_daemon(entry_context& context);
  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;
  ~entry_daemon();

  /// Opens the listeners and starts to read the store.
  [[nodiscard]] result<void> start();

  /// Ends the process in order: unready at once, idle sessions closed after the load
  /// balancer has noticed, transactions given half of the time.
  void drain();

 private:
  void accept(int handle);
  void remove_session(caller_session& session);
  void update_ownership();
  void on_members();
  void on_tick();
  void on_drain_tick();
  void close_sessions();
  void abort_transactions();
  [[nodiscard]] http_response answer_readiness() const;

  entry_context& context_;
  peer_adapter peers_;
  budget_adapter budgets_;
  statement_runner runner_;
  statement_router router_;
  membership_adapter membership_;
  store_adapter store_;
  failover_adapter failover_;
  tcp_listener caller_listener_;
  http_server readiness_;
  http_server metrics_;
  std::map<caller_session*, std::unique_ptr<caller_session>> sessions_;
  std::uint64_t ticks_ = 0;
  time_point drain_start_{};
  scoped_timer tick_timer_;
};

}  // namespace bulrushlift::entry
