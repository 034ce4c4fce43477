#pragma once

#include <string>
#include <vector>

#include "base/error.h"

/// @file
/// Command-line options of `bulrushliftd`.

namespace bulrushlift {

struct command_line {
  bool is_help_wanted = false;
  bool is_version_wanted = false;
  /// --entry: serve sessions on the operators' platform instead of the HTTP interface.
  bool is_entry = false;
  std::string settings_path;
};

/// @param arguments the program name and its arguments.
/// @return the options, or `bad_request` with a message for the user.
[[nodiscard]] result<command_line> parse_command_line(const std::vector<std::string>& arguments);

/// @return the text of --help.
[[nodiscard]] std::string usage_text();

}  // namespace bulrushlift
