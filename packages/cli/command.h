#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "base/error.h"
#include "cli/options.h"
#include "cli/promotion.h"
#include "net/event_loop.h"

/// @file
/// The commands of the operator's program.

namespace bulrushlift {

/// What a command works with.
struct command_context {
  event_loop& loop;
  const cli_options& options;
  std::vector<std::string> operands;  ///< Words after the command's name.
  std::ostream& out;
};

using command_result = result<void>;

/// One command with its help.
struct command {
  std::string name;  ///< One or two words, for example "key create".
  std::string usage;
  std::string summary;
  std::string example;
  std::size_t min_operands = 0;
  std::size_t max_operands = 0;
  command_result (*run)(command_context&) = nullptr;
};

[[nodiscard]] std::vector<command> document_commands();
[[nodiscard]] std::vector<command> customer_commands();
[[nodiscard]] std::vector<command> fleet_commands();
[[nodiscard]] std::vector<command> log_commands();

/// Runs the program.
/// @param arguments without the program's name.
/// @param out,problems standard output and standard error.
/// @return the exit code.
[[nodiscard]] int run_cli(event_loop& loop, const std::vector<std::string>& arguments, std::ostream& out,
                          std::ostream& errors);

/// @return the platform's address, or `bad_request` if none is stated.
[[nodiscard]] result<net_address> required_platform(const cli_options& options);
/// @return the environment's name, or `bad_request` if none is stated.
[[nodiscard]] result<std::string> required_environment(const cli_options& options);
/// @return a new id for a promotion.
[[nodiscard]] std::string new_promotion_id();

/// Writes rows as columns of equal width.
void write_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

}  // namespace bulrushlift
