#pragma once

#include <string>

#include "daemon/budget_adapter.h"
#include "daemon/configuration_adapter.h"
#include "daemon/context.h"
#include "daemon/drain_adapter.h"
#include "daemon/route.h"
#include "net/http_server.h"

/// @file
/// HTTP interface for operators: /metrics, /v1/status and /v1/drain.

namespace bulrushlift {

/// Answers the requests of the operators' listener.
class admin_interface {
 public:
  admin_interface(daemon_context& context, configuration_adapter& configuration, request_router& router,
                  drain_adapter& drain, budget_adapter& budgets, http_server& callers);

  /// Answers one request, with error `not_found` for an unknown path or method.
  void handle(const http_request& request, const http_responder& respond);

 private:
  /// @return the JSON text of /v1/status.
  [[nodiscard]] std::string status() const;
  /// Sets the gauges that are read from other components at the time of a /metrics request.
  void update_gauges();

  daemon_context& context_;
  configuration_adapter& configuration_;
  request_router& router_;
  drain_adapter& drain_;
  budget_adapter& budgets_;
  http_server& callers_;
};

}  // namespace bulrushlift
