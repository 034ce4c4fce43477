#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>

#include "cli/command.h"
#include "platform/configuration_check.h"

// The command `check --sessions`.

namespace bulrushlift {
namespace {

using nlohmann::json;
using platform::configuration_difference;
using platform::configuration_finding;
using platform::configuration_findings;

constexpr int exit_errors = 3;
constexpr int exit_warnings = 8;
constexpr int exit_unreadable = 9;

int exit_code_of(const configuration_findings& findings) {
  const auto is_error = [](const configuration_finding& it) {
    return it.severity == platform::finding_severity::error;
  };
  if (std::any_of(findings.begin(), findings.end(), is_error)) return exit_errors;
  return findings.empty() ? 0 : exit_warnings;
}

json to_json(const configuration_finding& it) {
  return {{"severity", name_of(it.severity)},
          {"kind", name_of(it.kind)},
          {"path", it.path},
          {"message", it.message}};
}

json to_json(const configuration_difference& it) {
  json fields = json::array();
  for (const auto& each : it.fields) {
    fields.push_back({{"field", each.field}, {"before", each.before}, {"after", each.after}});
  }
  return {{"kind", name_of(it.kind)}, {"entry", it.entry}, {"fields", fields}};
}

/// Reads and parses a file. If it is no whole document, writes the place and sets the exit code.
/// @return the document, or nothing if it is not whole.
result<std::optional<json>> read_document(command_context& context, const std::string& path) {
  const auto text = read_file(path);
  if (!text) return tl::unexpected{text.error()};
  auto content = platform::read_configuration(*text);
  if (content) return std::optional<json>{std::move(*content)};
  const auto& place = content.error();
  if (context.options.json) {
    const json out{{"readable", false},
                   {"file", path},
                   {"line", place.line},
                   {"byte", place.byte},
                   {"message", place.message}};
    context.out << out.dump() << '\n';
  } else {
    context.out << fmt::format("{}:{}: byte {}: {}; nothing was checked\n", path, place.line, place.byte,
                               place.message);
  }
  context.exit_code = exit_unreadable;
  return std::optional<json>{};
}

void write_text(command_context& context, const std::string& path, const configuration_findings& findings,
                const std::vector<configuration_difference>& differences) {
  for (const auto& it : findings) {
    context.out << fmt::format("{}: {} ({}): {}{}{}\n", path, name_of(it.severity), name_of(it.kind), it.path,
                               it.path.empty() ? "" : ": ", it.message);
  }
  for (const auto& it : differences) {
    context.out << fmt::format("{} {}\n", name_of(it.kind), it.entry);
    for (const auto& each : it.fields) {
      context.out << fmt::format("  {}: {} -> {}\n", each.field, each.before.empty() ? "none" : each.before,
                                 each.after.empty() ? "none" : each.after);
    }
  }
  if (findings.empty()) context.out << fmt::format("{}: valid configuration\n", path);
}

void write_json(command_context& context, const configuration_findings& findings,
                const std::vector<configuration_difference>& differences) {
  json out{{"readable", true},
           {"valid", exit_code_of(findings) != exit_errors},
           {"findings", json::array()},
           {"differences", json::array()}};
  for (const auto& it : findings) out["findings"].push_back(to_json(it));
  for (const auto& it : differences) out["differences"].push_back(to_json(it));
  context.out << out.dump() << '\n';
}

}  // namespace

command_result run_session_check(command_context& context) {
  const auto& path = context.operands[0];
  const auto content = read_document(context, path);
  if (!content) return tl::unexpected{content.error()};
  if (!*content) return {};
  std::optional<json> in_force;
  if (!context.options.against.empty()) {
    const auto other = read_document(context, context.options.against);
    if (!other) return tl::unexpected{other.error()};
    if (!*other) return {};
    in_force = **other;
  }
  auto findings = platform::check_configuration(**content);
  std::vector<configuration_difference> differences;
  if (in_force) {
    const auto version = platform::check_version(**content, *in_force);
    findings.insert(findings.end(), version.begin(), version.end());
    differences = platform::compare_configurations(**content, *in_force);
  }
  if (context.options.json) {
    write_json(context, findings, differences);
  } else {
    write_text(context, path, findings, differences);
  }
  context.exit_code = exit_code_of(findings);
  return {};
}

}  // namespace bulrushlift
