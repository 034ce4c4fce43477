#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

/// @file
/// Arguments of the operator's program.

namespace bulrushlift {

/// What the command line states; every option may stand anywhere.
struct cli_options {
  std::string platform;     ///< `--platform`, else the variable BULRUSHLIFT_PLATFORM.
  std::string environment;  ///< `--environment`, else the variable BULRUSHLIFT_ENVIRONMENT.
  bool json = false;
  bool help = false;
  bool version = false;
  std::string digest;
  std::string id;
  std::optional<double> rate;
  std::optional<double> burst;
  std::optional<double> weight;
  std::vector<std::string> routes;
  std::vector<std::string>
      admin_addresses;  ///< Admin addresses of VMs; stated, the platform is not asked for them.
  std::vector<std::string> positional;  ///< Command and operands, in order.
};

/// @param arguments without the program's name.
/// @return the options, or `bad_request` that names the wrong argument.
[[nodiscard]] result<cli_options> parse_options(const std::vector<std::string>& arguments);

/// @return the exit code for an error:
///   1 internal, 2 usage, 3 invalid text, 4 conflict, 5 not found, 6 no effect because a part is unreachable,
///   7 outcome unknown.
[[nodiscard]] int exit_code_of(const error& failure) noexcept;

}  // namespace bulrushlift
