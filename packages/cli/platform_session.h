#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/object_store_client.h"

/// @file
/// Blocking calls for the commands; each runs the event loop until its answer.

namespace bulrushlift {

class platform_session {
 public:
  platform_session(event_loop& loop, const net_address& platform);

  [[nodiscard]] result<platform_object> get(std::string_view path);
  [[nodiscard]] result<object_version> put(std::string_view path, std::string_view value,
                                           std::optional<object_version> if_version);
  [[nodiscard]] result<std::vector<platform_object>> list(std::string_view prefix);

 private:
  event_loop& loop_;
  object_store_client client_;
};

/// One request to one of several addresses.
struct admin_request {
  std::string address;
  std::string method;
  std::string target;
};

/// Sends all requests at the same time.
/// @return the bodies of the answers, in order; an error for each address without a good answer.
[[nodiscard]] std::vector<result<std::string>> call_admin_listeners(
    event_loop& loop, const std::vector<admin_request>& requests);

}  // namespace bulrushlift
