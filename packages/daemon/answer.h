#pragma once

#include <string_view>

#include "base/error.h"
#include "base/ids.h"
#include "daemon/request.h"
#include "net/http_message.h"

/// @file
/// Pipeline step "answer": from an outcome to HTTP.

namespace bulrushlift {

/// @param session token of the session after the request.
[[nodiscard]] http_response format_reply(const request_id& id, const service_reply& reply,
                                         std::string_view session);

/// @param session token of the session, empty if the caller's own token is not valid.
[[nodiscard]] http_response format_error(const request_id& id, const error& failure,
                                         std::string_view session = {});

}  // namespace bulrushlift
