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
/// Heartbeats over UDP: runs the membership controller and carries the status of
/// the configuration.

namespace bulrushlift {

class membership_adapter {
 public:
  struct callbacks {
    std::function<void()> on_members_changed;
    /// Another process has this VM's name and a higher incarnation.
    std::function<void()> on_superseded;
    std::function<configuration_status()> status;
    /// A heartbeat arrived; `asked_at` is set if it answers a question of this VM.
    std::function<void(const vm_id&, const configuration_status&, std::optional<time_point>)> on_status;
  };

  /// @param address bound address for peers.
  membership_adapter(daemon_context& context, peer_adapter& peers, const std::string& address,
                     callbacks handlers);

  /// Opens the socket.
  [[nodiscard]] result<net_address> open(const net_address& address);

  void set_seeds(const std::vector<member_seed>& seeds);
  void on_leave(const peer::leave_t& message);
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
  /// When the pings that may still be answered were sent.
  std::map<std::int64_t, time_point> sent_pings_;
  bool is_changed_ = false;
  scoped_timer timer_;
};

}  // namespace bulrushlift
