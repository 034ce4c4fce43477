#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "standins/database_member_messages.h"

/// @file
/// Conversion of the requests and answers of a database member (section 4.2) to and from JSON.
/// The `read_` functions throw `nlohmann::json::exception` if a field is missing or has the wrong
/// type; the server answers that with `bad_request`.

namespace bulrushlift::standin {

using json = nlohmann::json;

[[nodiscard]] json to_json(const log_point& point);
[[nodiscard]] json to_json(const member_status& status);
[[nodiscard]] json to_json(const log_entry& entry);
[[nodiscard]] json to_json(const statement_rows& rows);
[[nodiscard]] json to_json(const pull_request& request);
[[nodiscard]] json to_json(const pull_answer& answer);
[[nodiscard]] json to_json(const member_error& failure, const std::string& id);

[[nodiscard]] log_point read_point(const json& value);
[[nodiscard]] execute_request read_execute(const json& body);
[[nodiscard]] transaction_request read_transaction(const json& body);
[[nodiscard]] resolve_request read_resolve(const json& body);
[[nodiscard]] pull_request read_pull(const json& body);
[[nodiscard]] pull_answer read_pull_answer(const json& body);

}  // namespace bulrushlift::standin
