#include "entry/entry_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bulrushlift::entry {
namespace {

using nlohmann::json;

tl::unexpected<error> invalid_field(std::string_view field, std::string_view what) {
  return make_error(error_kind::invalid_settings, fmt::format("{}: {}", field, what));
}

result<std::string> string_field(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) return invalid_field(name, "is missing");
  if (!it->is_string() || it->get_ref<const std::string&>().empty())
    return invalid_field(name, "is not a non-empty string");
  return it->get<std::string>();
}

result<net_address> address_field(const json& object, const char* name) {
  const auto text = string_field(object, name);
  if (!text) return tl::unexpected<error>(text.error());
  const auto address = parse_address(*text);
  if (!address) return invalid_field(name, address.error().message);
  return *address;
}

/// Assigns the value of a field to `out`. @return the error if there is no valid value.
template <class T, class U>
std::optional<error> assign(const result<T>& value, U& out) {
  if (!value) return value.error();
  out = U{*value};
  return std::nullopt;
}

/// Reads an optional number of units of time; `out` stays as it is if the field is missing.
/// @tparam Unit duration type whose period is the unit of the field.
/// @return the error if the field is not a positive number.
template <class Unit>
std::optional<error> read_duration(const json& object, const char* name, duration& out) {
  const auto it = object.find(name);
  if (it == object.end()) return std::nullopt;
  if (!it->is_number() || it->get<double>() <= 0)
    return invalid_field(name, "is not a positive number").value();
  using fraction = std::chrono::duration<double, typename Unit::period>;
  out = std::chrono::duration_cast<duration>(fraction{it->get<double>()});
  return std::nullopt;
}

/// Reads an optional number; `out` stays as it is if the field is missing.
/// @return the error if the field is not a number of at least zero.
std::optional<error> read_number(const json& object, const char* name, double& out) {
  const auto it = object.find(name);
  if (it == object.end()) return std::nullopt;
  if (!it->is_number() || it->get<double>() < 0)
    return invalid_field(name, "is not a number of at least 0").value();
  out = it->get<double>();
  return std::nullopt;
}

constexpr double bytes_per_megabyte = 1024.0 * 1024.0;
// Larger values count as these.
constexpr double max_memory_mb = 1e9;
constexpr double max_descriptors = 1e9;

/// Reads the optional block that says what the VM has.
std::optional<error> read_capacity(const json& document, vm_capacity& out) {
  const auto it = document.find("capacity");
  if (it == document.end()) return std::nullopt;
  if (!it->is_object()) return invalid_field("capacity", "is not an object").value();
  double core_share = 0;
  double cores = 1;
  double memory_mb = 0;
  double descriptors = 0;
  const std::pair<const char*, double*> fields[] = {{"core_share", &core_share},
                                                    {"cores", &cores},
                                                    {"memory_mb", &memory_mb},
                                                    {"descriptors", &descriptors},
                                                    {"link_mbps", &out.link_mbps}};
  for (const auto& [name, value] : fields) {
    if (auto failure = read_number(*it, name, *value)) return failure;
  }
  out.cores = core_share * cores;
  out.memory_bytes = static_cast<std::uint64_t>(std::min(memory_mb, max_memory_mb) * bytes_per_megabyte);
  out.descriptors = static_cast<std::uint64_t>(std::min(descriptors, max_descriptors));
  return std::nullopt;
}

/// Reads the optional block that says what a crossing between data centres costs.
std::optional<error> read_crossing(const json& document, std::optional<sql::overflow_settings>& out) {
  const auto it = document.find("crossing");
  if (it == document.end()) return std::nullopt;
  if (!it->is_object()) return invalid_field("crossing", "is not an object").value();
  using std::chrono::milliseconds;
  sql::overflow_settings read;
  const std::pair<const char*, duration*> durations[] = {{"cost_ms", &read.crossing_cost},
                                                         {"delay_ms", &read.crossing_delay},
                                                         {"max_remote_wait_ms", &read.max_remote_wait}};
  for (const auto& [name, value] : durations) {
    if (auto failure = read_duration<milliseconds>(*it, name, *value)) return failure;
  }
  if (auto failure = read_number(*it, "primary_weight", read.primary_weight)) return failure;
  if (const auto checked = sql::validate(read); !checked) return checked.error();
  out = read;
  return std::nullopt;
}

