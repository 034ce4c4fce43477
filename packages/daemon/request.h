#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

/// @file
/// A request on its way through the pipeline, and its answer. Neither holds a key.

namespace bulrushlift {

enum class operation { execute, begin, commit, rollback, resolve };

[[nodiscard]] std::string_view name_of(operation value) noexcept;
[[nodiscard]] std::optional<operation> operation_from_name(std::string_view name) noexcept;

/// What the owner of a service needs to run a request.
struct service_request {
  request_id id;
  operation op = operation::execute;
  customer_id customer;
  route_id route;
  service_id service;
  bool is_read = false;
  std::string statement;
  /// Of the request, else of the route; not limited if empty.
  std::optional<std::chrono::milliseconds> max_age;
  bool is_idempotent = false;
  std::string idempotency_key;
  std::string transaction;  ///< Its id as the caller sent it; empty outside transactions.
  std::optional<log_point> required_point;
  bool may_use_replicas = true;
  generation_id generation;
  time_point deadline;
};

/// A true answer: what happened to the request.
struct service_reply {
  std::string result;  ///< JSON text; empty without a result.
  std::optional<log_point> point;
  target_id target;
  std::string transaction;                ///< Id of a transaction that began.
  outcome final_outcome = outcome::done;  ///< `not_run` when `resolve` cancelled the request.
};

using reply_callback = std::function<void(result<service_reply>)>;

}  // namespace bulrushlift
