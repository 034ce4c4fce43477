#pragma once

#include <map>
#include <memory>
#include <vector>

#include "daemon/context.h"
#include "daemon/execute.h"
#include "daemon/peer_adapter.h"
#include "fleet/ownership.h"

/// @file
/// Pipeline step "route": passes a request to the owner of its service, which is this VM or a peer.

namespace bulrushlift {

/// Routes requests to the owners of their services and runs the executors of the services owned here.
class request_router {
 public:
  request_router(daemon_context& context, peer_adapter& peers);
  request_router(const request_router&) = delete;
  request_router& operator=(const request_router&) = delete;
  ~request_router();

  /// Applies the document, the leaving targets and the members of the shared state.
  void update();

  /// Runs a caller's request on the owner of its service; tries again if the owner cannot be reached.
  /// @param done called once with the reply.
  void submit(service_request request, reply_callback done);

  /// Runs a request that a peer relayed. It is never relayed again: if this VM does not own the service, the
  /// result is `peer_unavailable`.
  void submit_relayed(service_request request, const reply_callback& done);

  /// Ends all requests and transactions of the local executors.
  void end_remaining();

  [[nodiscard]] std::size_t pending_requests() const;
  [[nodiscard]] std::size_t open_transactions() const;
  [[nodiscard]] const std::map<service_id, std::unique_ptr<service_executor>>& executors() const noexcept {
    return executors_;
  }
  [[nodiscard]] const ownership_controller& ownership() const noexcept { return ownership_; }

 private:
  struct routed_request;
  using routed_pointer = std::shared_ptr<routed_request>;

  void attempt(const routed_pointer& routed);
  void send(const routed_pointer& routed, const vm_id& owner);
  /// Ends the request, or schedules another attempt if the owner failed.
  void on_reply(const routed_pointer& routed, const vm_id& owner, const result<service_reply>& reply);
  /// Schedules another attempt for a request that did not run, unless its deadline would pass.
  void retry_later(const routed_pointer& routed, error cause);
  void finish(const routed_pointer& routed, const result<service_reply>& reply);
  [[nodiscard]] retry_budget& budget_of(const service_id& service);
  /// @return the VM to try next, or nothing if no member is left.
  [[nodiscard]] std::optional<vm_id> owner_of(const routed_request& routed) const;
  [[nodiscard]] service_executor* executor_of(const service_id& service) const;
  void run(const take_ownership& action);
  void run(const give_up_ownership& action);

  daemon_context& context_;
  peer_adapter& peers_;
  ownership_controller ownership_;
  std::map<service_id, std::unique_ptr<service_executor>> executors_;
  std::map<service_id, retry_budget> retry_budgets_;
  std::vector<routed_pointer> routed_requests_;
  std::size_t pending_ = 0;
};

}  // namespace bulrushlift
