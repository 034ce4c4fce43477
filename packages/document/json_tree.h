#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "document/finding.h"

/// @file
/// JSON with comments as a tree that knows the line of each value.

namespace bulrushlift::internal {

enum class json_type { null, boolean, number, text, list, object };

/// @return "a list", "a number" and so on, for messages.
[[nodiscard]] std::string_view name_of(json_type type) noexcept;

/// One value.
struct json_node {
  json_type type = json_type::null;
  std::size_t line = 1;
  std::size_t begin = 0;  ///< Offset of the first character in the text.
  std::size_t end = 0;    ///< Offset after the last character.
  bool flag = false;
  double number = 0;
  std::string text;                ///< The text, or the number as it was written.
  std::vector<json_node> items;    ///< Of a list, or the values of an object in the order of the text.
  std::vector<std::string> names;  ///< Of an object: the name of each item.

  [[nodiscard]] const json_node* find(std::string_view name) const;
};

/// Deepest nesting of a valid text; the tree is destroyed recursively.
inline constexpr std::size_t max_json_depth = 16;

/// @param found receives the syntax error, or each name that an object has twice.
/// @return the tree, or nothing after a syntax error.
[[nodiscard]] std::optional<json_node> parse_json(std::string_view text, findings& found);

}  // namespace bulrushlift::internal
