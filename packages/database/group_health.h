#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "database/group_exchange.h"

/// @file
/// Polls, long polls, freshness samples and the detection of a lost primary.

namespace bulrushlift::internal {

class group_health {
 public:
  /// Forgets what was learned about targets that are no longer configured.
  void configure(const group_view& view);

  /// Starts with a poll round at the next tick.
  void restart(time_point now);

  /// Sends a poll round and long polls as far as they are due.
  /// @param is_polling false: only long polls, for the last writes of a former owner.
  void tick(const group_context& context, bool is_polling);

  /// Takes the answer to a poll, verification or long poll.
  void on_status(const group_context& context, exchange_id id, const std::optional<exchange>& request,
                 const target_status& status);

  /// Renews the long polls that have ended.
  void send_long_polls(const group_context& context);

  /// The target answered a request of another kind in time.
  void on_contact(const group_context& context, const target_id& target);

  /// Takes the failure of a poll, verification or long poll.
  void on_failure(const group_context& context, const exchange& request, request_failure reason);

  /// Opens one new connection to the target to verify the refusal.
  void on_refused(const group_context& context, const target_id& target);

  /// @return why the group needs another primary, or nothing.
  [[nodiscard]] std::optional<std::string> find_failover_reason(const group_context& context) const;

  /// Gives another promoter time: a term without a primary counts from now on.
  void restart_primary_timer(time_point now) noexcept { primary_seen_at_ = now; }

 private:
  struct target_health {
    std::size_t failures = 0;  ///< Polls that failed in a row.
    bool is_refused = false;   ///< A verified refusal.
    retry_schedule long_poll;
    time_point point_changed_at{};
  };
  /// Polls of one round, all sent at the same time.
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
