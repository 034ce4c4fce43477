#pragma once

#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "sql/connection_share.h"

/// @file
/// How many connections to a target one VM may hold now.
///
/// Load pattern: more customers than half of a target's connection limit. A connection serves one
/// customer, so an owner that may use only half of the limit closes and opens connections all day,
/// and each opening takes a slot of the target.
///
/// Failure: the owner loses power, and the target keeps its connections for the linger time. A
/// settled owner therefore leaves a reserve. A new owner starts with that reserve and grows with
/// each opening that the target accepts, or to the full quota when the linger time is over. If the
/// target refuses a connection as one too many, the VM keeps what it holds and tries to grow again
/// after a pause that doubles, so two VMs that both take themselves for the owner share the limit.
///
///     connection_quota quota;
///     quota.set_role(service_role::owner, now);
///     if (held < quota.allowed({limit, customers}, now)) open();

namespace bulrushlift::sql {

/// What the configuration says about the connections to a target.
struct quota_terms {
  std::size_t limit = 0;      ///< Connections that the target accepts from all VMs together; 0 for none.
  std::size_t customers = 0;  ///< Customers that may need a connection of their own.
};

/// How long a target may keep the connections of a VM that no longer answers.
inline constexpr duration connection_linger_time = std::chrono::seconds{3};

/// @return connections that a VM may hold that has owned the service for the linger time. Half of
///   the limit, as `connection_share`, unless there are more customers than that.
[[nodiscard]] std::size_t settled_owner_quota(const quota_terms& terms) noexcept;

/// @return connections that a VM may hold at once when it becomes the owner: what a settled owner
///   leaves free.
[[nodiscard]] std::size_t initial_owner_quota(const quota_terms& terms) noexcept;

/// The quota of this VM at one target. Not thread-safe.
class connection_quota {
 public:
  /// Sets the role; call before each decision. A role that stays the same changes nothing.
  void set_role(service_role role, time_point now);

  /// The target accepted a connection.
  /// @param held connections to the target, including this one.
  void on_opened(std::size_t held, const quota_terms& terms, time_point now);

  /// The target refused a connection because its limit is reached.
  /// @param held connections to the target, without the refused one.
  void on_refused(std::size_t held, time_point now);

  /// The target reported how many connections it has.
  /// @param total connections of all VMs.
  /// @param held connections of this VM.
  void on_reported(std::size_t total, std::size_t held, const quota_terms& terms, time_point now);

  /// @return connections that this VM may hold; at least one if the limit is above 0.
  [[nodiscard]] std::size_t allowed(const quota_terms& terms, time_point now) const;

  /// @return connections that this VM may keep idle.
  [[nodiscard]] std::size_t allowed_idle(const quota_terms& terms, time_point now) const;

  /// @return how long an idle connection above the quota may stay open; zero for a VM that was the
  ///   owner until now, because its successor needs the room.
  [[nodiscard]] duration surplus_idle_time(time_point now) const;

 private:
  [[nodiscard]] std::size_t owner_quota(const quota_terms& terms, time_point now) const;

  service_role role_ = service_role::other;
  time_point role_start_{};
  std::optional<time_point> ownership_end_;  ///< When this VM ceased to be the owner.
  std::size_t proven_ = 0;                   ///< Quota that accepted connections have shown to be free.
  std::size_t held_at_refusal_ = 0;
  time_point growth_blocked_until_{};  ///< End of the pause after a refusal.
  duration growth_pause_{};            ///< Length of that pause; zero if none has been refused lately.
};

/// Transactions that rest: a connection is reserved for each, but no statement runs on it.
struct resting_transactions {
  std::size_t of_customer = 0;  ///< Those of the customer that wants to begin another one.
  std::size_t most_of_one = 0;  ///< Those of the customer that has most of them.
  std::size_t total = 0;
};

/// Load pattern: callers that begin transactions, write and then pause. Their connections are not
/// available to other customers until the idle limit.
/// @param held connections to the target.
/// @param quota connections that this VM may hold.
/// @return whether the customer may begin another transaction. Always true while the VM may open
///   connections. At the quota, a customer may rest in a quarter of it, and when transactions rest
///   in half of it, the customer that has most of them may begin no more.
[[nodiscard]] bool may_begin_transaction(const resting_transactions& resting, std::size_t held,
                                         std::size_t quota) noexcept;

}  // namespace bulrushlift::sql
