#include <fmt/format.h>

#include <algorithm>
#include <ostream>

#include "base/digest.h"
#include "cli/command.h"

namespace bulrushlift {
namespace {

constexpr const char* version_text = "bulrushlift 0.1.0\n";

constexpr const char* common_help =
    "\nOptions of all commands:\n"
    "  --platform ADDRESS   object API, ip:port; default: variable BULRUSHLIFT_PLATFORM\n"
    "  --environment NAME   environment; default: variable BULRUSHLIFT_ENVIRONMENT\n"
    "  --json               JSON output, on reading commands\n"
    "  --help               this text, or the help of a command\n"
    "  --version            the version\n"
    "\nExit codes: 0 done, 1 internal error, 2 wrong usage, 3 invalid document or settings,\n"
    "4 conflict with another operator, 5 not found, 6 unreachable and without effect, 7 outcome unknown.\n"
    "check --sessions: also 8 warnings only, 9 a file that is cut off or no JSON.\n";

std::vector<command> all_commands() {
  auto commands = document_commands();
  for (auto& it : customer_commands()) commands.push_back(std::move(it));
  for (auto& it : fleet_commands()) commands.push_back(std::move(it));
  for (auto& it : log_commands()) commands.push_back(std::move(it));
  return commands;
}

std::size_t word_count(const std::string& name) {
  return static_cast<std::size_t>(std::count(name.begin(), name.end(), ' ')) + 1;
}

/// @return the command whose name the positional arguments start with, or null if there is none.
const command* find_command(const std::vector<command>& commands,
                            const std::vector<std::string>& positional) {
  for (const auto& it : commands) {
    std::string name;
    for (std::size_t i = 0; i < std::min(word_count(it.name), positional.size()); ++i) {
      name += (i == 0 ? "" : " ") + positional[i];
    }
    if (name == it.name) return &it;
  }
  return nullptr;
}

void write_overview(std::ostream& out, const std::vector<command>& commands) {
  out << "Usage: bulrushlift COMMAND [OPERANDS] [OPTIONS]\n\nCommands:\n";
  std::vector<std::vector<std::string>> rows;
  rows.reserve(commands.size());
  for (const auto& it : commands) rows.push_back({"  " + it.usage, it.summary});
  write_table(out, rows);
  out << common_help;
}

void write_help(std::ostream& out, const command& it) {
  out << fmt::format("Usage: bulrushlift {}\n\n{}.\n\nExample:\n  bulrushlift {}\n{}", it.usage, it.summary,
                     it.example, common_help);
}

int report_error(std::ostream& errors, const error& failure) {
  errors << fmt::format("bulrushlift: {}: {}\n", name_of(failure.kind), failure.message);
  return exit_code_of(failure);
}

int run_command(event_loop& loop, const cli_options& options, const command& it, std::ostream& out,
                std::ostream& errors) {
  command_context context{loop, options, options.positional, out, 0};
  const auto name_end = context.operands.begin() + static_cast<std::ptrdiff_t>(word_count(it.name));
  context.operands.erase(context.operands.begin(), name_end);
  const auto count = context.operands.size();
  if (count < it.min_operands || count > it.max_operands) {
    return report_error(errors, {error_kind::bad_request, fmt::format("usage: bulrushlift {}", it.usage)});
  }
  const auto done = it.run(context);
  return done ? context.exit_code : report_error(errors, done.error());
}

}  // namespace

int run_cli(event_loop& loop, const std::vector<std::string>& arguments, std::ostream& out,
            std::ostream& errors) {
  const auto options = parse_options(arguments);
  if (!options) return report_error(errors, options.error());
  if (options->version) {
    out << version_text;
    return 0;
  }
  const auto commands = all_commands();
  const auto* found = find_command(commands, options->positional);
  if (found != nullptr && options->help) {
    write_help(out, *found);
    return 0;
  }
  if (found != nullptr) return run_command(loop, *options, *found, out, errors);
  if (options->help && options->positional.empty()) {
    write_overview(out, commands);
    return 0;
  }
  return report_error(errors,
                      {error_kind::bad_request, "unknown command; bulrushlift --help lists the commands"});
}

result<net_address> required_platform(const cli_options& options) {
  if (options.platform.empty()) {
    return make_error(error_kind::bad_request,
                      "no platform address is given: use --platform ADDRESS or set BULRUSHLIFT_PLATFORM");
  }
  return parse_address(options.platform);
}

result<std::string> required_environment(const cli_options& options) {
  if (options.environment.empty()) {
    return make_error(error_kind::bad_request,
                      "no environment is given: use --environment NAME or set BULRUSHLIFT_ENVIRONMENT");
  }
  return options.environment;
}

std::string new_promotion_id() { return to_hex(random_bytes(8)); }

void write_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) out << fmt::format("{:<{}}  ", row[i], widths[i]);
    if (!row.empty()) out << row.back();
    out << '\n';
  }
}

}  // namespace bulrushlift
