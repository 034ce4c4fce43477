#include "standins/database_store.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace bulrushlift::standin {
namespace {

std::optional<statement_verb> verb_from_name(std::string_view name) {
  if (name == "get") return statement_verb::get;
  if (name == "set") return statement_verb::set;
  if (name == "add") return statement_verb::add;
  if (name == "insert") return statement_verb::insert;
  if (name == "list") return statement_verb::list;
  return std::nullopt;
}

/// Removes the first word and the space behind it from `text`.
/// @return the word.
std::string_view take_word(std::string_view& text) {
  const auto end = std::min(text.find(' '), text.size());
  const auto word = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return word;
}

std::optional<std::int64_t> parse_number(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

const std::string* find_value(const std::string& key, const database_store& store,
                              const key_values& changes) {
  if (const auto it = changes.find(key); it != changes.end()) return &it->second;
  return store.find(key);
}

statement_rows list_rows(const std::string& prefix, const database_store& store, const key_values& changes) {
  key_values merged;
  const auto collect = [&](const key_values& source) {
    for (auto it = source.lower_bound(prefix); it != source.end() && it->first.starts_with(prefix); ++it) {
      merged[it->first] = it->second;
    }
  };
  collect(store.values());
  collect(changes);
  return {merged.begin(), merged.end()};
}

result<std::string> sum_of(const statement& parsed, const std::string* current) {
  const auto step = parse_number(parsed.value);
  const auto base = current == nullptr ? std::optional<std::int64_t>{0} : parse_number(*current);
  if (!step || !base)
    return make_error(error_kind::statement_failed,
                      "add: operand or stored value is not a number: " + parsed.key);
  std::int64_t sum = 0;
  if (__builtin_add_overflow(*base, *step, &sum)) {
    return make_error(error_kind::statement_failed, "add: integer overflow: " + parsed.key);
  }
  return std::to_string(sum);
}

}  // namespace

result<statement> parse_statement(std::string_view text) {
  auto rest = text;
  const auto verb = verb_from_name(take_word(rest));
  if (!verb)
    return make_error(error_kind::bad_request, "unknown statement: " + std::string{text.substr(0, 64)});
  statement parsed{*verb, std::string{take_word(rest)}, std::string{rest}};
  if (parsed.key.empty() && parsed.verb != statement_verb::list) {
    return make_error(error_kind::bad_request, "the statement has no key");
  }
  if (!is_write(parsed) && !parsed.value.empty()) {
    return make_error(error_kind::bad_request, "a read statement takes one argument");
  }
  return parsed;
}

bool is_write(const statement& parsed) noexcept {
  return parsed.verb != statement_verb::get && parsed.verb != statement_verb::list;
}

void database_store::apply(const key_values& changes, log_position at) {
  for (const auto& [key, value] : changes) {
    values_[key] = value;
    changes_[key] = at;
  }
}

const std::string* database_store::find(const std::string& key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? nullptr : &it->second;
}

log_position database_store::changed_at(const std::string& key) const {
  const auto it = changes_.find(key);
  return it == changes_.end() ? log_position{} : it->second;
}

log_position database_store::prefix_changed_at(const std::string& prefix) const {
  log_position newest;
  for (auto it = changes_.lower_bound(prefix); it != changes_.end() && it->first.starts_with(prefix); ++it) {
    newest = std::max(newest, it->second);
  }
  return newest;
}

result<statement_rows> evaluate(const statement& parsed, const database_store& store, key_values& changes) {
  if (parsed.verb == statement_verb::list) return list_rows(parsed.key, store, changes);
  const auto* current = find_value(parsed.key, store, changes);
  if (parsed.verb == statement_verb::get) {
    return current == nullptr ? statement_rows{} : statement_rows{{parsed.key, *current}};
  }
  auto value = parsed.value;
  if (parsed.verb == statement_verb::insert && current != nullptr) {
    return make_error(error_kind::statement_failed, "insert: key exists: " + parsed.key);
  }
  if (parsed.verb == statement_verb::add) {
    auto sum = sum_of(parsed, current);
    if (!sum) return tl::unexpected(sum.error());
    value = *std::move(sum);
  }
  changes[parsed.key] = value;
  return statement_rows{{parsed.key, value}};
}

}  // namespace bulrushlift::standin
