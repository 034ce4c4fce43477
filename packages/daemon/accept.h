#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "daemon/request.h"
#include "net/http_message.h"

/// @file
/// Pipeline step "accept": from HTTP to a request of the caller's interface.

namespace bulrushlift {

/// A request as its caller wrote it, unchecked against the document.
struct caller_request {
  operation op = operation::execute;
  route_id route;  ///< Empty if the request names a transaction instead.
  bool is_read = false;
  std::string statement;
  std::optional<std::chrono::milliseconds> max_age;
  bool is_idempotent = false;
  std::string idempotency_key;
  std::string transaction;
  std::string session_token;
  std::chrono::milliseconds time_left{};
  /// Bearer key; taken out by the step "authenticate".
  std::optional<std::string> key;
};

/// @param default_time time for a request that states no deadline.
/// @return the request; `not_found` for an unknown path, `unauthenticated` for an authorization
///   that is no bearer key, else `bad_request` that names the wrong field.
[[nodiscard]] result<caller_request> accept_request(const http_request& request,
                                                    std::chrono::milliseconds default_time);

}  // namespace bulrushlift
