#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "daemon/request.h"
#include "net/http_message.h"

/// @file
/// Pipeline step "accept": parses an HTTP request into a request of the callers' interface.

namespace bulrushlift {

/// A parsed request, before any check against the configuration document.
struct caller_request {
  operation op = operation::execute;
  route_id route;        ///< Empty if the request belongs to a transaction, which implies the route.
  bool is_read = false;  ///< Kind "read", else "write". Only for operation "execute".
  std::string statement;
  std::optional<std::chrono::milliseconds> max_age;  ///< Maximum age of the data that a read may return.
  bool is_idempotent = false;
  std::string idempotency_key;
  std::string transaction;  ///< Encoded transaction id; empty outside transactions.
  std::string session_token;
  std::chrono::milliseconds time_left{};  ///< Time from the arrival of the request to its deadline.
  /// Bearer key. The step "authenticate" removes it.
  std::optional<std::string> key;
};

/// Parses the path, the headers and the JSON body of a request.
/// @param default_time time to the deadline for a request that states none.
/// @return the request; `not_found` for an unknown path; `unauthenticated` if the Authorization header
///   is not a bearer key; `bad_request` for a wrong method, header or body, with the name of the first
///   invalid field.
[[nodiscard]] result<caller_request> accept_request(const http_request& request,
                                                    std::chrono::milliseconds default_time);

}  // namespace bulrushlift