/// Reads the optional block with time limits for callers that pause.
std::optional<error> read_caller_times(const json& document, caller_time_limits& out) {
  const auto it = document.find("caller_limits");
  if (it == document.end()) return std::nullopt;
  if (!it->is_object()) return invalid_field("caller_limits", "is not an object").value();
  const std::pair<const char*, duration*> fields[] = {{"first_message_seconds", &out.first_message},
                                                      {"message_pause_seconds", &out.message_pause},
                                                      {"answer_pause_seconds", &out.answer_pause},
                                                      {"memory_wait_seconds", &out.reservation_wait}};
  for (const auto& [name, value] : fields) {
    if (auto failure = read_duration<std::chrono::seconds>(*it, name, *value)) return failure;
  }
  return std::nullopt;
}

}  // namespace

result<entry_settings> parse_entry_settings(std::string_view text) {
  const auto document = json::parse(text, nullptr, false, true);
  if (!document.is_object()) return invalid_field("settings", "is not a JSON object");
  entry_settings out;
  std::optional<error> failure;
  const auto check = [&](std::optional<error> outcome) {
    if (!failure) failure = std::move(outcome);
  };
  check(assign(string_field(document, "vm"), out.vm));
  check(assign(string_field(document, "data_centre"), out.data_centre));
  check(assign(address_field(document, "caller_listen"), out.caller_listen));
  check(assign(address_field(document, "readiness_listen"), out.readiness_listen));
  check(assign(address_field(document, "peer_listen"), out.peer_listen));
  check(assign(address_field(document, "metrics_listen"), out.metrics_listen));
  check(assign(address_field(document, "store"), out.store));
  check(assign(address_field(document, "promotions"), out.promotions));
  if (failure) return tl::unexpected<error>(std::move(*failure));
  check(read_duration<std::chrono::seconds>(document, "drain_seconds", out.drain_time));
  check(read_duration<std::chrono::seconds>(document, "rate_window_seconds", out.rate_window));
  check(read_number(document, "rate_overage", out.rate_overage));
  check(read_number(document, "rate_slack", out.rate_slack));
  check(
      read_duration<std::chrono::milliseconds>(document, "configuration_bound_ms", out.configuration_bound));
  check(read_duration<std::chrono::milliseconds>(document, "evacuation_bound_ms", out.evacuation_bound));
  check(read_duration<std::chrono::milliseconds>(document, "target_drain_ms", out.target_drain_bound));
  check(read_duration<std::chrono::milliseconds>(document, "target_report_interval_ms",
                                                 out.target_report_interval));
  check(read_number(document, "cold_statements_per_second", out.cold.per_second));
  check(read_number(document, "cold_overage", out.cold.overage));
  check(read_number(document, "cold_slack", out.cold.slack));
  check(read_capacity(document, out.capacity));
  check(read_crossing(document, out.crossing));
  check(read_caller_times(document, out.caller_times));
  if (failure) return tl::unexpected<error>(std::move(*failure));
  if (const auto it = document.find("log_level"); it != document.end()) {
    const bool is_known = it->is_string() && parse_log_level(it->get<std::string>(), out.level);
    if (!is_known) return invalid_field("log_level", "is not one of debug, info, warning, error");
  }
  if (const auto it = document.find("is_first_start"); it != document.end()) {
    if (!it->is_boolean()) return invalid_field("is_first_start", "is not true or false");
    out.is_first_start = it->get<bool>();
  }
  if (const auto it = document.find("log_lines_per_second"); it != document.end()) {
    if (!it->is_number_unsigned())
      return invalid_field("log_lines_per_second", "is not a non-negative integer");
    out.log_lines_per_second = it->get<std::uint32_t>();
  }
  return out;
}

}  // namespace bulrushlift::entry
