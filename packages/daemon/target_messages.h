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
/// JSON messages to targets and their answers, as defined in section 4.2 of the design.

namespace bulrushlift {

/// A request to a target. Its id is added when it is sent.
struct target_message {
  std::string path;
  nlohmann::json body;
};

/// A parsed answer of a target.
struct target_answer {
  std::optional<std::uint64_t> id;  ///< The id of the request, where the answer has one.
  /// Kind of the error, by its name on the wire; empty if the request succeeded.
  std::string error_kind;
  std::string error_message;
  term_id term;  ///< Current term of the target, if the answer names one.
  std::optional<log_point> point;
  std::string result;   ///< JSON text.
  std::string outcome;  ///< Answer to `resolve`: done or cancelled.
  nlohmann::json body;
};

/// @param id sent with the message; the target repeats it in its answer.
[[nodiscard]] http_request make_target_request(target_message message, std::uint64_t id);

/// @return the answer, which may be an error of the target; `protocol_error` if it is malformed.
[[nodiscard]] result<target_answer> read_target_answer(const http_response& response);

/// Makes the message for a request.
/// @param term term in which the target must run the request; empty for reads outside transactions.
/// @param transaction name of the transaction at the target; empty outside transactions.
/// @param time_left time until the request's deadline.
[[nodiscard]] target_message make_message(const service_request& request, std::optional<term_id> term,
                                          const std::string& transaction,
                                          std::chrono::milliseconds time_left);

/// @param answer an answer with an error kind.
/// @return the error for the caller. Its outcome is "not run": the request had no effect.
[[nodiscard]] error error_of(const target_answer& answer);

/// @return the log point, or nothing if `value` is not an object with a term and a position.
[[nodiscard]] std::optional<log_point> read_point(const nlohmann::json& value);

}  // namespace bulrushlift
