#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <unordered_set>
#include <utility>

#include "database/group_exchange.h"

/// @file
/// Answers of the primary that wait for a second member.

namespace bulrushlift::internal {

class write_acknowledgement {
 public:
  void on_sent(const request_id& request) { sent_.insert(request); }
  void on_ended(const request_id& request) { sent_.erase(request); }
  void on_answered(const group_context& context, const write_answered& event);

  /// Releases what a majority holds now, and ends what is of an old term.
  void update(const group_context& context);

  /// Ends what is past its deadline or of an old term.
  void end_expired(const group_context& context);

  [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
  /// @return whether no write is between its start and its end.
  [[nodiscard]] bool is_idle() const noexcept { return waiting_.empty() && sent_.empty(); }

 private:
  struct waiting_answer {
    target_id target;
    time_point deadline{};
  };
  using answer_key = std::pair<log_point, request_id>;

  void acknowledge_replicated(const group_context& context);

  std::unordered_set<request_id> sent_;
  std::map<answer_key, waiting_answer> waiting_;  ///< Ordered by point: one report releases a prefix.
};

}  // namespace bulrushlift::internal
