#pragma once

#include "daemon/context.h"
#include "daemon/route.h"
#include "net/object_store_client.h"

/// @file
/// Writes `status/vms/<vm>` to the store: where operators reach this VM, and the
/// primaries of the services that it owns.

namespace bulrushlift {

class status_adapter {
 public:
  status_adapter(daemon_context& context, object_store_client& platform, const request_router& router);

  /// Starts the periodic writes.
  /// @param admin bound address of the operators' listener.
  void start(const net_address& admin);

 private:
  void write();
  [[nodiscard]] std::string value() const;

  daemon_context& context_;
  object_store_client& platform_;
  const request_router& router_;
  std::string admin_address_;
  scoped_timer timer_;
};

}  // namespace bulrushlift
