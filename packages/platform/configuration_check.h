#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

/// @file
/// Checks the operator's configuration before it is sent, and compares it with the version in force.
///
/// Failure that it prevents: a configuration that the store accepts but that locks customers out, sends work
/// to a service that is not there or changes more than was meant. Keys never appear in a finding or a
/// difference.

namespace bulrushlift::platform {

/// Place at which a text stops being JSON.
struct text_place {
  std::size_t line = 0;  ///< Counted from 1.
  std::size_t byte = 0;  ///< Offset in the text, counted from 0.
  std::string message;
};

/// Reads a configuration: the document itself, or an object of the store, of which `spec` is taken.
/// @return the document, or the place of the first fault. A text that is cut off has its end as the place.
[[nodiscard]] tl::expected<nlohmann::json, text_place> read_configuration(std::string_view text);

enum class finding_severity : std::uint8_t { error, warning };

enum class finding_kind : std::uint8_t {
  field,          ///< A field is missing, of another type or out of range.
  duplicate,      ///< A name or a key occurs twice.
  never_matches,  ///< The entry can have no effect.
  contradiction,  ///< Limits that exclude each other.
  version,        ///< Not above the version in force.
};

struct configuration_finding {
  finding_severity severity = finding_severity::error;
  finding_kind kind = finding_kind::field;
  std::string path;  ///< For example "routes[2].timeoutMs"; empty for the whole document.
  std::string message;

  friend bool operator==(const configuration_finding&, const configuration_finding&) = default;
};
using configuration_findings = std::vector<configuration_finding>;

[[nodiscard]] std::string_view name_of(finding_severity value) noexcept;
[[nodiscard]] std::string_view name_of(finding_kind value) noexcept;

/// @return all findings; errors of fields first, then the others in the order of the document.
[[nodiscard]] configuration_findings check_configuration(const nlohmann::json& content);

enum class difference_kind : std::uint8_t { added, removed, changed };
[[nodiscard]] std::string_view name_of(difference_kind value) noexcept;

/// A field whose value differs; JSON text, empty if it is absent. Of keys only their number is told.
struct field_difference {
  std::string field;
  std::string before;
  std::string after;

  friend bool operator==(const field_difference&, const field_difference&) = default;
};

struct configuration_difference {
  difference_kind kind = difference_kind::changed;
  std::string entry;  ///< For example "routes/orders", or the name of a field of the document.
  std::vector<field_difference> fields;  ///< Of a changed entry.

  friend bool operator==(const configuration_difference&, const configuration_difference&) = default;
};

/// @return what `content` changes compared with `in_force`, by the names of the entries.
[[nodiscard]] std::vector<configuration_difference> compare_configurations(const nlohmann::json& content,
                                                                           const nlohmann::json& in_force);

/// @return an error if the version of `content` is not above that in force, or if either has none.
[[nodiscard]] configuration_findings check_version(const nlohmann::json& content,
                                                   const nlohmann::json& in_force);

}  // namespace bulrushlift::platform
