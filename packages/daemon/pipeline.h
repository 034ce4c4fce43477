#pragma once

#include <cstdint>

#include "daemon/accept.h"
#include "daemon/budget_adapter.h"
#include "daemon/configuration_adapter.h"
#include "daemon/context.h"
#include "daemon/route.h"
#include "net/http_server.h"
#include "session/session_token.h"

/// @file
/// The steps of a caller's request: accept, authenticate, admit, route, execute, acknowledge, answer.

namespace bulrushlift {

/// Serves the HTTP requests of callers.
class caller_pipeline {
 public:
  caller_pipeline(daemon_context& context, configuration_adapter& configuration, budget_adapter& budgets,
                  request_router& router);

  /// Handles a request of the callers' listener, including /healthz and /readyz.
  void handle(const http_request& request, const http_responder& respond);

 private:
  /// A request between two steps of the pipeline.
  struct pending_request {
    request_id id;
    caller_request request;
    customer_id customer;
    http_responder respond;
    time_point start;
    time_point deadline;
  };

  void admit(pending_request&& pending);
  void route(pending_request&& pending);
  void execute(const pending_request& pending, service_request&& request, const session_token& session);
  /// Sends the reply with a session token that includes its log point.
  void answer(const pending_request& pending, const session_token& session, const service_id& service,
              const result<service_reply>& reply);
  /// Answers an error of a step of this VM, without a session token.
  void refuse(const pending_request& pending, const error& reason);
  /// Counts an error by its kind, and by customer too if the outcome is "not run".
  void record(const pending_request& pending, const error& reason);
  void record(const pending_request& pending, std::string_view result);
  [[nodiscard]] http_response health(bool is_ready) const;

  daemon_context& context_;
  configuration_adapter& configuration_;
  budget_adapter& budgets_;
  request_router& router_;
  metric_summary& latency_;
  std::uint64_t last_request_ = 0;
};

}  // namespace bulrushlift
