#pragma once

#include <string>
#include <string_view>

/// @file
/// Encodes the lines that a caller of the operators' platform sends, and classifies the error codes
/// that it receives. Follows the protocol's page and is independent of the product's own codec.

namespace bulrushlift {

/// @return the line that opens a session, with the trailing CR LF.
[[nodiscard]] std::string session_line(std::string_view database, std::string_view key);

/// @return the line of one statement, with the trailing CR LF.
[[nodiscard]] std::string statement_line(std::string_view id, std::string_view text);

/// @return whether an answer with this error code guarantees that the operation had no effect.
[[nodiscard]] bool guarantees_no_effect(std::string_view error_code);

}  // namespace bulrushlift
