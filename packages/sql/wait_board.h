#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <tuple>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// How long statements wait for a slot at the VMs that run them, as those VMs report it in their replies,
/// and whether a statement is worth sending there.
///
/// Load pattern: more statements than slots. A VM that relays a statement to a full queue waits for half of
/// the objective to hear that it was refused, and the relay costs both VMs work. With the reported wait it
/// refuses the statement at once. A part of the statements is still sent, so that the reports stay fresh and
/// the load returns gradually when the queue is shorter.
///
///     board.record({service, data_centre, priority}, wait, now);       // from a reply
///     if (!board.admits(keys, customer, allowed, now, random)) refuse();

namespace bulrushlift::sql {

/// A queue of statements: one service, the targets of one data centre, one priority.
struct wait_key {
  service_id service;
  data_centre_id data_centre;
  int priority = 0;

  friend auto operator<=>(const wait_key&, const wait_key&) = default;
};

/// A reported wait.
struct known_wait {
  duration wait{};
  duration age{};  ///< Time since the report.

  friend bool operator==(const known_wait&, const known_wait&) = default;
};

class wait_board {
 public:
  /// No statement is refused because of a report that is older than this.
  static constexpr duration refusal_lifetime = std::chrono::milliseconds{400};
  /// A report says nothing about the queue after this time.
  static constexpr duration report_lifetime = std::chrono::milliseconds{1'500};

  /// Keeps a report.
  /// @param wait how long a statement that arrives now would wait.
  void record(const wait_key& key, duration wait, time_point now);

  /// @return the reported wait, or nothing if there is no recent report.
  [[nodiscard]] std::optional<known_wait> find(const wait_key& key, time_point now) const;

  /// Decides whether a statement is sent. A customer that sends more than an even share of this VM's recent
  /// statements is refused more often than the others.
  /// @param keys the queues that could run the statement; one without a recent report admits it.
  /// @param allowed longest wait with which the statement is still in time; above 0.
  /// @param random uniformly distributed bits.
  /// @return whether the statement is to be sent; if not, it would not get a slot in time.
  [[nodiscard]] bool admits(std::span<const wait_key> keys, const customer_id& customer, duration allowed,
                            time_point now, std::uint64_t random);

 private:
  struct report {
    duration wait{};
    time_point time{};
  };

  /// Counts the customer's statement. @return its part of the recent statements relative to an even one.
  [[nodiscard]] double demand_of(const customer_id& customer, time_point now);

  std::map<wait_key, report> reports_;
  std::map<customer_id, double> demand_;  ///< Statements, decaying by half in each period.
  double total_demand_ = 0;
  time_point period_start_{};
};

}  // namespace bulrushlift::sql
