#include "cli/request_story.h"

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

// What is shown around the lines of the request: a failover begins up to two seconds before
// the statements that it fails, and a VM of which another one hears may log a little later.
constexpr milliseconds shown_before{2'500};
constexpr milliseconds shown_after{1'000};

// Fields that tie a line to a service, a target or another VM.
constexpr const char* tie_fields[] = {"service", "target", "owner"};

// Events that concern every request at a VM.
const std::set<std::string, std::less<>> general_events{
    "store_lost",        "store_regained",   "configuration_in_force",
    "member_changed",    "drain_started",    "drained",
    "started",           "stopped",          "reload",
    "log_lines_limited", "log_lines_omitted"};

struct parsed_line {
  json fields;
  std::optional<milliseconds> time;
  std::string text;
};

/// @param text such as 2026-12-04T10:21:17.150Z
std::optional<milliseconds> parse_time(const std::string& text) {
  std::tm parts{};
  std::istringstream in{text};
  char dot = 0;
  int millis = 0;
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> millis;
  if (in.fail() || dot != '.') return std::nullopt;
  return std::chrono::seconds{::timegm(&parts)} + milliseconds{millis};
}

std::string text_of(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

std::vector<parsed_line> parse(const std::vector<std::string>& lines) {
  std::vector<parsed_line> parsed;
  for (const auto& each : lines) {
    // Collectors may put a prefix before the object.
    const auto start = each.find('{');
    if (start == std::string::npos) continue;
    auto fields = json::parse(each.substr(start), nullptr, false);
    if (!fields.is_object()) continue;
    const auto time = parse_time(text_of(fields, "time"));
    parsed.push_back({std::move(fields), time, each.substr(start)});
  }
  return parsed;
}

std::set<std::string> ties_of(const json& fields) {
  std::set<std::string> ties;
  for (const auto* name : tie_fields) {
    auto value = text_of(fields, name);
    if (!value.empty()) ties.insert(std::move(value));
  }
  return ties;
}

story_line tell(const parsed_line& line, bool is_of_request) {
  story_line told;
  told.time = text_of(line.fields, "time");
  told.vm = text_of(line.fields, "vm");
  told.event = text_of(line.fields, "event");
  told.json = line.text;
  told.is_of_request = is_of_request;
  for (const auto& [name, value] : line.fields.items()) {
    if (name == "time" || name == "vm" || name == "event" || name == "level") continue;
    if (!told.details.empty()) told.details += ' ';
    told.details += fmt::format("{}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return told;
}

}  // namespace

result<std::vector<story_line>> tell_request(const std::string& request_id,
                                             const std::vector<std::string>& lines) {
  const auto parsed = parse(lines);
  std::set<std::string> ties;
  milliseconds first = milliseconds::max();
  milliseconds last = milliseconds::min();
  for (const auto& each : parsed) {
    if (text_of(each.fields, "request_id") != request_id || !each.time) continue;
    ties.merge(ties_of(each.fields));
    first = std::min(first, *each.time);
    last = std::max(last, *each.time);
  }
  if (first > last) {
    return make_error(error_kind::not_found, fmt::format("no log line names the request {}", request_id));
  }
  std::vector<story_line> story;
  for (const auto& each : parsed) {
    const auto id = text_of(each.fields, "request_id");
    const bool is_of_request = id == request_id;
    const bool is_near = each.time && *each.time >= first - shown_before && *each.time <= last + shown_after;
    const auto own = ties_of(each.fields);
    const bool is_tied =
        std::any_of(own.begin(), own.end(), [&](const std::string& name) { return ties.contains(name); }) ||
        general_events.contains(text_of(each.fields, "event"));
    // Lines of other requests are left out.
    if (is_of_request || (id.empty() && is_near && is_tied)) story.push_back(tell(each, is_of_request));
  }
  std::stable_sort(story.begin(), story.end(),
                   [](const story_line& a, const story_line& b) { return a.time < b.time; });
  return story;
}

}  // namespace bulrushlift
