#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <unordered_set>
#include <utility>

#include "database/group_exchange.h"

/// @file
/// Holds answers of the primary until a majority has the log point at which they ran.

namespace bulrushlift::internal {

/// Requests of one group that were sent to the primary or that it answered.
class write_acknowledgement {
 public:
  /// A write was sent, or a transaction was begun.
  void on_sent(const request_id& request) { sent_.insert(request); }
  /// A write ended without a log point to wait for.
  void on_ended(const request_id& request) { sent_.erase(request); }
  /// The primary answered a request.
  void on_answered(const group_context& context, const write_answered& event);

  /// Acknowledges requests that a majority has, and ends those of a lower term as unknown.
  void update(const group_context& context);

  /// Ends requests whose deadline has passed or whose term is lower than the current one as unknown.
  void end_expired(const group_context& context);

  /// @return the number of answers that wait for a majority.
  [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
  /// @return whether no write is in flight and no answer waits for a majority.
  [[nodiscard]] bool is_idle() const noexcept { return waiting_.empty() && sent_.empty(); }

 private:
  struct waiting_answer {
    target_id target;
    time_point deadline{};
  };
  using answer_key = std::pair<log_point, request_id>;

  void acknowledge_replicated(const group_context& context);

  std::unordered_set<request_id> sent_;
  std::map<answer_key, waiting_answer>
      waiting_;  ///< Ordered by log point, so that a report of a replica releases the first ones.
};

}  // namespace bulrushlift::internal
