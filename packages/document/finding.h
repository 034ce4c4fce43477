#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// @file
/// What a check of a text found.

namespace bulrushlift {

/// One error in a checked text.
struct finding {
  std::size_t line = 0;  ///< Counted from 1.
  std::string path;      ///< JSON path of the wrong item, for example "customers[2].keys[0].digest".
  std::string message;   ///< Names the wrong value and what is valid.

  friend bool operator==(const finding&, const finding&) = default;
};

using findings = std::vector<finding>;

/// @return one line for each finding: "line 12: customers[2].burst: ...".
[[nodiscard]] std::string format_findings(const findings& found);

}  // namespace bulrushlift
