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
/// What the parts of the group controller share: requests without an answer yet, and the
/// context of one event.

namespace bulrushlift::internal {

enum class exchange_kind { poll, verification, long_poll, fence, promote, follow };

/// A request that was sent.
struct exchange {
  exchange_kind kind = exchange_kind::poll;
  target_id target;
  time_point sent_at{};
  time_point deadline{};
};

/// Requests that wait for an answer, by id. Ids are never reused.
class exchange_table {
 public:
  exchange_id open(exchange_kind kind, const target_id& target, time_point now, duration timeout) {
    last_ = last_.next();
    waiting_.emplace(last_, exchange{kind, target, now, now + timeout});
    return last_;
  }

  /// @return the request, or nothing if it was answered or has expired.
  [[nodiscard]] std::optional<exchange> close(exchange_id id) {
    const auto node = waiting_.extract(id);
    if (node.empty()) return std::nullopt;
    return node.mapped();
  }

  /// @return the requests whose deadline has passed; they are closed.
  [[nodiscard]] std::vector<std::pair<exchange_id, exchange>> expire(time_point now) {
    std::vector<std::pair<exchange_id, exchange>> expired;
    for (const auto& item : waiting_) {
      if (item.second.deadline <= now) expired.push_back(item);
    }
    for (const auto& item : expired) waiting_.erase(item.first);
    return expired;
  }

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

/// Everything that the handling of one event reads and writes.
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

  void log(std::string event, const target_id& target, std::string reason) const {
    actions.emplace_back(log_decision{std::move(event), view.term, target, std::move(reason)});
  }
};

/// A pause that doubles with each failure.
class retry_schedule {
 public:
  [[nodiscard]] bool is_due(time_point now) const noexcept { return now >= next_; }

  /// Sets the time of the next try.
  void fail(const group_context& context) {
    pause_ = pause_ == duration{} ? context.options.retry_pause
                                  : std::min(pause_ * 2, context.options.retry_limit);
    next_ = context.now + context.with_jitter(pause_);
  }

  void reset() noexcept { *this = {}; }

 private:
  duration pause_{};
  time_point next_{};
};

[[nodiscard]] inline std::size_t majority_of(const group_view& view) noexcept {
  return view.targets.size() / 2 + 1;
}

[[nodiscard]] inline target_view* find_target(group_view& view, const target_id& target) noexcept {
  for (auto& item : view.targets) {
    if (item.target == target) return &item;
  }
  return nullptr;
}

}  // namespace bulrushlift::internal
