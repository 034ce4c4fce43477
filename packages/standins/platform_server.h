#pragma once

#include <cstdint>
#include <map>

#include "base/error.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "standins/object_store_model.h"

/// @file
/// Serves the platform's object API over HTTP from the model.
///
///     event_loop loop;
///     platform_server platform{loop};
///     auto address = platform.listen({"127.0.0.1", 0});
///
/// Stand-in only: `POST /v1/faults` replaces the faults, `PUT /v1/vms` the list
/// of VMs, and `GET /v1/counts` counts the calls by kind.

namespace bulrushlift {

class platform_server {
 public:
  explicit platform_server(event_loop& loop);
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;
  ~platform_server() = default;

  /// @return the bound address, or `io_error`.
  [[nodiscard]] result<net_address> listen(const net_address& address) { return server_.listen(address); }
  /// For tests in the same process.
  [[nodiscard]] object_store_model& model() noexcept { return model_; }

 private:
  struct waiting_call {
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
  std::map<std::uint64_t, waiting_call> waiting_;
  std::uint64_t last_id_ = 0;
  scoped_timer timer_;
  http_server server_;
};

}  // namespace bulrushlift
