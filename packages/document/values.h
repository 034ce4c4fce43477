#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"
#include "document/address.h"
#include "document/schema.h"

/// @file
/// Readers of the plain values that occur in settings and documents.

namespace bulrushlift::internal {

using text_check = std::function<bool(std::string_view)>;

/// Reads a text that passes the check; adds a finding with `rule` otherwise.
/// @return whether the text is valid.
bool read_text(std::string& out, const json_node& node, const text_check& is_valid, const std::string& rule,
               const std::string& path, check_context& context);

/// Reads a number within bounds, whole if `whole`.
/// @return whether the number is valid.
bool read_number(double& out, const json_node& node, double least, double most, bool whole,
                 const std::string& path, check_context& context);

/// @return a number without needless digits.
[[nodiscard]] std::string show_number(double value);
/// @return "1 to 10".
[[nodiscard]] std::string show_range(double least, double most);

/// Lower-case letters, digits, '.', '_' and '-', up to 63 characters, first a letter or a digit.
[[nodiscard]] bool is_plain_name(std::string_view text) noexcept;
/// As a plain name, without '.' and '_', which separate the parts of a key.
[[nodiscard]] bool is_key_name(std::string_view text) noexcept;
inline constexpr const char* plain_name_rule =
    "lower-case letters, digits, '.', '_' and '-', up to 63 characters, first a letter or a digit";
inline constexpr const char* key_name_rule =
    "lower-case letters, digits and '-', up to 63 characters, first a letter or a digit";

[[nodiscard]] value_reader<std::string> name_value();
[[nodiscard]] value_reader<bool> flag_value();
/// @param least,most valid numbers, both included.
[[nodiscard]] value_reader<double> number_value(double least, double most);
[[nodiscard]] value_reader<std::chrono::milliseconds> milliseconds_value(std::chrono::milliseconds least,
                                                                         std::chrono::milliseconds most);
[[nodiscard]] value_reader<std::optional<std::chrono::milliseconds>> optional_milliseconds_value(
    std::chrono::milliseconds least, std::chrono::milliseconds most);
[[nodiscard]] value_reader<network_address> address_value(bool allow_port_zero);
[[nodiscard]] value_reader<digest256> digest_value();
/// Hexadecimal digits, decoded.
[[nodiscard]] value_reader<std::string> secret_value(std::size_t least_bytes, std::size_t most_bytes);

template <class Id>
value_reader<Id> id_value(const char* rule = plain_name_rule,
                          bool (*is_valid)(std::string_view) = is_plain_name) {
  auto read = [rule, is_valid](Id& out, const json_node& node, const std::string& path,
                               check_context& context) {
    std::string text;
    if (read_text(text, node, is_valid, rule, path, context)) out = Id{std::move(text)};
  };
  return {"name", rule, std::move(read), [](const Id& value) { return value.str(); }};
}

/// Whole numbers.
template <std::unsigned_integral Count>
value_reader<Count> count_value(Count least, Count most) {
  const auto low = static_cast<double>(least);
  const auto high = static_cast<double>(most);
  auto read = [low, high](Count& out, const json_node& node, const std::string& path,
                          check_context& context) {
    double number = 0;
    if (read_number(number, node, low, high, true, path, context)) out = static_cast<Count>(number);
  };
  return {"whole number", show_range(low, high), std::move(read),
          [](const Count& value) { return std::to_string(value); }};
}

/// One of several words.
template <class Enum>
value_reader<Enum> choice_value(std::vector<std::pair<std::string, Enum>> choices) {
  std::string rule;
  for (const auto& it : choices) rule += (rule.empty() ? "" : ", ") + it.first;
  auto read = [choices, rule = "one of " + rule](Enum& out, const json_node& node, const std::string& path,
                                                 check_context& context) {
    const auto find = [&choices](std::string_view word) {
      return std::find_if(choices.begin(), choices.end(),
                          [word](const auto& it) { return it.first == word; });
    };
    const auto is_choice = [&](std::string_view word) { return find(word) != choices.end(); };
    std::string word;
    if (read_text(word, node, is_choice, rule, path, context)) out = find(word)->second;
  };
  auto show = [choices](const Enum& value) {
    for (const auto& [word, choice] : choices) {
      if (choice == value) return word;
    }
    return std::string{};
  };
  return {"word", "one of " + rule, std::move(read), std::move(show)};
}

}  // namespace bulrushlift::internal
