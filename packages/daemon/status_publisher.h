#pragma once

#include "daemon/context.h"
#include "daemon/platform_client.h"
#include "net/address.h"

/// @file
/// Tells operators where this VM's admin listener is, by the object `status/vms/<vm>`.

namespace bulrushlift {

/// Writes the object after the start and again at long intervals: the store takes a few hundred writes per
/// second from the whole fleet, and the address does not change.
class status_publisher {
 public:
  status_publisher(daemon_context& context, platform_client& platform);

  /// @param admin the bound address.
  void start(const net_address& admin);

 private:
  void write();
  /// Calls `write` after `span` times a random factor between 0.5 and 1.
  void schedule(duration span);

  daemon_context& context_;
  platform_client& platform_;
  net_address admin_;
  scoped_timer timer_;
};

}  // namespace bulrushlift
