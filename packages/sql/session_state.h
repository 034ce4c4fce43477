#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "sql/statement.h"

/// @file
/// What belongs to a session and outlives the statements that it sends: values,
/// prepared statements and the point of its newest own commit; and what a target
/// connection already knows of it.

namespace bulrushlift::sql {

/// The session as its caller knows it.
struct session_state {
  std::map<std::string, std::string> values;
  std::map<std::string, prepared_statement> prepared;
  std::optional<log_point> own_commit;  ///< Newest commit of this session.

  friend bool operator==(const session_state&, const session_state&) = default;
};

/// Drop all values and prepared statements of the target connection.
struct reset_step {
  friend bool operator==(const reset_step&, const reset_step&) = default;
};
/// Set a value on the target connection.
struct value_step {
  std::string name;
  std::string value;

  friend bool operator==(const value_step&, const value_step&) = default;
};
/// Define a prepared statement on the target connection.
struct prepare_step {
  std::string name_on_target;
  prepared_statement definition;

  friend bool operator==(const prepare_step&, const prepare_step&) = default;
};

/// Steps that bring a target connection into the state that a statement needs.
struct connection_setup {
  bool needs_reset = false;
  std::vector<value_step> values;
  std::optional<prepare_step> prepare;

  [[nodiscard]] std::size_t size() const noexcept {
    return (needs_reset ? 1U : 0U) + values.size() + (prepare ? 1U : 0U);
  }
  friend bool operator==(const connection_setup&, const connection_setup&) = default;
};

/// What one target connection has in force. Prepared statements are shared by
/// all sessions that use the connection: their name on the target is chosen by
/// their content, so that equal names of different callers do not collide.
class connection_state {
 public:
  /// Computes the steps before a statement of `session` and assumes that they
  /// succeed; the connection is closed if one of them fails.
  /// @param needed the prepared statement that is to be executed, if any.
  [[nodiscard]] connection_setup prepare_for(const session_state& session,
                                             const std::optional<prepared_statement>& needed);

  /// @return the name of a prepared statement on targets; equal for equal definitions.
  [[nodiscard]] static std::string name_on_target(const prepared_statement& definition);

  /// @return how many steps `prepare_for` would give.
  [[nodiscard]] std::size_t setup_step_count(const session_state& session) const;

 private:
  [[nodiscard]] bool has_foreign_value(const session_state& session) const;

  std::map<std::string, std::string> values_;
  std::set<prepared_statement> prepared_;
};

}  // namespace bulrushlift::sql
