#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/context.h"
#include "net/peer_link.h"

/// @file
/// Links to the other proxies, one for each peer address.

namespace bulrushlift {

class peer_adapter {
 public:
  explicit peer_adapter(daemon_context& context) : context_(context) {}

  /// Sends a request to a member.
  /// @param done gets `peer_unavailable`, not run, if the member is unknown; also later.
  void request(const vm_id& to, peer::envelope_t message, duration timeout, peer_link::reply_callback done);

  /// Sends a message that has no reply.
  void send(const std::string& address, peer::envelope_t message);

  /// Drops links to addresses that no member has, unless requests wait on them.
  void prune();

 private:
  [[nodiscard]] peer_link* link_to(const std::string& address);
  [[nodiscard]] const member* find(const vm_id& name) const;

  daemon_context& context_;
  std::map<std::string, std::unique_ptr<peer_link>> links_;
};

}  // namespace bulrushlift
