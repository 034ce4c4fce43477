#pragma once

#include <string_view>

#include "base/error.h"
#include "base/ids.h"
#include "daemon/request.h"
#include "net/http_message.h"

/// @file
/// Pipeline step "answer": formats replies and errors as HTTP responses.

namespace bulrushlift {

/// @param session session token that includes the log point of this request.
/// @return a response with status 200 and the reply as JSON.
[[nodiscard]] http_response format_reply(const request_id& id, const service_reply& reply,
                                         std::string_view session);

/// @param session session token for the caller; no token is sent if empty.
/// @return a response with the HTTP status, outcome and retry advice of the error.
[[nodiscard]] http_response format_error(const request_id& id, const error& failure,
                                         std::string_view session = {});

}  // namespace bulrushlift
