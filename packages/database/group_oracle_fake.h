#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "standins/database_member_model.h"

/// @file
/// What the callers of a simulated group were told, and whether the logs agree with it.
///
/// Every write is `add op-<n> 1` for a key of its own, so that the value of the key is the
/// number of times that the write ran.

namespace bulrushlift::simulation {

/// A write of a caller.
struct operation {
  enum class state { unsent, waiting, acknowledged, unknown, not_run };

  std::string name;             ///< The key that it adds to.
  bool has_key = false;         ///< Sent with an idempotency key, so that it may be repeated.
  bool is_transaction = false;  ///< Adds to "<name>.pair" too.
  bool had_unknown = false;     ///< An earlier request of it may still run.
  std::size_t session = 0;
  state status = state::unsent;
  log_point point;
  bool is_at_once = false;  ///< The caller is answered without waiting for a second member.
  time_point sent_at{};
  time_point acknowledged_at{};
};

class group_oracle {
 public:
  /// The caller was told that the write is done.
  void acknowledge(operation& op, const log_point& point, time_point now);

  /// A member became primary of a term; its log is the group's log from now on.
  void promote(const standin::database_member_model& member);

  /// A read was answered.
  /// @param session the reader.
  /// @param since every write acknowledged before must be visible.
  void read(std::size_t session, const standin::statement_rows& rows, const log_point& point,
            time_point since);

  /// Nothing fails any more and replication is complete: compares all logs.
  void finish(const std::vector<const standin::database_member_model*>& members,
              const std::map<std::string, operation>& operations);

  void report(std::string violation);

  [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
  /// @return all violations in one text, for the messages of tests.
  [[nodiscard]] std::string summary() const;
  [[nodiscard]] std::size_t acknowledged() const noexcept { return acknowledged_.size(); }
  [[nodiscard]] std::size_t reads() const noexcept { return reads_.size(); }
  /// @return acknowledgements of writes that a later primary doesn't have.
  [[nodiscard]] std::size_t lost() const noexcept { return lost_.size(); }
  [[nodiscard]] std::size_t old_primary_acknowledgements() const noexcept {
    return old_primary_acknowledgements_;
  }

 private:
  struct acknowledgement {
    std::size_t session = 0;
    log_point point;
    time_point at{};
  };
  struct answered_read {
    log_point point;
    std::set<std::string> names;
  };

  void check_contains(const std::set<std::string>& names, const std::string& log_name);

  std::map<std::string, acknowledgement> acknowledged_;
  std::map<term_id, std::set<std::string>> promoted_;  ///< Writes in the log of each new primary.
  std::set<std::string> lost_;
  std::size_t old_primary_acknowledgements_ = 0;
  std::vector<answered_read> reads_;
  std::vector<std::string> violations_;
};

}  // namespace bulrushlift::simulation
