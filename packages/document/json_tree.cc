#include "document/json_tree.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace bulrushlift::internal {
namespace {

using nlohmann::json;

/// How far the parser has read.
struct text_position {
  std::size_t offset = 0;
  std::size_t line = 1;
};

/// Reads characters and notes the position after them.
class position_iterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  position_iterator(const char* at, text_position* position) : at_(at), position_(position) {}

  reference operator*() const { return *at_; }
  position_iterator& operator++() {
    if (*at_ == '\n') ++position_->line;
    ++position_->offset;
    ++at_;
    return *this;
  }
  friend bool operator==(const position_iterator& left, const position_iterator& right) {
    return left.at_ == right.at_;
  }

 private:
  const char* at_;
  text_position* position_;
};

/// Receives the events of the parser and builds the tree.
class tree_builder {
 public:
  tree_builder(std::string_view text, const text_position& position, findings& found)
      : text_(text), position_(position), found_(found) {}

  bool null() { return add_word({}, 4); }
  bool boolean(bool value) {
    json_node node;
    node.type = json_type::boolean;
    node.flag = value;
    return add_word(std::move(node), value ? 4 : 5);
  }
  bool number_integer(json::number_integer_t value) { return number(static_cast<double>(value), value); }
  bool number_unsigned(json::number_unsigned_t value) { return number(static_cast<double>(value), value); }
  bool number_float(json::number_float_t value, const std::string& text) { return number(value, text); }
  bool string(std::string& value) {
    json_node node;
    node.type = json_type::text;
    node.text = std::move(value);
    node.end = position_.offset;
    // Quotes inside the text are escaped, so the next one backwards without a backslash opened it.
    node.begin = node.end - 2;
    while (text_[node.begin] != '"' || is_escaped(node.begin)) --node.begin;
    return add(std::move(node));
  }
  bool binary(json::binary_t& /*value*/) { return false; }
  bool start_object(std::size_t /*size*/) { return open(json_type::object); }
  bool start_array(std::size_t /*size*/) { return open(json_type::list); }
  bool end_object() { return close(); }
  bool end_array() { return close(); }

  bool key(std::string& name) {
    if (stack_.back().find(name) != nullptr) {
      found_.push_back({position_.line, name, "the object has this field twice"});
    }
    names_.back() = std::move(name);
    key_line_ = position_.line;
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/, const json::exception& problem) {
    std::string message = problem.what();
    // The library's messages start with the name of the exception in brackets.
    if (const auto end = message.find("] "); end != std::string::npos) message.erase(0, end + 2);
    found_.push_back({position_.line, "", std::move(message)});
    return false;
  }

  [[nodiscard]] json_node take() { return std::move(root_); }

 private:
  template <class Value>
  bool number(double value, const Value& written) {
    json_node node;
    node.type = json_type::number;
    node.number = value;
    node.text = fmt::format("{}", written);
    const auto is_number = [](char c) {
      return std::string_view{"+-.eE0123456789"}.find(c) != std::string_view::npos;
    };
    // The parser has read one character more, unless the text ended.
    node.end = position_.offset;
    if (!is_number(text_[node.end - 1])) --node.end;
    node.begin = node.end;
    while (node.begin > 0 && is_number(text_[node.begin - 1])) --node.begin;
    return add(std::move(node));
  }

  bool open(json_type type) {
    if (stack_.size() == max_json_depth) {
      found_.push_back(
          {position_.line, "", fmt::format("the nesting is deeper than {} levels", max_json_depth)});
      return false;
    }
    json_node node;
    node.type = type;
    node.line = position_.line;
    node.begin = position_.offset - 1;
    stack_.push_back(std::move(node));
    names_.emplace_back();
    return true;
  }

  bool close() {
    auto node = std::move(stack_.back());
    stack_.pop_back();
    names_.pop_back();
    node.end = position_.offset;
    const auto line = node.line;
    place(std::move(node), line);
    return true;
  }

  bool add_word(json_node node, std::size_t length) {
    node.end = position_.offset;
    node.begin = node.end - length;
    return add(std::move(node));
  }

  [[nodiscard]] bool is_escaped(std::size_t at) const {
    std::size_t backslashes = 0;
    while (backslashes < at && text_[at - 1 - backslashes] == '\\') ++backslashes;
    return backslashes % 2 == 1;
  }

  bool add(json_node node) {
    // The character after a number has been read when its event arrives, so a member has the line of its
    // name.
    const bool is_member = !stack_.empty() && stack_.back().type == json_type::object;
    place(std::move(node), is_member ? key_line_ : position_.line);
    return true;
  }

  void place(json_node node, std::size_t line) {
    node.line = line;
    if (stack_.empty()) {
      root_ = std::move(node);
    } else {
      if (stack_.back().type == json_type::object) stack_.back().names.push_back(std::move(names_.back()));
      stack_.back().items.push_back(std::move(node));
    }
  }

  std::string_view text_;
  const text_position& position_;
  findings& found_;
  json_node root_;
  std::vector<json_node> stack_;
  std::vector<std::string> names_;  ///< Name of the member that each open object waits for.
  std::size_t key_line_ = 1;
};

/// The parser checks the encoding inside strings only; comments count as well,
/// because a document is stored as a JSON string.
bool is_valid_utf8(std::string_view text) {
  try {
    return !json(text).dump().empty();
  } catch (const json::type_error&) {
    return false;
  }
}

}  // namespace

std::string_view name_of(json_type type) noexcept {
  switch (type) {
    case json_type::null:
      return "null";
    case json_type::boolean:
      return "true or false";
    case json_type::number:
      return "a number";
    case json_type::text:
      return "a text";
    case json_type::list:
      return "a list";
    case json_type::object:
      break;
  }
  return "an object";
}

const json_node* json_node::find(std::string_view name) const {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? nullptr : &items[static_cast<std::size_t>(it - names.begin())];
}

std::optional<json_node> parse_json(std::string_view text, findings& found) {
  if (!is_valid_utf8(text)) {
    found.push_back({1, "", "the text is not valid UTF-8"});
    return std::nullopt;
  }
  text_position position;
  tree_builder builder{text, position, found};
  const position_iterator begin{text.data(), &position};
  const position_iterator end{text.data() + text.size(), &position};
  if (!json::sax_parse(begin, end, &builder, json::input_format_t::json, true, true)) return std::nullopt;
  return builder.take();
}

}  // namespace bulrushlift::internal
