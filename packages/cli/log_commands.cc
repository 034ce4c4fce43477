#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/command.h"
#include "cli/request_timeline.h"

/// @file
/// The command `explain`, which reads the logs of VMs.

namespace bulrushlift {
namespace {

command_result run_explain(command_context& context) {
  std::vector<std::string> lines;
  for (std::size_t i = 1; i < context.operands.size(); ++i) {
    std::ifstream file{context.operands[i]};
    if (!file)
      return make_error(error_kind::not_found,
                        fmt::format("cannot read the log file {}", context.operands[i]));
    for (std::string line; std::getline(file, line);) lines.push_back(line);
  }
  const auto timeline = build_request_timeline(context.operands[0], lines);
  if (!timeline) return tl::unexpected{timeline.error()};
  if (context.options.json) {
    for (const auto& each : *timeline) context.out << each.json << '\n';
    return {};
  }
  std::vector<std::vector<std::string>> rows;
  for (const auto& each : *timeline) {
    rows.push_back({each.names_request ? "*" : " ", each.time, each.vm, each.event, each.details});
  }
  write_table(context.out, rows);
  return {};
}

}  // namespace

std::vector<command> log_commands() {
  return {{"explain", "explain REQUEST_ID LOG_FILE... [--json]",
           "Tell what the VMs logged about a request and its service at that time; * marks its own lines",
           "explain 5c0e7a21d94b36f8 entry-1.log entry-2.log", 2, std::numeric_limits<std::size_t>::max(),
           run_explain}};
}

}  // namespace bulrushlift
