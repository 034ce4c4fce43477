#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "platform/configuration_check.h"

// The part of the check that reads a text and compares two configurations.

namespace bulrushlift::platform {
namespace {

using nlohmann::json;

constexpr const char* entry_lists[] = {"routes", "services", "tenants"};

std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

/// @return the entries by name; of two with the same name the last, which is the one in effect.
std::map<std::string, const json*> entries_of(const json& content, const char* list) {
  std::map<std::string, const json*> entries;
  const auto it = content.is_object() ? content.find(list) : content.end();
  if (!content.is_object() || it == content.end() || !it->is_array()) return entries;
  for (const auto& each : *it) {
    if (!each.is_object() || !each.contains("name") || !each["name"].is_string()) continue;
    entries[each["name"].get<std::string>()] = &each;
  }
  return entries;
}

std::set<std::string> keys_of(const json& value) {
  std::set<std::string> keys;
  if (!value.is_array()) return keys;
  for (const auto& each : value) {
    if (each.is_string()) keys.insert(each.get<std::string>());
  }
  return keys;
}

/// Tells how many keys stay, come and go, never which.
field_difference compare_keys(const std::string& field, const json& before, const json& after) {
  const auto old_keys = keys_of(before);
  const auto new_keys = keys_of(after);
  const auto kept = std::count_if(old_keys.begin(), old_keys.end(),
                                  [&](const std::string& each) { return new_keys.contains(each); });
  return {field, fmt::format("{} keys", old_keys.size()),
          fmt::format("{} keys, {} of them new", new_keys.size(),
                      new_keys.size() - static_cast<std::size_t>(kept))};
}

std::vector<field_difference> compare_fields(const json& before, const json& after) {
  std::set<std::string> names;
  for (const auto* each : {&before, &after}) {
    if (!each->is_object()) continue;
    for (const auto& [name, value] : each->items()) names.insert(name);
  }
  std::vector<field_difference> fields;
  for (const auto& name : names) {
    const auto old_value = before.is_object() ? before.value(name, json{}) : json{};
    const auto new_value = after.is_object() ? after.value(name, json{}) : json{};
    if (old_value == new_value) continue;
    if (name == "accessKeys") {
      fields.push_back(compare_keys(name, old_value, new_value));
    } else {
      fields.push_back(
          {name, old_value.is_null() ? "" : dump(old_value), new_value.is_null() ? "" : dump(new_value)});
    }
  }
  return fields;
}

void compare_list(const json& content, const json& in_force, const char* list,
                  std::vector<configuration_difference>& out) {
  const auto before = entries_of(in_force, list);
  const auto after = entries_of(content, list);
  for (const auto& [name, entry] : after) {
    const auto path = fmt::format("{}/{}", list, name);
    const auto old_entry = before.find(name);
    if (old_entry == before.end()) {
      out.push_back({difference_kind::added, path, {}});
    } else if (auto fields = compare_fields(*old_entry->second, *entry); !fields.empty()) {
      out.push_back({difference_kind::changed, path, std::move(fields)});
    }
  }
  for (const auto& [name, entry] : before) {
    if (!after.contains(name)) {
      out.push_back({difference_kind::removed, fmt::format("{}/{}", list, name), {}});
    }
  }
}

std::size_t line_of(std::string_view text, std::size_t byte) {
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
  return static_cast<std::size_t>(std::count(text.begin(), end, '\n')) + 1;
}

}  // namespace

tl::expected<json, text_place> read_configuration(std::string_view text) {
  json content;
  try {
    content = json::parse(text.begin(), text.end());
  } catch (const json::parse_error& failure) {
    // The parser counts bytes from 1.
    const auto byte = std::min(failure.byte == 0 ? 0 : failure.byte - 1, text.size());
    const bool is_cut_off = byte >= text.size();
    return tl::unexpected<text_place>(
        text_place{line_of(text, byte), byte,
                   is_cut_off ? "the text ends before the document does" : "this is no JSON"});
  } catch (const json::exception& failure) {
    // For example a number that is out of range; the parser gives no place for it.
    return tl::unexpected<text_place>(text_place{1, 0, failure.what()});
  }
  if (!content.is_object())
    return tl::unexpected<text_place>(text_place{1, 0, "the document is no JSON object"});
  if (content.contains("meta") && content.contains("spec")) {
    json spec = std::move(content["spec"]);
    return spec;
  }
  return content;
}

std::string_view name_of(difference_kind value) noexcept {
  switch (value) {
    case difference_kind::added:
      return "added";
    case difference_kind::removed:
      return "removed";
    case difference_kind::changed:
      break;
  }
  return "changed";
}

std::vector<configuration_difference> compare_configurations(const json& content, const json& in_force) {
  std::vector<configuration_difference> out;
  for (const auto* list : entry_lists) compare_list(content, in_force, list, out);
  auto rest_before = in_force.is_object() ? in_force : json::object();
  auto rest_after = content.is_object() ? content : json::object();
  for (const auto* list : entry_lists) {
    rest_before.erase(list);
    rest_after.erase(list);
  }
  for (auto& field : compare_fields(rest_before, rest_after)) {
    const auto kind = field.before.empty()  ? difference_kind::added
                      : field.after.empty() ? difference_kind::removed
                                            : difference_kind::changed;
    auto entry = field.field;
    out.push_back({kind, std::move(entry), {std::move(field)}});
  }
  return out;
}

}  // namespace bulrushlift::platform
