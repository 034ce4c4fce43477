#pragma once

#include <string>
#include <string_view>

/// @file
/// The lines that a caller of the operators' platform sends, and what its errors promise.
/// Written from the protocol's page and independent of the product's own codec.

namespace bulrushlift {

/// @return the line that opens a session, with its end.
[[nodiscard]] std::string session_line(std::string_view database, std::string_view key);

/// @return the line of one statement, with its end.
[[nodiscard]] std::string statement_line(std::string_view id, std::string_view text);

/// @return whether an error promises that nothing of the operation is kept.
[[nodiscard]] bool is_promise(std::string_view error_code);

}  // namespace bulrushlift
