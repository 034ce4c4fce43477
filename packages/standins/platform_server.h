#pragma once

#include <cstdint>
#include <map>

#include "base/error.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "standins/object_store_model.h"

/// @file
/// Serves the platform's object API over HTTP, backed by `object_store_model`.
///
///     event_loop loop;
///     platform_server platform{loop};
///     auto address = platform.listen({"127.0.0.1", 0});
///
/// Three requests exist only in this stand-in: `POST /v1/faults` replaces the injected faults,
/// `PUT /v1/vms` replaces the list of VMs, and `GET /v1/counts` returns the number of calls by kind.

namespace bulrushlift {

class platform_server {
 public:
  explicit platform_server(event_loop& loop);
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;
  ~platform_server() = default;

  /// @return the bound address, or `io_error`.
  [[nodiscard]] result<net_address> listen(const net_address& address) { return server_.listen(address); }
  /// @return the model, for tests in the same process.
  [[nodiscard]] object_store_model& model() noexcept { return model_; }

 private:
  struct pending_call {
    http_connection_id connection;
    store_call_kind kind;
    http_responder respond;
  };

  void handle(const http_request& request, const http_responder& respond);
  void handle_store_call(const http_request& request, const http_responder& respond);
  void deliver(const std::vector<store_reply>& replies);
  void deliver_one(const store_reply& reply);
  void set_timer();

  event_loop& loop_;
  object_store_model model_;
  std::map<std::uint64_t, pending_call> pending_calls_;
  std::uint64_t last_id_ = 0;
  scoped_timer timer_;
  http_server server_;
};

}  // namespace bulrushlift
