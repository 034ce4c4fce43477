#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "database/group_exchange.h"

/// @file
/// Health checks by polls and long polls, freshness samples and the detection of a failed primary.

namespace bulrushlift::internal {

/// Health of the targets of one group.
class group_health {
 public:
  /// Drops the state of targets that are no longer configured and adds the new ones.
  void configure(const group_view& view);

  /// Resets the state of all targets and polls them at the next tick.
  void restart(time_point now);

  /// Sends the poll round and the long polls that are due.
  /// @param is_polling false: sends only long polls, for the last writes of a former owner.
  void tick(const group_context& context, bool is_polling);

  /// Handles the answer to a poll, verification or long poll.
  /// @param request the pending request with this id; nothing if it has expired.
  void on_status(const group_context& context, exchange_id id, const std::optional<exchange>& request,
                 const target_status& status);

  /// Sends a long poll to each reachable replica without a pending one.
  void send_long_polls(const group_context& context);

  /// Records that the target answered a request in time.
  void on_contact(const group_context& context, const target_id& target);

  /// Handles the failure of a poll, verification or long poll.
  void on_failure(const group_context& context, const exchange& request, request_failure reason);

  /// Verifies a refused connection by a poll on a new connection.
  void on_refused(const group_context& context, const target_id& target);

  /// @return the reason for a failover, or nothing if none is needed or no majority is reachable.
  [[nodiscard]] std::optional<std::string> find_failover_reason(const group_context& context) const;

  /// Restarts the time after which a term without a primary starts a promotion, so that the
  /// promotion of another VM has time to complete.
  void restart_primary_timer(time_point now) noexcept { primary_seen_at_ = now; }

 private:
  struct target_health {
    std::size_t failures = 0;  ///< Consecutive polls that failed.
    bool is_refused = false;   ///< The target refused a connection, and verification confirmed it.
    retry_schedule long_poll;
    time_point point_changed_at{};  ///< Time of the last report with a higher log point.
  };
  /// Polls that were sent to all targets at the same time.
  struct poll_round {
    time_point sent_at{};
    std::set<exchange_id> polls;
    std::map<target_id, target_status> answers;
    bool has_sample = false;
  };

  void send_round(const group_context& context);
  void record_answer(const group_context& context, exchange_id id, const target_status& status);
  void take_sample(const group_context& context, poll_round& round) const;
  void update_rate(const group_context& context, const target_status& status);
  [[nodiscard]] bool has_majority_lost_contact(const group_context& context) const;

  std::map<target_id, target_health> targets_;
  std::deque<poll_round> rounds_;
  time_point next_round_{};
  time_point primary_seen_at_{};  ///< Last time at which a primary of the current term was known.
};

}  // namespace bulrushlift::internal
