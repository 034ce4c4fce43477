#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/ids.h"

/// @file
/// Keys and values of the database stand-in, and its statement language:
/// `get <key>`, `set <key> <value>`, `add <key> <n>`, `insert <key> <value>`, `list <prefix>`.

namespace bulrushlift::standin {

enum class statement_verb { get, set, add, insert, list };

/// A parsed statement. For `list`, `key` is a prefix. `value` is empty for reads.
struct statement {
  statement_verb verb = statement_verb::get;
  std::string key;
  std::string value;

  friend bool operator==(const statement&, const statement&) = default;
};

/// @return the statement, or `bad_request` with a message that says what is wrong.
[[nodiscard]] result<statement> parse_statement(std::string_view text);

[[nodiscard]] bool is_write(const statement& parsed) noexcept;

/// Keys with their values, in key order.
using key_values = std::map<std::string, std::string>;
/// Keys and values that a statement returns; a write returns the value that it stored.
using statement_rows = std::vector<std::pair<std::string, std::string>>;

/// Committed keys and values with the position of their last change.
class database_store {
 public:
  /// Applies the changes of the log entry at position `at`.
  void apply(const key_values& changes, log_position at);

  /// @return the value, or null if the key is absent.
  [[nodiscard]] const std::string* find(const std::string& key) const;

  /// @return the position of the newest change of `key`, or 0.
  [[nodiscard]] log_position changed_at(const std::string& key) const;

  /// @return the position of the newest change of a key with that prefix, or 0.
  [[nodiscard]] log_position prefix_changed_at(const std::string& prefix) const;

  [[nodiscard]] const key_values& values() const noexcept { return values_; }

 private:
  key_values values_;
  std::map<std::string, log_position> changes_;
};

/// Evaluates a statement against the store; uncommitted `changes` take precedence over stored values.
/// A write adds to `changes` and doesn't modify the store.
/// @return the rows, or `statement_failed`, in which case `changes` is not modified.
[[nodiscard]] result<statement_rows> evaluate(const statement& parsed, const database_store& store,
                                              key_values& changes);

}  // namespace bulrushlift::standin
