#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "daemon/context.h"
#include "daemon/peer_adapter.h"
#include "fleet/configuration_controller.h"
#include "net/datagram_socket.h"

/// @file
/// Runs the membership controller over UDP. Its heartbeats also carry the status of the configuration.

namespace bulrushlift {

/// Takes part in the membership protocol for this VM.
class membership_adapter {
 public:
  struct callbacks {
    std::function<void()> on_members_changed;
    /// Another process has the name of this VM and a higher incarnation, so this process must stop.
    std::function<void()> on_superseded;
    /// Returns the configuration status that heartbeats carry.
    std::function<configuration_status()> status;
    /// A heartbeat of a peer arrived. The time is when this VM sent the ping that the heartbeat answers; it
    /// is empty for other heartbeats.
    std::function<void(const vm_id&, const configuration_status&, std::optional<time_point>)> on_status;
  };

  /// @param address bound address of the peer listener, which other VMs use.
  membership_adapter(daemon_context& context, peer_adapter& peers, const std::string& address,
                     callbacks handlers);

  /// Opens the UDP socket and starts the protocol timer.
  /// @return the bound address, or `io_error`.
  [[nodiscard]] result<net_address> open(const net_address& address);

  /// Sets the members to contact before any other is known.
  void set_seeds(const std::vector<member_seed>& seeds);
  /// Handles the leave message of a peer.
  void on_leave(const peer::leave_t& message);
  /// Announces to the members that this VM leaves.
  void leave();

 private:
  void perform(const membership_actions& actions);
  void run(const send_membership& action);
  void run(const member_changed& action);
  void run(const send_leave& action);
  void run(const stop_instance& action);
  void on_datagram(const net_address& from, std::string_view bytes);
  void publish();
  void rearm();

  daemon_context& context_;
  peer_adapter& peers_;
  callbacks handlers_;
  membership_controller controller_;
  datagram_socket socket_;
  /// Send times of the pings that may still be answered, by message id.
  std::map<std::int64_t, time_point> sent_pings_;
  bool is_changed_ = false;
  scoped_timer timer_;
};

}  // namespace bulrushlift
