#pragma once

#include <peer_types.h>

#include <functional>

#include "daemon/context.h"
#include "daemon/peer_adapter.h"
#include "fleet/configuration_controller.h"
#include "net/object_store_client.h"

/// @file
/// Runs the configuration controller: calls to the store and to peers, and the
/// document in force on the blackboard.

namespace bulrushlift {

class configuration_adapter {
 public:
  struct callbacks {
    /// The document or the leaving targets on the blackboard changed.
    std::function<void()> on_changed;
  };

  configuration_adapter(daemon_context& context, object_store_client& platform, peer_adapter& peers,
                        callbacks handlers);

  /// Starts the first calls.
  void start();

  /// The members on the blackboard changed.
  void update_members();
  void on_peer_status(const vm_id& peer, const configuration_status& status,
                      std::optional<time_point> ping_sent_at);
  [[nodiscard]] peer::document_reply_t answer_peer(const peer::document_request_t& wire) const;

  [[nodiscard]] freshness state() const { return controller_.freshness_at(context_.loop.now()); }
  [[nodiscard]] configuration_status status() const { return controller_.status_at(context_.loop.now()); }
  [[nodiscard]] bool is_watcher() const { return controller_.is_watcher(); }

 private:
  void perform(const configuration_actions& actions);
  void run(const read_store& action);
  void run(const list_vms& action);
  void run(const ask_peer& action);
  void run(const apply_document& action);
  void run(const reject_document& action);
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
