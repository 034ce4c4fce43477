#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "base/error.h"
#include "cli/options.h"
#include "cli/promotion.h"
#include "net/event_loop.h"

/// @file
/// The commands of the operator's program `bulrushlift`, and the helpers that they share.

namespace bulrushlift {

/// The input and output of one run of a command.
struct command_context {
  event_loop& loop;
  const cli_options& options;
  std::vector<std::string> operands;  ///< Positional arguments after the command's name.
  std::ostream& out;
  int exit_code = 0;  ///< Of a run without an error.
};

using command_result = result<void>;

/// A command with its help text and its function.
struct command {
  std::string name;  ///< One or two positional arguments, for example "key create".
  std::string usage;
  std::string summary;
  std::string example;
  std::size_t min_operands = 0;
  std::size_t max_operands = 0;
  command_result (*run)(command_context&) = nullptr;
};

/// Checks a configuration of the session front, and compares it with the one in force.
[[nodiscard]] command_result run_session_check(command_context& context);

/// @return the content of a file, or `not_found`.
[[nodiscard]] result<std::string> read_file(const std::string& path);

[[nodiscard]] std::vector<command> document_commands();
[[nodiscard]] std::vector<command> customer_commands();
[[nodiscard]] std::vector<command> fleet_commands();
[[nodiscard]] std::vector<command> log_commands();

/// Parses the arguments and runs the command that they name.
/// @param arguments the command line without the program's name.
/// @param out,errors standard output and standard error.
/// @return the exit code; see `exit_code_of`.
[[nodiscard]] int run_cli(event_loop& loop, const std::vector<std::string>& arguments, std::ostream& out,
                          std::ostream& errors);

/// @return the platform's address, or `bad_request` if it is not given or is no valid address.
[[nodiscard]] result<net_address> required_platform(const cli_options& options);
/// @return the environment's name, or `bad_request` if it is not given.
[[nodiscard]] result<std::string> required_environment(const cli_options& options);
/// @return a random id of 16 hexadecimal digits, which identifies one promotion.
[[nodiscard]] std::string new_promotion_id();

/// Writes rows as a table; each column but the last is padded to its widest cell.
void write_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

}  // namespace bulrushlift
