#include "document/schema.h"

#include <fmt/format.h>

#include <algorithm>

namespace bulrushlift {

std::string format_findings(const findings& found) {
  std::string text;
  for (const auto& it : found) {
    if (!text.empty()) text.push_back('\n');
    text += it.path.empty() ? fmt::format("line {}: {}", it.line, it.message)
                            : fmt::format("line {}: {}: {}", it.line, it.path, it.message);
  }
  return text;
}

namespace internal {
namespace {

/// @return the path of the value around `path`; empty for the whole text.
std::string parent_path(const std::string& path) {
  const auto end = path.find_last_of(".[");
  return end == std::string::npos ? std::string{} : path.substr(0, end);
}

}  // namespace

void check_context::add(std::size_t line, std::string path, std::string message) {
  paths_.insert(path);
  found_.push_back({line, std::move(path), std::move(message)});
}

void check_context::add_at(const std::string& path, std::string message) {
  if (paths_.contains(path)) return;
  auto known = path;
  while (!known.empty() && !lines_.contains(known)) known = parent_path(known);
  const auto it = lines_.find(known);
  add(it == lines_.end() ? 1 : it->second, path, std::move(message));
}

findings check_context::take() {
  std::stable_sort(found_.begin(), found_.end(),
                   [](const finding& left, const finding& right) { return left.line < right.line; });
  return std::move(found_);
}

bool require_type(const json_node& node, json_type type, std::string_view expected, const std::string& path,
                  check_context& context) {
  if (node.type == type) return true;
  context.add(node.line, path, fmt::format("must be {}, is {}", expected, name_of(node.type)));
  return false;
}

std::string member_path(const std::string& path, std::string_view name) {
  return path.empty() ? std::string{name} : fmt::format("{}.{}", path, name);
}

std::string item_path(const std::string& path, std::size_t index) {
  return fmt::format("{}[{}]", path, index);
}

void check_unknown_fields(const json_node& node, const object_description& description,
                          const std::string& path, check_context& context) {
  for (std::size_t i = 0; i < node.names.size(); ++i) {
    const auto& name = node.names[i];
    const auto& fields = description.fields;
    const auto has_name = [&name](const field_description& it) { return it.name == name; };
    if (std::any_of(fields.begin(), fields.end(), has_name)) continue;
    const auto is_near = [&name](const field_description& it) {
      return it.name.starts_with(name) || name.starts_with(it.name);
    };
    const auto near = std::find_if(fields.begin(), fields.end(), is_near);
    const auto hint =
        near == fields.end() ? std::string{} : fmt::format("; the nearest field is {}", near->name);
    context.add(node.items[i].line, member_path(path, name), "unknown field" + hint);
  }
}

}  // namespace internal
}  // namespace bulrushlift
