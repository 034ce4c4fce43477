#pragma once

#include <string>

#include "daemon/budget_adapter.h"
#include "daemon/configuration_adapter.h"
#include "daemon/context.h"
#include "daemon/drain_adapter.h"
#include "daemon/route.h"
#include "net/http_server.h"

/// @file
/// The operators' listener: /metrics, /v1/status and /v1/drain.

namespace bulrushlift {

class admin_interface {
 public:
  admin_interface(daemon_context& context, configuration_adapter& configuration, request_router& router,
                  drain_adapter& drain, budget_adapter& budgets, http_server& callers);

  void handle(const http_request& request, const http_responder& respond);

 private:
  [[nodiscard]] std::string status() const;
  void update_gauges();

  daemon_context& context_;
  configuration_adapter& configuration_;
  request_router& router_;
  drain_adapter& drain_;
  budget_adapter& budgets_;
  http_server& callers_;
};

}  // namespace bulrushlift
