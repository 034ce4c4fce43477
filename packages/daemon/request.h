#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "database/retry_policy.h"

/// @file
/// Internal form of a request and its reply. Neither contains the caller's key.

namespace bulrushlift {

/// Operations of the callers' interface.
enum class operation { execute, begin, commit, rollback, resolve };

/// @return the name in paths and peer messages.
[[nodiscard]] std::string_view name_of(operation value) noexcept;
/// @return the operation with that name, or nothing.
[[nodiscard]] std::optional<operation> operation_from_name(std::string_view name) noexcept;

/// A request as the owner of its service runs it.
struct service_request {
  request_id id;
  operation op = operation::execute;
  customer_id customer;
  route_id route;
  service_id service;
  bool is_read = false;
  std::string statement;
  /// Maximum age of the data that a read may return: that of the request, else of the route. Empty: no limit.
  std::optional<std::chrono::milliseconds> max_age;
  bool is_idempotent = false;
  std::string idempotency_key;
  std::string transaction;  ///< Encoded transaction id from the caller; empty outside transactions.
  std::optional<log_point> required_point;  ///< Log point of the session, which a read must include.
  bool may_use_replicas = true;
  generation_id generation;  ///< Generation of the document with which the request was accepted.
  time_point deadline;
};

/// @return what decides whether the request may be sent again.
[[nodiscard]] request_traits retry_traits_of(const service_request& request);

/// The result of a request that ended without an error.
struct service_reply {
  std::string result;  ///< JSON text; empty if there is no result.
  std::optional<log_point> point;
  target_id target;
  std::string transaction;                ///< Encoded id of the transaction that a `begin` started.
  outcome final_outcome = outcome::done;  ///< `not_run` when `resolve` cancelled the request.
};

using reply_callback = std::function<void(result<service_reply>)>;

}  // namespace bulrushlift
