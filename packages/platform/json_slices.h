#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Splits JSON text into the texts of its elements without parsing them, so that an element that can't be
/// parsed (a number out of range, invalid UTF-8, extreme nesting) doesn't spoil the others. All functions are
/// pure, need memory in proportion to the number of elements and never recurse.
///
///     for (const auto item : split_array(body).value_or(json_slices{})) {
///       if (auto value = parse_slice(item)) { ... }
///     }

namespace bulrushlift::platform {

/// Deepest nesting of arrays and objects that `parse_slice` accepts. Copies and comparisons of a JSON value
/// recurse, so deeper values could exhaust the stack.
inline constexpr std::size_t max_json_depth = 64;

using json_slices = std::vector<std::string_view>;

/// A member of an object.
struct json_member {
  std::string_view key;    ///< Between its quotes; escape sequences are not decoded.
  std::string_view value;  ///< Text of the value, without white space around it.
};
using json_members = std::vector<json_member>;

/// @return the texts of the elements of an array, or nothing if the brackets or quotes of the text don't
///   match those of an array.
[[nodiscard]] std::optional<json_slices> split_array(std::string_view text);

/// @return the members of an object in the order of the text, or nothing if the brackets or quotes of the
///   text don't match those of an object.
[[nodiscard]] std::optional<json_members> split_object(std::string_view text);

/// @return the value of the first member with the key, or an empty text if there is none.
[[nodiscard]] std::string_view find_member(const json_members& members, std::string_view key);

/// @return the value, or nothing if it is malformed or nested deeper than `max_json_depth`.
[[nodiscard]] std::optional<nlohmann::json> parse_slice(std::string_view text);

/// @return the string, or nothing if the text is no valid JSON string.
[[nodiscard]] std::optional<std::string> parse_string(std::string_view text);

/// @return the number, or nothing if the text is no unsigned integer of 64 bits.
[[nodiscard]] std::optional<std::uint64_t> parse_unsigned(std::string_view text);

}  // namespace bulrushlift::platform
