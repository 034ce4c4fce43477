#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/context.h"
#include "net/http_client.h"

/// @file
/// Calls to the platform's object API.

namespace bulrushlift {

class platform_client {
 public:
  using response_callback = std::function<void(result<http_response>)>;

  explicit platform_client(daemon_context& context);
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;
  ~platform_client();

  /// @param done gets `platform_unavailable` if there is no answer in time.
  void call(const http_request& request, duration timeout, response_callback done);

 private:
  struct channel_state {
    std::unique_ptr<http_connection> http;
  };
  using channel_pointer = std::shared_ptr<channel_state>;

  void send_on(const channel_pointer& channel, const http_request& request, duration timeout,
               response_callback done);
  void drop(const channel_pointer& channel);

  daemon_context& context_;
  net_address address_;
  std::vector<channel_pointer> idle_;
  std::vector<channel_pointer> busy_;
};

}  // namespace bulrushlift
