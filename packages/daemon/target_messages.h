#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/ids.h"
#include "daemon/request.h"
#include "net/http_message.h"

/// @file
/// JSON messages to targets and their answers (design 4.2).

namespace bulrushlift {

/// A request to a target without its id, which the connection assigns.
struct target_message {
  std::string path;
  nlohmann::json body;
};

/// An answer of a target.
struct target_answer {
  std::optional<std::uint64_t> id;  ///< The id of the request, where the answer has one.
  /// Kind of the error, empty for a success.
  std::string error_kind;
  std::string error_message;
  term_id term;  ///< Current term of the target, if the answer names one.
  std::optional<log_point> point;
  std::string result;   ///< JSON text.
  std::string outcome;  ///< Of `resolve`: done or cancelled.
  nlohmann::json body;
};

[[nodiscard]] http_request make_target_request(target_message message, std::uint64_t id);

/// @return the answer, or `protocol_error` if it is not of the form of design 4.2.
[[nodiscard]] result<target_answer> read_target_answer(const http_response& response);

/// @param term term in which the request runs; not sent with reads outside transactions.
/// @param transaction the target's name of the transaction, empty outside.
/// @param time_left time until the request's deadline.
[[nodiscard]] target_message make_message(const service_request& request, std::optional<term_id> term,
                                          const std::string& transaction,
                                          std::chrono::milliseconds time_left);

/// @return the error for the caller of an answer that is no success. It states that the
///   request had no effect.
[[nodiscard]] error error_of(const target_answer& answer);

[[nodiscard]] std::optional<log_point> read_point(const nlohmann::json& value);

}  // namespace bulrushlift
