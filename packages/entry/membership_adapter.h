#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "entry/entry_context.h"
#include "fleet/configuration_controller.h"
#include "net/datagram_socket.h"

/// @file
/// Exchanges heartbeats with the other VMs over UDP: runs the membership controller and publishes
/// the members in the shared state.

namespace bulrushlift::entry {

class membership_adapter {
 public:
  /// @param on_change called when a member joined, left or changed its state.
  /// @param on_superseded called when a newer process runs under this VM's name.
  /// @param on_status called for each heartbeat with its sender and the status of the configuration there.
  membership_adapter(entry_context& context, std::function<void()> on_change,
                     std::function<void()> on_superseded,
                     std::function<void(const vm_id&, const configuration_status&)> on_status);

  /// Called for each heartbeat that tells which data centres are evacuated.
  using evacuation_callback = std::function<void(const sql::evacuation_status&)>;
  /// Called for each heartbeat that is sent. @return what it tells, or nothing.
  using evacuation_source = std::function<std::optional<sql::evacuation_status>()>;
  /// Exchanges the evacuated data centres in heartbeats. Call before `open`.
  void exchange_evacuations(evacuation_source source, evacuation_callback on_received) {
    evacuation_source_ = std::move(source);
    on_evacuations_ = std::move(on_received);
  }

  /// Opens the socket and starts the heartbeats.
  /// @return the address that the socket is bound to.
  [[nodiscard]] result<net_address> open();

  /// Sets the VMs that the store lists as the seeds of the membership.
  void update_seeds();

  /// Announces that this VM leaves, so that other VMs take over its services at once.
  void leave();

 private:
  void perform(const membership_actions& actions);
  void update_members();
  void run(const send_membership& action);
  void run(const member_changed& action);
  void run(const send_leave& action);
  void run(const stop_instance& action);
  void on_datagram(const net_address& from, std::string_view bytes);
  void reset_timer();

  entry_context& context_;
  std::function<void()> on_change_;
  std::function<void()> on_superseded_;
  std::function<void(const vm_id&, const configuration_status&)> on_status_;
  evacuation_source evacuation_source_;  ///< Empty if no evacuations are watched.
  evacuation_callback on_evacuations_;
  membership_controller controller_;
  datagram_socket socket_;
  bool is_changed_ = false;
  bool has_presumed_ = false;  ///< Some members in the shared state have not been heard of yet.
  scoped_timer timer_;
};

}  // namespace bulrushlift::entry
