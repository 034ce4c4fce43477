#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/context.h"
#include "net/peer_link.h"

/// @file
/// Connections to the other proxies, one link for each peer address.

namespace bulrushlift {

/// Sends messages to members, over links that are created on demand.
class peer_adapter {
 public:
  explicit peer_adapter(daemon_context& context) : context_(context) {}

  /// Sends a request to a member.
  /// @param done called after this function has returned, with the reply or an error. If the address of the
  ///   member is unknown, the error is `peer_unavailable` with outcome "not run".
  void request(const vm_id& to, peer::envelope_t message, duration timeout, peer_link::reply_callback done);

  /// Sends a message that has no reply.
  void send(const std::string& address, peer::envelope_t message);

  /// Closes links to addresses that belong to no member, except links with pending requests.
  void prune();

 private:
  [[nodiscard]] peer_link* link_to(const std::string& address);
  [[nodiscard]] const member* find(const vm_id& name) const;

  daemon_context& context_;
  std::map<std::string, std::unique_ptr<peer_link>> links_;
};

}  // namespace bulrushlift
