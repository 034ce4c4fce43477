#pragma once

#include <memory>

#include "daemon/admin.h"
#include "daemon/budget_adapter.h"
#include "daemon/configuration_adapter.h"
#include "daemon/context.h"
#include "daemon/drain_adapter.h"
#include "daemon/membership_adapter.h"
#include "daemon/peer_adapter.h"
#include "daemon/pipeline.h"
#include "daemon/route.h"
#include "daemon/status_adapter.h"
#include "net/http_server.h"
#include "net/object_store_client.h"
#include "net/peer_link.h"

/// @file
/// One proxy process: creates its listeners and components and connects them.

namespace bulrushlift {

/// Addresses of the listeners after binding.
struct bound_addresses {
  net_address callers;
  net_address peers;
  net_address admin;
};

/// The proxy of one VM.
class proxy_daemon {
 public:
  /// @param context outlives the daemon.
  explicit proxy_daemon(daemon_context& context);
  proxy_daemon(const proxy_daemon&) = delete;
  proxy_daemon& operator=(const proxy_daemon&) = delete;
  ~proxy_daemon();

  /// Binds the listeners and starts all components.
  /// @return the bound addresses; `invalid_settings` for a malformed address, else `io_error`.
  [[nodiscard]] result<bound_addresses> start();

 private:
  /// Binds TCP and UDP on the same port.
  [[nodiscard]] result<net_address> listen_for_peers(const net_address& address);
  /// Passes the seeds of the settings to the membership protocol.
  void contact_seeds(const net_address& own);
  void on_members_changed();
  void on_configuration_changed();
  void on_peer_message(const peer::envelope_t& message, const peer_responder& respond);
  void lend(const peer::loan_request_t& wire, const peer_responder& respond);
  void relay(const peer::relay_request_t& wire, const peer_responder& respond);
  [[nodiscard]] drain_counts count_work();

  daemon_context& context_;
  object_store_client platform_;
  peer_adapter peers_;
  configuration_adapter configuration_;
  budget_adapter budgets_;
  request_router router_;
  caller_pipeline pipeline_;
  http_server callers_;
  peer_server peer_listener_;
  drain_adapter drain_;
  admin_interface admin_;
  http_server admin_server_;
  status_adapter status_;
  std::unique_ptr<membership_adapter> membership_;
  scoped_timer reconfigure_timer_;
};

}  // namespace bulrushlift
