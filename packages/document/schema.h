#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "document/finding.h"
#include "document/json_tree.h"

/// @file
/// One table for each kind of object drives its parsing, its check and its
/// part of the reference page.
///
///     object_schema<target> schema{"target", "One member of a database group."};
///     schema.required("slots", &target::slots, count_value(1, 1'000), "Statements that run at once.");

namespace bulrushlift::internal {

struct object_description;

/// One row of the reference page.
struct field_description {
  std::string name;
  std::string type;          ///< For example "list of texts".
  std::string rule;          ///< What is valid beyond the type; may be empty.
  std::string default_text;  ///< Empty if the field is required.
  std::string text;
  std::shared_ptr<const object_description> nested;  ///< Set if the value consists of objects.
};

struct object_description {
  std::string name;
  std::string text;
  std::vector<field_description> fields;
};

/// Findings of one check and the line of every value that was read.
class check_context {
 public:
  void note(const std::string& path, std::size_t line) { lines_.insert_or_assign(path, line); }
  void add(std::size_t line, std::string path, std::string message);
  /// Adds a finding at the line of `path`, or of the nearest value around it. Does nothing if `path` has a
  /// finding: its value was invalid, so nothing follows from it.
  void add_at(const std::string& path, std::string message);
  /// @return the findings in the order of their lines.
  [[nodiscard]] findings take();

 private:
  findings found_;
  std::unordered_set<std::string> paths_;  ///< Those of `found_`.
  std::unordered_map<std::string, std::size_t> lines_;
};

/// Reads values of one type and describes what is valid.
template <class T>
struct value_reader {
  std::string type;
  std::string rule;
  std::function<void(T&, const json_node&, const std::string& path, check_context&)> read;
  /// Writes a default value for the reference page.
  std::function<std::string(const T&)> show;
  std::shared_ptr<const object_description> nested = nullptr;
};

/// @return whether the node has the type; otherwise adds a finding.
bool require_type(const json_node& node, json_type type, std::string_view expected, const std::string& path,
                  check_context& context);

/// @return the path of a member or an item.
[[nodiscard]] std::string member_path(const std::string& path, std::string_view name);
[[nodiscard]] std::string item_path(const std::string& path, std::size_t index);

/// Adds a finding for each member that the description lacks.
void check_unknown_fields(const json_node& node, const object_description& description,
                          const std::string& path, check_context& context);

/// The table of one kind of object.
template <class T>
class object_schema {
 public:
  object_schema(std::string name, std::string text) {
    description_->name = std::move(name);
    description_->text = std::move(text);
  }

  template <class Member>
  object_schema& required(std::string name, Member T::*member, value_reader<Member> reader,
                          std::string text) {
    return add(std::move(name), member, std::move(reader), std::move(text), true);
  }

  /// The default is the value that a default-constructed object has.
  template <class Member>
  object_schema& optional(std::string name, Member T::*member, value_reader<Member> reader,
                          std::string text) {
    return add(std::move(name), member, std::move(reader), std::move(text), false);
  }

  /// Reads all valid fields and adds a finding for each other one.
  void read(T& object, const json_node& node, const std::string& path, check_context& context) const {
    context.note(path, node.line);
    if (!require_type(node, json_type::object, "an object", path, context)) return;
    check_unknown_fields(node, *description_, path, context);
    for (const auto& field : fields_) field(object, node, path, context);
  }

  [[nodiscard]] std::shared_ptr<const object_description> description() const { return description_; }

 private:
  template <class Member>
  object_schema& add(std::string name, Member T::*member, value_reader<Member> reader, std::string text,
                     bool is_required) {
    auto default_text = is_required ? std::string{} : reader.show(T{}.*member);
    description_->fields.push_back(
        {name, reader.type, reader.rule, std::move(default_text), std::move(text), reader.nested});
    fields_.push_back([name = std::move(name), member, read = std::move(reader.read), is_required](
                          T& object, const json_node& node, const std::string& path, check_context& context) {
      const auto* value = node.find(name);
      const auto field_path = member_path(path, name);
      if (value != nullptr) {
        context.note(field_path, value->line);
        read(object.*member, *value, field_path, context);
      } else if (is_required) {
        context.add(node.line, field_path, "the field is missing");
      }
    });
    return *this;
  }

  using field_function = std::function<void(T&, const json_node&, const std::string&, check_context&)>;

  std::shared_ptr<object_description> description_ = std::make_shared<object_description>();
  std::vector<field_function> fields_;
};

/// @return a reader of one object.
template <class T>
value_reader<T> object_value(object_schema<T> schema) {
  const auto description = schema.description();
  auto read = [schema = std::move(schema)](T& out, const json_node& node, const std::string& path,
                                           check_context& context) { schema.read(out, node, path, context); };
  return {"object", "", std::move(read), [](const T&) { return std::string{"all defaults"}; }, description};
}

/// @return a reader of a list with at least `least` items.
template <class T>
value_reader<std::vector<T>> list_value(value_reader<T> item, std::size_t least = 0) {
  auto rule = item.rule;
  if (least > 0) rule = "at least " + std::to_string(least) + (rule.empty() ? "" : "; each: " + rule);
  auto read = [item_read = item.read, least](std::vector<T>& out, const json_node& node,
                                             const std::string& path, check_context& context) {
    if (!require_type(node, json_type::list, "a list", path, context)) return;
    if (node.items.size() < least) {
      context.add(
          node.line, path,
          "has " + std::to_string(node.items.size()) + " items, needs at least " + std::to_string(least));
    }
    out.clear();
    for (std::size_t i = 0; i < node.items.size(); ++i) {
      const auto at = item_path(path, i);
      context.note(at, node.items[i].line);
      item_read(out.emplace_back(), node.items[i], at, context);
    }
  };
  return {"list of: " + item.type, std::move(rule), std::move(read),
          [](const std::vector<T>&) { return std::string{"[]"}; }, item.nested};
}

}  // namespace bulrushlift::internal
