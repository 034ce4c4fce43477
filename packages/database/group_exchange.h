#pragma once

#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "database/group_controller.h"
#include "database/group_options.h"
#include "database/group_view.h"

/// @file
/// Types that the parts of the group controller share: the table of pending requests, the
/// context of one event and the schedule of retries.

namespace bulrushlift::internal {

/// Kind of a request to a target. A verification is a poll on a new connection that checks a
/// refused connection.
enum class exchange_kind { poll, verification, long_poll, fence, promote, follow };

/// A request that was sent to a target and has no answer yet.
struct exchange {
  exchange_kind kind = exchange_kind::poll;
  target_id target;
  time_point sent_at{};
  time_point deadline{};
};

/// Pending requests by id. Ids are never reused.
class exchange_table {
 public:
  /// Adds a request.
  /// @param timeout time from `now` after which `expire` removes the request.
  /// @return its id.
  exchange_id open(exchange_kind kind, const target_id& target, time_point now, duration timeout) {
    last_ = last_.next();
    waiting_.emplace(last_, exchange{kind, target, now, now + timeout});
    return last_;
  }

  /// Removes a request that was answered or failed.
  /// @return the request, or nothing if it was removed before.
  [[nodiscard]] std::optional<exchange> close(exchange_id id) {
    const auto node = waiting_.extract(id);
    if (node.empty()) return std::nullopt;
    return node.mapped();
  }

  /// Removes the requests whose deadline has passed.
  /// @return these requests.
  [[nodiscard]] std::vector<std::pair<exchange_id, exchange>> expire(time_point now) {
    std::vector<std::pair<exchange_id, exchange>> expired;
    for (const auto& item : waiting_) {
      if (item.second.deadline <= now) expired.push_back(item);
    }
    for (const auto& item : expired) waiting_.erase(item.first);
    return expired;
  }

  /// @return whether a request of this kind to the target is pending.
  [[nodiscard]] bool is_waiting(exchange_kind kind, const target_id& target) const {
    for (const auto& [id, item] : waiting_) {
      if (item.kind == kind && item.target == target) return true;
    }
    return false;
  }

  void clear() { waiting_.clear(); }

 private:
  std::map<exchange_id, exchange> waiting_;
  exchange_id last_;
};

/// State that the handlers of one event read and write.
struct group_context {
  group_view& view;
  const group_options& options;
  exchange_table& exchanges;
  group_actions& actions;
  std::minstd_rand& random;
  time_point now;

  /// @return a random duration between half of `pause` and `pause`.
  [[nodiscard]] duration with_jitter(duration pause) const {
    std::uniform_int_distribution<duration::rep> spread{0, pause.count() / 2};
    return pause - duration{spread(random)};
  }

  /// Adds a `log_decision` action in the current term.
  void log(std::string event, const target_id& target, std::string reason) const {
    actions.emplace_back(log_decision{std::move(event), view.term, target, std::move(reason)});
  }
};

/// Time of the next attempt; the pause doubles with each failure, up to `retry_limit`.
class retry_schedule {
 public:
  [[nodiscard]] bool is_due(time_point now) const noexcept { return now >= next_; }

  /// Counts a failure and sets the time of the next attempt.
  void fail(const group_context& context) {
    pause_ = pause_ == duration{} ? context.options.retry_pause
                                  : std::min(pause_ * 2, context.options.retry_limit);
    next_ = context.now + context.with_jitter(pause_);
  }

  /// Forgets the failures: the next attempt is due at once.
  void reset() noexcept { *this = {}; }

 private:
  duration pause_{};
  time_point next_{};
};

/// @return the number of targets that form a majority of the configured ones.
[[nodiscard]] inline std::size_t majority_of(const group_view& view) noexcept {
  return view.targets.size() / 2 + 1;
}

/// @return the state of the target, or null if it is not configured.
[[nodiscard]] inline target_view* find_target(group_view& view, const target_id& target) noexcept {
  for (auto& item : view.targets) {
    if (item.target == target) return &item;
  }
  return nullptr;
}

}  // namespace bulrushlift::internal
