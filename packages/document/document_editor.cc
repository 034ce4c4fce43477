#include "document/document_editor.h"

#include <fmt/format.h>

#include <algorithm>

#include "document/json_tree.h"
#include "document/values.h"

namespace bulrushlift {
namespace {

using internal::json_node;

std::string quoted(std::string_view name) { return fmt::format("\"{}\"", name); }

result<json_node> read_tree(std::string_view text) {
  findings found;
  auto tree = internal::parse_json(text, found);
  if (!tree || !found.empty()) return make_error(error_kind::invalid_document, format_findings(found));
  return *std::move(tree);
}

/// @return the item of a list of objects whose field has the value.
const json_node* find_item(const json_node* list, std::string_view field, std::string_view value) {
  if (list == nullptr) return nullptr;
  const auto has_value = [&](const json_node& it) {
    const auto* found = it.find(field);
    return found != nullptr && found->text == value;
  };
  const auto it = std::find_if(list->items.begin(), list->items.end(), has_value);
  return it == list->items.end() ? nullptr : &*it;
}

const json_node* find_customer(const json_node& tree, const customer_id& name) {
  return find_item(tree.find("customers"), "name", name.str());
}

const json_node* find_key(const json_node& tree, const key_id& id) {
  const auto* customers = tree.find("customers");
  if (customers == nullptr) return nullptr;
  for (const auto& it : customers->items) {
    if (const auto* key = find_item(it.find("keys"), "id", id.str())) return key;
  }
  return nullptr;
}

void replace(std::string& text, const json_node& node, std::string_view value) {
  text.replace(node.begin, node.end - node.begin, value);
}

/// @return the white space before the first character of the line that contains `at`.
std::string indentation(std::string_view text, std::size_t at) {
  const auto line = at == 0 ? 0 : text.rfind('\n', at - 1) + 1;  // npos + 1 is 0: the first line
  const auto end = text.find_first_not_of(" \t", line);
  return std::string{text.substr(line, end - line)};
}

/// Adds a value or a member after the last one, on a line of its own if the last one stands on another
/// line than the bracket.
void append(std::string& text, const json_node& container, const std::string& added) {
  if (container.items.empty()) {
    text.insert(container.begin + 1, added);
    return;
  }
  const auto& last = container.items.back();
  const auto between = std::string_view{text}.substr(container.begin, last.begin - container.begin);
  const bool own_line = between.find('\n') != std::string_view::npos;
  text.insert(last.end, own_line ? ",\n" + indentation(text, last.begin) + added : ", " + added);
}

tl::unexpected<error> no_such(const char* what, const std::string& name) {
  return make_error(error_kind::not_found, fmt::format("there is no {} \"{}\"", what, name));
}

tl::unexpected<error> taken(const char* what, const std::string& name) {
  return make_error(error_kind::conflict, fmt::format("there is a {} \"{}\" already", what, name));
}

std::string customer_text(const customer& it) {
  return fmt::format(R"({{"name": {}, "rate_per_second": {}, "burst": {}, "weight": {}, "keys": []}})",
                     quoted(it.name.str()), internal::show_number(it.rate_per_second),
                     internal::show_number(it.burst), internal::show_number(it.weight));
}

/// Sets a number field of an object, which is added if it is missing.
result<void> set_number(std::string& text, const customer_id& owner, const char* field, double value) {
  const auto tree = read_tree(text);
  if (!tree) return tl::unexpected{tree.error()};
  const auto* found = find_customer(*tree, owner);
  if (found == nullptr) return no_such("customer", owner.str());
  const auto number = internal::show_number(value);
  if (const auto* node = found->find(field)) {
    replace(text, *node, number);
  } else {
    append(text, *found, fmt::format("\"{}\": {}", field, number));
  }
  return {};
}

result<void> add_to_route(std::string& text, const route_id& name, const customer_id& who) {
  const auto tree = read_tree(text);
  if (!tree) return tl::unexpected{tree.error()};
  const auto* found = find_item(tree->find("routes"), "name", name.str());
  if (found == nullptr) return no_such("route", name.str());
  if (const auto* customers = found->find("customers")) {
    append(text, *customers, quoted(who.str()));
  } else {
    append(text, *found, fmt::format("\"customers\": [{}]", quoted(who.str())));
  }
  return {};
}

}  // namespace

result<void> document_editor::add_customer(const customer& added, const std::vector<route_id>& routes) {
  auto text = text_;
  const auto tree = read_tree(text);
  if (!tree) return tl::unexpected{tree.error()};
  if (find_customer(*tree, added.name) != nullptr) return taken("customer", added.name.str());
  const auto* customers = tree->find("customers");
  if (customers == nullptr) return make_error(error_kind::invalid_document, "there are no customers");
  append(text, *customers, customer_text(added));
  for (const auto& it : routes) {
    if (auto done = add_to_route(text, it, added.name); !done) return done;
  }
  text_ = std::move(text);
  return {};
}

result<void> document_editor::set_rate(const customer_id& name, double rate_per_second,
                                       std::optional<double> burst, std::optional<double> weight) {
  auto text = text_;
  auto done = set_number(text, name, "rate_per_second", rate_per_second);
  if (done && burst) done = set_number(text, name, "burst", *burst);
  if (done && weight) done = set_number(text, name, "weight", *weight);
  if (done) text_ = std::move(text);
  return done;
}

result<void> document_editor::add_key(const customer_id& owner, const customer_key& key) {
  const auto tree = read_tree(text_);
  if (!tree) return tl::unexpected{tree.error()};
  const auto* found = find_customer(*tree, owner);
  if (found == nullptr) return no_such("customer", owner.str());
  if (find_key(*tree, key.id) != nullptr) return taken("key", key.id.str());
  const auto added = fmt::format(R"({{"id": {}, "digest": "{}", "state": "active"}})", quoted(key.id.str()),
                                 to_hex(as_bytes(key.digest)));
  if (const auto* keys = found->find("keys")) {
    append(text_, *keys, added);
  } else {
    append(text_, *found, fmt::format("\"keys\": [{}]", added));
  }
  return {};
}

result<void> document_editor::revoke_key(const key_id& id) {
  const auto tree = read_tree(text_);
  if (!tree) return tl::unexpected{tree.error()};
  const auto* key = find_key(*tree, id);
  if (key == nullptr) return no_such("key", id.str());
  if (const auto* state = key->find("state")) {
    replace(text_, *state, quoted("revoked"));
  } else {
    append(text_, *key, R"("state": "revoked")");
  }
  return {};
}

}  // namespace bulrushlift
