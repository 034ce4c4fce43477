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
/// Blocking calls for the commands. Each call runs the event loop until it is answered or times out.

namespace bulrushlift {

/// A blocking client of the platform's object API. Errors are those of `object_store_client`; a failed read
/// is reported as not run.
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

/// A request without a body to the admin listener of one VM.
struct admin_request {
  std::string address;
  std::string method;
  std::string target;
};

/// Sends all requests concurrently and waits for all answers.
/// @return one result per request, in the order of the requests: the body of the answer, or an error if the
///   address is invalid, the VM can't be reached in time or the status is not 2xx.
[[nodiscard]] std::vector<result<std::string>> call_admin_listeners(
    event_loop& loop, const std::vector<admin_request>& requests);

}  // namespace bulrushlift
