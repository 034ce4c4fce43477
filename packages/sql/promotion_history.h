#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "sql/promotion_claim.h"
#include "sql/target_directory.h"

/// @file
/// What one VM knows of the claims of promotions of a service, and what may still be under way because of
/// them: orders that may take effect, and commands to resume replication that may end a later fence.

namespace bulrushlift::sql {

/// Time limits of claims.
struct claim_times {
  /// After a claim of another VM this VM leaves the service to it for this time: the operators' platform
  /// allows two VMs to order in turn only 3 s apart, and an order follows its claim after a moment.
  duration claim_timeout = std::chrono::milliseconds{3'300};
  /// A command to a target, or an order, that got no answer may take effect this much later.
  duration late_command_time = std::chrono::seconds{15};
};

class promotion_history {
 public:
  explicit promotion_history(claim_times times) : times_(times) {}

  /// The process has started. Until it reads a claim, it knows nothing of what is under way.
  /// @param is_first_start whether no VM can have claimed anything before.
  void on_start(bool is_first_start, time_point now);
  /// @param epoch of the store, as far as this VM knows it.
  void set_epoch(std::uint64_t epoch) noexcept { epoch_ = epoch; }

  /// A claim was read from the store or written to it. One that is not newer than the newest known claim has
  /// no effect.
  /// @param token version of the claim, as fencing token.
  /// @param is_own whether it is a claim of this VM, perhaps of an earlier process.
  void on_claim(const promotion_claim& claim, std::uint64_t token, bool is_own, time_point now);
  /// @return the claim to write next.
  [[nodiscard]] promotion_claim propose(const target_id& target, promotion_phase phase, time_point now);

  /// The order with the newest claim has no effect. An earlier order of the same target may still have one.
  void on_order_refused(const target_id& target);
  /// The order with the newest claim was accepted: the platform refuses all earlier ones from now on. It
  /// takes effect once the target is the primary.
  void on_order_accepted(const target_id& target, time_point now);
  /// The target is the primary, so its order has taken effect.
  void on_primary(const target_id& target) { unresolved_.erase(target); }
  /// The store came back older: what claims of the lost history told may be under way, though this VM has not
  /// read all of them.
  void on_store_restored(time_point now) { unknown_until_ = now + times_.late_command_time; }
  /// Forgets orders that can't take effect any more.
  void expire(time_point now);
  /// A target is told to resume replication.
  void on_resume_sent(const target_id& target, time_point now);
  /// The target has confirmed the newest command to resume, or never got it. Earlier ones may still reach it.
  void on_resume_confirmed(const target_id& target);

  /// @return whether any claim of the service is known.
  [[nodiscard]] bool has_claim() const noexcept { return newest_token_.has_value(); }
  /// @return whether the newest known claim was written by an earlier process of this VM.
  [[nodiscard]] bool is_of_predecessor() const noexcept { return is_own_ && !proposed_attempt_; }
  /// @return whether this VM holds the newest claim that it knows.
  [[nodiscard]] bool is_holder() const noexcept { return is_own_; }
  /// @return whether this VM holds a claim under which replicas may be paused.
  /// @param is_synchronous whether replicas confirm commits.
  [[nodiscard]] bool may_hold_fence(bool is_synchronous) const noexcept;
  /// @return whether the claim is to be waited for before the next attempt.
  /// @param is_synchronous whether replicas confirm commits.
  [[nodiscard]] bool is_pending(const target_directory& directory, bool is_synchronous, time_point now) const;
  /// @return whether the newest claim left something under way that nobody is going on with.
  /// @param is_synchronous whether replicas confirm commits.
  [[nodiscard]] bool is_unfinished(const target_directory& directory, bool is_synchronous,
                                   time_point now) const;
  /// @return whether an order may still take effect.
  [[nodiscard]] bool has_unresolved() const noexcept { return !unresolved_.empty(); }
  /// @return whether no order of another target may still take effect.
  [[nodiscard]] bool is_only_unresolved(const target_id& target) const;
  /// @return whether a command to resume replication may end the pause of the target.
  [[nodiscard]] bool may_be_resumed(const target_id& target, time_point now) const;
  /// @return whether such a command may reach a target other than these two. The chosen one may receive: what
  ///   it confirms, it has. To the primary the command means nothing.
  [[nodiscard]] bool may_another_be_resumed(const target_id& chosen, const target_id& primary,
                                            time_point now) const;
  /// @return whether an order of the target may still take effect.
  [[nodiscard]] bool is_unresolved(const target_id& target) const { return unresolved_.contains(target); }
  /// @return from when a fence can be set, because commands to resume can reach no targets but the known
  /// ones.
  [[nodiscard]] time_point fence_time() const {
    return std::max(unknown_resume_until_.value_or(time_point{}), unknown_until_);
  }
  [[nodiscard]] bool can_fence(time_point now) const { return now >= fence_time(); }

 private:
  void note_orders(const promotion_claim& claim, bool is_complete, time_point now);
  void note_resumes(const promotion_claim& claim, bool is_older, bool is_of_this_process, time_point now);

  claim_times times_;
  promotion_claim newest_{{}, promotion_phase::settled};
  std::optional<std::uint64_t> newest_token_;
  time_point newest_seen_{};
  bool is_own_ = false;
  bool is_accepted_ = false;                       ///< The order with the newest claim was accepted.
  std::optional<time_point> own_order_seen_;       ///< When the newest claim of this VM to order was seen.
  std::optional<time_point> other_order_seen_;     ///< When the newest claim of another VM to order was seen.
  std::optional<std::uint64_t> proposed_attempt_;  ///< Of the newest claim that this process wrote.
  std::map<target_id, time_point> unresolved_;     ///< Until when an order of each target may take effect.
  std::optional<time_point> earlier_until_;  ///< The same for orders of the newest target before its claim.
  /// Until when commands to resume replication may reach each target.
  std::map<target_id, time_point> resumed_until_;
  /// The same for each target before the newest command to it.
  std::map<target_id, time_point> resumed_before_;
  std::optional<time_point> unknown_resume_until_;  ///< The same for commands of other VMs, to any target.
  std::uint64_t epoch_ = 0;
  time_point unknown_until_{};  ///< Until when what a lost history told may take effect.
};

/// @return whether a target can be promoted: it is listed, stays, and its data centre is in use.
[[nodiscard]] bool is_promotable(const target_directory& directory, const target_id& target);

}  // namespace bulrushlift::sql
