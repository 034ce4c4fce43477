#include "platform/configuration_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>

namespace bulrushlift::platform {
namespace {

using nlohmann::json;

enum class field_type : std::uint8_t { text, whole_number, number, flag, level, keys };

struct field_rule {
  const char* name;
  field_type type;
  bool is_required;
  /// Largest value of a whole number. Above it a daemon would cut the value off or overflow.
  std::uint64_t max = std::numeric_limits<std::uint32_t>::max();
};

constexpr std::uint64_t max_time_ms = 86'400'000;
constexpr std::uint64_t max_priority = std::numeric_limits<std::int32_t>::max();

constexpr field_rule route_rules[] = {{"name", field_type::text, true},
                                      {"host", field_type::text, true},
                                      {"service", field_type::text, true},
                                      {"kind", field_type::level, true},
                                      {"maxStalenessMs", field_type::whole_number, false, max_time_ms},
                                      {"timeoutMs", field_type::whole_number, true, max_time_ms},
                                      {"targetLatencyMs", field_type::whole_number, true, max_time_ms},
                                      {"priority", field_type::whole_number, false, max_priority},
                                      {"public", field_type::flag, false}};
constexpr field_rule service_rules[] = {{"name", field_type::text, true},
                                        {"connectionLimit", field_type::whole_number, true},
                                        {"syncReplicas", field_type::whole_number, false}};
constexpr field_rule tenant_rules[] = {{"name", field_type::text, true},
                                       {"ratePerS", field_type::number, true},
                                       {"burst", field_type::number, true},
                                       {"accessKeys", field_type::keys, true}};
constexpr field_rule limit_rules[] = {{"transactionIdleMs", field_type::whole_number, false, max_time_ms}};

const json* find(const json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

std::string text_of(const json& object, const char* name) {
  const auto* value = find(object, name);
  return value != nullptr && value->is_string() ? value->get<std::string>() : std::string{};
}

/// @return the number, or nothing if the field is absent or invalid.
std::optional<double> number_of(const json& object, const char* name) {
  const auto* value = find(object, name);
  if (value == nullptr || !value->is_number()) return std::nullopt;
  return value->get<double>();
}

const json& list_of(const json& content, const char* name) {
  static const json none = json::array();
  const auto* value = find(content, name);
  return value != nullptr && value->is_array() ? *value : none;
}

/// @return what the value should be, or null if it is valid.
const char* expectation(const json& value, const field_rule& rule) {
  switch (rule.type) {
    case field_type::text:
      return value.is_string() && !value.get_ref<const std::string&>().empty()
                 ? nullptr
                 : "must be a text that is not empty";
    case field_type::whole_number:
      if (!value.is_number_unsigned()) return "must be a whole number of 0 or more";
      return value.get<std::uint64_t>() <= rule.max ? nullptr : "is too large";
    case field_type::number:
      return value.is_number() && value.get<double>() >= 0 ? nullptr : "must be a number of 0 or more";
    case field_type::flag:
      return value.is_boolean() ? nullptr : "must be true or false";
    case field_type::level:
      return value == "primary" || value == "bounded" || value == "read_your_writes"
                 ? nullptr
                 : "must be primary, bounded or read_your_writes";
    case field_type::keys:
      break;
  }
  const auto is_text = [](const json& each) { return each.is_string(); };
  return value.is_array() && std::all_of(value.begin(), value.end(), is_text) ? nullptr
                                                                              : "must be a list of texts";
}

/// One run of the check.
class configuration_checker {
 public:
  explicit configuration_checker(const json& content) : content_(content) {}

  configuration_findings run() {
    if (!content_.is_object()) {
      add_error(finding_kind::field, "", "must be an object");
      return std::move(findings_);
    }
    if (const auto* version = find(content_, "version"); version == nullptr) {
      add_error(finding_kind::field, "version", "is missing");
    } else if (!version->is_number_unsigned()) {
      add_error(finding_kind::field, "version", "must be a whole number of 0 or more");
    }
    check_list("routes", route_rules);
    check_list("services", service_rules);
    check_list("tenants", tenant_rules);
    if (const auto* limits = find(content_, "limits")) check_fields("limits", *limits, limit_rules);
    check_routes();
    check_services();
    check_tenants();
    check_limits();
    return std::move(findings_);
  }

 private:
  void add_error(finding_kind kind, std::string path, std::string message) {
    findings_.push_back({finding_severity::error, kind, std::move(path), std::move(message)});
  }
  void add_warning(finding_kind kind, std::string path, std::string message) {
    findings_.push_back({finding_severity::warning, kind, std::move(path), std::move(message)});
  }

  void check_fields(const std::string& path, const json& object, std::span<const field_rule> rules) {
    if (!object.is_object()) return add_error(finding_kind::field, path, "must be an object");
    for (const auto& rule : rules) {
      const auto* value = find(object, rule.name);
      const auto field = fmt::format("{}.{}", path, rule.name);
      if (value == nullptr) {
        if (rule.is_required) add_error(finding_kind::field, field, "is missing");
      } else if (const auto* expected = expectation(*value, rule)) {
        add_error(finding_kind::field, field, expected);
      }
    }
  }

  void check_list(const char* name, std::span<const field_rule> rules) {
    const auto* value = find(content_, name);
    if (value == nullptr) return add_error(finding_kind::field, name, "is missing");
    if (!value->is_array()) return add_error(finding_kind::field, name, "must be a list");
    std::map<std::string, std::size_t> first;
    for (std::size_t i = 0; i < value->size(); ++i) {
      const auto path = fmt::format("{}[{}]", name, i);
      check_fields(path, (*value)[i], rules);
      const auto entry = text_of((*value)[i], "name");
      if (entry.empty()) continue;
      const auto [it, is_new] = first.emplace(entry, i);
      if (!is_new) {
        add_error(finding_kind::duplicate, path + ".name",
                  fmt::format("\"{}\" is also the name of {}[{}]", entry, name, it->second));
      }
    }
  }

  void check_routes() {
    const auto& routes = list_of(content_, "routes");
    std::set<std::string> services;
    for (const auto& each : list_of(content_, "services")) services.insert(text_of(each, "name"));
    std::map<std::string, std::size_t> last_of_host;
    for (std::size_t i = 0; i < routes.size(); ++i) last_of_host[text_of(routes[i], "host")] = i;
    for (std::size_t i = 0; i < routes.size(); ++i) {
      const auto path = fmt::format("routes[{}]", i);
      const auto service = text_of(routes[i], "service");
      if (!service.empty() && !services.contains(service)) {
        add_error(finding_kind::never_matches, path + ".service",
                  fmt::format("there is no service \"{}\", so no session of the route is served", service));
      }
      const auto host = text_of(routes[i], "host");
      if (!host.empty() && last_of_host.at(host) != i) {
        add_warning(finding_kind::never_matches, path + ".host",
                    fmt::format("routes[{}] has the same host \"{}\" and hides this route",
                                last_of_host.at(host), host));
      }
      if (host.find_first_of(" \t\r\n") != std::string::npos) {
        add_warning(finding_kind::never_matches, path + ".host", "no caller can name a host with a blank");
      }
      check_times(path, routes[i]);
    }
  }

  void check_times(const std::string& path, const json& route) {
    const auto timeout = number_of(route, "timeoutMs");
    const auto objective = number_of(route, "targetLatencyMs");
    if (timeout == 0) {
      add_error(finding_kind::contradiction, path + ".timeoutMs", "0 leaves no time for a statement");
    }
    if (objective == 0) {
      add_warning(finding_kind::contradiction, path + ".targetLatencyMs", "no operation can meet 0");
    }
    if (timeout && objective && *objective > *timeout) {
      add_warning(finding_kind::contradiction, path + ".targetLatencyMs",
                  fmt::format("{:.0f} is above timeoutMs {:.0f}: a single statement is ended before",
                              *objective, *timeout));
    }
    if (text_of(route, "kind") == "bounded" && number_of(route, "maxStalenessMs").value_or(0) == 0) {
      add_warning(finding_kind::contradiction, path + ".maxStalenessMs",
                  "0 on a bounded route leaves no replica that is fresh enough");
    }
  }

  void check_services() {
    const auto& services = list_of(content_, "services");
    std::set<std::string> used;
    for (const auto& each : list_of(content_, "routes")) used.insert(text_of(each, "service"));
    const auto customers = list_of(content_, "tenants").size();
    for (std::size_t i = 0; i < services.size(); ++i) {
      const auto path = fmt::format("services[{}]", i);
      const auto name = text_of(services[i], "name");
      if (!name.empty() && !used.contains(name)) {
        add_warning(finding_kind::never_matches, path + ".name",
                    fmt::format("no route leads to \"{}\"", name));
      }
      const auto limit = number_of(services[i], "connectionLimit");
      if (limit == 0) {
        add_error(finding_kind::contradiction, path + ".connectionLimit", "0 allows no connection");
      } else if (limit && *limit < static_cast<double>(customers)) {
        add_warning(finding_kind::contradiction, path + ".connectionLimit",
                    fmt::format("{:.0f} connections for {} tenants: a connection serves one tenant", *limit,
                                customers));
      }
    }
  }

  void check_tenants() {
    const auto& tenants = list_of(content_, "tenants");
    std::map<std::string, std::string> path_of_key;
    for (std::size_t i = 0; i < tenants.size(); ++i) {
      const auto path = fmt::format("tenants[{}]", i);
      const auto& keys = list_of(tenants[i], "accessKeys");
      if (const auto* value = find(tenants[i], "accessKeys"); value != nullptr && keys.empty()) {
        add_warning(finding_kind::never_matches, path + ".accessKeys",
                    "a tenant without keys can't be known");
      }
      for (std::size_t k = 0; k < keys.size(); ++k) check_key(keys[k], i, k, path_of_key);
      const auto rate = number_of(tenants[i], "ratePerS");
      if (rate == 0) {
        add_warning(finding_kind::never_matches, path + ".ratePerS",
                    "a tenant with rate 0 is refused always");
      } else if (rate && number_of(tenants[i], "burst") == 0) {
        add_warning(finding_kind::contradiction, path + ".burst",
                    fmt::format("0 with a rate of {} allows no two operations at once", *rate));
      }
    }
  }

  void check_key(const json& key, std::size_t tenant, std::size_t position,
                 std::map<std::string, std::string>& path_of_key) {
    if (!key.is_string()) return;
    const auto path = fmt::format("tenants[{}].accessKeys[{}]", tenant, position);
    const auto& text = key.get_ref<const std::string&>();
    if (text.empty()) {
      return add_warning(finding_kind::never_matches, path, "no caller can give an empty key");
    }
    const auto [it, is_new] = path_of_key.emplace(text, path);
    if (is_new) return;
    const auto message = fmt::format("is the same key as {}", it->second);
    if (it->second.starts_with(fmt::format("tenants[{}].", tenant))) {
      add_warning(finding_kind::duplicate, path, message);
    } else {
      add_error(finding_kind::duplicate, path, message);
    }
  }

  void check_limits() {
    const auto* limits = find(content_, "limits");
    if (limits != nullptr && number_of(*limits, "transactionIdleMs") == 0) {
      add_warning(finding_kind::contradiction, "limits.transactionIdleMs",
                  "0 has no effect; the default limit is used");
    }
  }

  const json& content_;
  configuration_findings findings_;
};

}  // namespace

std::string_view name_of(finding_severity value) noexcept {
  return value == finding_severity::error ? "error" : "warning";
}

std::string_view name_of(finding_kind value) noexcept {
  switch (value) {
    case finding_kind::field:
      return "field";
    case finding_kind::duplicate:
      return "duplicate";
    case finding_kind::never_matches:
      return "never_matches";
    case finding_kind::contradiction:
      return "contradiction";
    case finding_kind::version:
      break;
  }
  return "version";
}

configuration_findings check_configuration(const json& content) {
  return configuration_checker{content}.run();
}

configuration_findings check_version(const json& content, const json& in_force) {
  const auto* next = find(content, "version");
  const auto* current = find(in_force, "version");
  if (next == nullptr || !next->is_number_unsigned()) return {};  // A finding of `check_configuration`.
  if (current == nullptr || !current->is_number_unsigned()) {
    return {
        {finding_severity::error, finding_kind::version, "version", "the version in force has no number"}};
  }
  if (next->get<std::uint64_t>() > current->get<std::uint64_t>()) return {};
  return {{finding_severity::error, finding_kind::version, "version",
           fmt::format("{} is not above {}, which is in force", next->dump(), current->dump())}};
}

}  // namespace bulrushlift::platform
