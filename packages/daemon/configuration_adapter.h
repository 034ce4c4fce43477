#pragma once

#include <peer_types.h>

#include <functional>

#include "daemon/context.h"
#include "daemon/peer_adapter.h"
#include "fleet/configuration_controller.h"
#include "net/object_store_client.h"

/// @file
/// Runs the configuration controller: calls the store and peers, and publishes the
/// current document in the shared state.

namespace bulrushlift {

/// Keeps the configuration of this VM up to date.
class configuration_adapter {
 public:
  struct callbacks {
    /// The document or the leaving targets in the shared state changed.
    std::function<void()> on_changed;
    /// The store has another document that is not newer than the one in force.
    std::function<void()> on_store_outdated;
  };

  configuration_adapter(daemon_context& context, object_store_client& platform, peer_adapter& peers,
                        callbacks handlers);

  /// Starts the periodic tick and the first calls.
  void start();

  /// Applies the members of the shared state.
  void update_members();
  /// Handles the configuration status in a heartbeat of a peer.
  /// @param ping_sent_at when this VM sent the ping that the heartbeat answers; empty for other heartbeats.
  void on_peer_status(const vm_id& peer, const configuration_status& status,
                      std::optional<time_point> ping_sent_at);
  /// @return the reply to a peer that asks for a newer document.
  [[nodiscard]] peer::document_reply_t answer_peer(const peer::document_request_t& wire) const;

  [[nodiscard]] freshness state() const { return controller_.freshness_at(context_.loop.now()); }
  [[nodiscard]] configuration_status status() const { return controller_.status_at(context_.loop.now()); }
  /// @return whether this VM is one of those that watch the store.
  [[nodiscard]] bool is_watcher() const { return controller_.is_watcher(); }

 private:
  void perform(const configuration_actions& actions);
  void run(const read_store& action);
  void run(const list_vms& action);
  void run(const ask_peer& action);
  void run(const apply_document& action);
  void run(const reject_document& action);
  void run(const publish_generation& action);
  void run(const apply_leaving_targets& action);
  void on_store_answer(configuration_call call, const store_answer& answer);
  void on_store_failure(configuration_call call, const error& reason);
  void schedule_tick();

  daemon_context& context_;
  object_store_client& platform_;
  peer_adapter& peers_;
  callbacks handlers_;
  configuration_controller controller_;
  scoped_timer tick_timer_;
};

}  // namespace bulrushlift
