#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

/// @file
/// Command-line options and exit codes of the operator's program.

namespace bulrushlift {

/// The parsed command line. Options may come before, between and after the positional arguments.
struct cli_options {
  std::string platform;     ///< `--platform`, or else the environment variable BULRUSHLIFT_PLATFORM.
  std::string environment;  ///< `--environment`, or else the environment variable BULRUSHLIFT_ENVIRONMENT.
  bool json = false;
  bool help = false;
  bool version = false;
  std::string digest;
  std::string id;
  std::optional<double> rate;
  std::optional<double> burst;
  std::optional<double> weight;
  std::vector<std::string> routes;
  /// Admin addresses of VMs, from `--admin`; if empty, the platform is asked for them.
  std::vector<std::string> admin_addresses;
  bool sessions = false;  ///< `--sessions`: the file is a configuration of the session front.
  std::string against;    ///< `--against`: file of the configuration in force; empty if none is given.
  std::vector<std::string> positional;  ///< The command's name and its operands, in order.
};

/// Parses the command line.
/// @param arguments the command line without the program's name.
/// @return the options, or `bad_request` with the argument that is unknown or invalid.
[[nodiscard]] result<cli_options> parse_options(const std::vector<std::string>& arguments);

/// @return the exit code for an error:
///   1 internal error, 2 wrong usage, 3 invalid document or settings, 4 conflict with another operator,
///   5 not found, 6 platform or VM unreachable and nothing changed, 7 outcome unknown.
///   `check --sessions` also ends with 8 (warnings only) and 9 (a file that can't be read to its end).
[[nodiscard]] int exit_code_of(const error& failure) noexcept;

}  // namespace bulrushlift
