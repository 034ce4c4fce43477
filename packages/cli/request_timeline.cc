#include "cli/request_timeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

namespace bulrushlift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The timeline covers this time before and after the request's own lines. A failover begins up to two seconds
// before the statements that it fails, and a VM that learns of an
// event from another VM logs it a little later.
constexpr milliseconds window_before{2'500};
constexpr milliseconds window_after{1'000};

// Fields whose values relate a line to a service, a target or another VM.
constexpr const char* relation_fields[] = {"service", "target", "owner"};

// Events that affect every request, so that they are shown whichever service a request uses.
const std::set<std::string, std::less<>> vm_wide_events{
    "store_lost",        "store_regained",   "configuration_in_force",
    "member_changed",    "drain_started",    "drained",
    "started",           "stopped",          "reload",
    "log_lines_limited", "log_lines_omitted"};

/// A log line that holds a JSON object.
struct parsed_line {
  json fields;
  std::optional<milliseconds> time;
  std::string text;
};

/// @param text a time in UTC with milliseconds, such as 2026-12-04T10:21:17.150Z.
/// @return the time since the Unix epoch, or nothing if the text is malformed.
std::optional<milliseconds> parse_time(const std::string& text) {
  std::tm parts{};
  std::istringstream in{text};
  char dot = 0;
  int millis = 0;
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> millis;
  if (in.fail() || dot != '.') return std::nullopt;
  return std::chrono::seconds{::timegm(&parts)} + milliseconds{millis};
}

/// @return the text of a field; empty if the field is absent or not a string.
std::string text_of(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

/// @return the lines that hold a JSON object; the others are skipped.
std::vector<parsed_line> parse(const std::vector<std::string>& lines) {
  std::vector<parsed_line> parsed;
  for (const auto& each : lines) {
    // Log collectors may put a prefix before the JSON object.
    const auto start = each.find('{');
    if (start == std::string::npos) continue;
    auto fields = json::parse(each.substr(start), nullptr, false);
    if (!fields.is_object()) continue;
    const auto time = parse_time(text_of(fields, "time"));
    parsed.push_back({std::move(fields), time, each.substr(start)});
  }
  return parsed;
}

/// @return the names of the service, target and owner in a line.
std::set<std::string> relation_values(const json& fields) {
  std::set<std::string> related_names;
  for (const auto* name : relation_fields) {
    auto value = text_of(fields, name);
    if (!value.empty()) related_names.insert(std::move(value));
  }
  return related_names;
}

/// Formats a log line as an entry of the timeline.
timeline_entry make_entry(const parsed_line& line, bool names_request) {
  timeline_entry entry;
  entry.time = text_of(line.fields, "time");
  entry.vm = text_of(line.fields, "vm");
  entry.event = text_of(line.fields, "event");
  entry.json = line.text;
  entry.names_request = names_request;
  for (const auto& [name, value] : line.fields.items()) {
    if (name == "time" || name == "vm" || name == "event" || name == "level") continue;
    if (!entry.details.empty()) entry.details += ' ';
    entry.details += fmt::format("{}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return entry;
}

}  // namespace

result<std::vector<timeline_entry>> build_request_timeline(const std::string& request_id,
                                                           const std::vector<std::string>& lines) {
  const auto parsed = parse(lines);
  std::set<std::string> related_names;
  milliseconds first = milliseconds::max();
  milliseconds last = milliseconds::min();
  for (const auto& each : parsed) {
    if (text_of(each.fields, "request_id") != request_id || !each.time) continue;
    related_names.merge(relation_values(each.fields));
    first = std::min(first, *each.time);
    last = std::max(last, *each.time);
  }
  if (first > last) {
    return make_error(error_kind::not_found, fmt::format("no log line has the request id {}", request_id));
  }
  std::vector<timeline_entry> timeline;
  for (const auto& each : parsed) {
    const auto id = text_of(each.fields, "request_id");
    const bool names_request = id == request_id;
    const bool is_in_window =
        each.time && *each.time >= first - window_before && *each.time <= last + window_after;
    const auto line_values = relation_values(each.fields);
    const bool is_related =
        std::any_of(line_values.begin(), line_values.end(),
                    [&](const std::string& name) { return related_names.contains(name); }) ||
        vm_wide_events.contains(text_of(each.fields, "event"));
    // Lines with the id of another request are left out.
    if (names_request || (id.empty() && is_in_window && is_related))
      timeline.push_back(make_entry(each, names_request));
  }
  std::stable_sort(timeline.begin(), timeline.end(),
                   [](const timeline_entry& a, const timeline_entry& b) { return a.time < b.time; });
  return timeline;
}

}  // namespace bulrushlift
