#pragma once

#include "daemon/context.h"
#include "daemon/route.h"
#include "net/object_store_client.h"

/// @file
/// Writes the object `status/vms/<vm>` to the store: the address of the operators' listener of this VM, the
/// generation of the configuration in force, and the primaries of the services that this VM owns.

namespace bulrushlift {

/// Publishes the status of this VM in the store at regular intervals.
class status_adapter {
 public:
  status_adapter(daemon_context& context, object_store_client& platform, const request_router& router);

  /// Writes the status now and then periodically.
  /// @param admin bound address of the operators' listener.
  void start(const net_address& admin);

  /// Writes the status at once.
  void write();

 private:
  [[nodiscard]] std::string value() const;

  daemon_context& context_;
  object_store_client& platform_;
  const request_router& router_;
  std::string admin_address_;
  scoped_timer timer_;
};

}  // namespace bulrushlift
