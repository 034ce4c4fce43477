#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "sql/statement.h"

/// @file
/// State of a session that outlives its statements: session values, prepared statements
/// and the log point of its newest commit. Also the part of that state which a target
/// connection already has, and the commands that bring the connection up to date.

namespace bulrushlift::sql {

/// State of one session, as its caller set it.
struct session_state {
  std::map<std::string, std::string> values;           ///< Session values by name.
  std::map<std::string, prepared_statement> prepared;  ///< Prepared statements by the caller's name.
  std::optional<log_point> own_commit;                 ///< Log point of the session's newest commit.

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

/// Steps that bring a target connection into the state that a statement needs, in the order
/// reset, values, prepare.
struct connection_setup {
  bool needs_reset = false;
  std::vector<value_step> values;
  std::optional<prepare_step> prepare;

  /// @return the number of steps.
  [[nodiscard]] std::size_t size() const noexcept {
    return (needs_reset ? 1U : 0U) + values.size() + (prepare ? 1U : 0U);
  }
  friend bool operator==(const connection_setup&, const connection_setup&) = default;
};

/// Session values and prepared statements that one target connection has now. All sessions
/// that use the connection share its prepared statements. Their name on the target is derived
/// from their definition, so that equal names of different callers do not collide.
class connection_state {
 public:
  /// Computes the steps that must run before a statement of `session`, and records them as
  /// done. The caller must close the connection if one of them fails.
  /// @param needed the prepared statement to execute, if any.
  [[nodiscard]] connection_setup prepare_for(const session_state& session,
                                             const std::optional<prepared_statement>& needed);

  /// @return the name of a prepared statement on targets; equal definitions have equal names.
  [[nodiscard]] static std::string name_on_target(const prepared_statement& definition);

  /// @return how many steps `prepare_for` would return for a statement that is not prepared.
  [[nodiscard]] std::size_t setup_step_count(const session_state& session) const;

  /// @return the size of all values and definitions, in bytes.
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

 private:
  [[nodiscard]] bool has_stale_value(const session_state& session) const;

  std::map<std::string, std::string> values_;
  std::set<prepared_statement> prepared_;
  std::size_t bytes_ = 0;
};

}  // namespace bulrushlift::sql
