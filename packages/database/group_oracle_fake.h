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
/// Records what the callers of a simulated group were told, and checks it against the logs of the members.
///
/// Every write is `add op-<n> 1` with its own key, so that the value of the key is the number of
/// times that the write ran.

namespace bulrushlift::simulation {

/// A write or a transaction of two writes.
struct operation {
  enum class state { unsent, waiting, acknowledged, unknown, not_run };

  std::string name;             ///< The key whose value it increments.
  bool has_key = false;         ///< Sent with an idempotency key, so that it may be sent again.
  bool is_transaction = false;  ///< Also increments the key "<name>.pair".
  bool had_unknown = false;     ///< An earlier attempt may still run.
  std::size_t session = 0;
  state status = state::unsent;
  log_point point;
  bool is_at_once = false;  ///< The caller is answered without waiting for a second member.
  time_point sent_at{};
  time_point acknowledged_at{};
};

/// Test oracle: collects violations of the promises to the callers.
class group_oracle {
 public:
  /// The caller was told that the write is done. Checks that no later primary lacks it.
  void acknowledge(operation& op, const log_point& point, time_point now);

  /// A member became primary of a term. Checks that its log has all acknowledged writes.
  void promote(const standin::database_member_model& member);

  /// A read was answered. Checks that the session sees its own writes and that the data is recent enough.
  /// @param session session of the reader.
  /// @param point log point at which the read ran.
  /// @param since every write acknowledged before this time must be visible.
  void read(std::size_t session, const standin::statement_rows& rows, const log_point& point,
            time_point since);

  /// To be called after the faults have ended and replication is complete. Compares the logs of all
  /// members with each other and with the answers to the callers.
  void finish(const std::vector<const standin::database_member_model*>& members,
              const std::map<std::string, operation>& operations);

  /// Adds a violation.
  void report(std::string violation);

  [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
  /// @return all violations in one text, for the messages of tests.
  [[nodiscard]] std::string summary() const;
  [[nodiscard]] std::size_t acknowledged() const noexcept { return acknowledged_.size(); }
  [[nodiscard]] std::size_t reads() const noexcept { return reads_.size(); }
  /// @return the number of acknowledged writes that a later primary doesn't have.
  [[nodiscard]] std::size_t lost() const noexcept { return lost_.size(); }
  /// @return the number of writes that a former primary acknowledged after a promotion.
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
  std::map<term_id, std::set<std::string>>
      promoted_;  ///< Writes in the log of each new primary at its promotion.
  std::set<std::string> lost_;
  std::size_t old_primary_acknowledgements_ = 0;
  std::vector<answered_read> reads_;
  std::vector<std::string> violations_;
};

}  // namespace bulrushlift::simulation
