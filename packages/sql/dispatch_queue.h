#pragma once

#include <algorithm>
#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/start_tag_allocator.h"

/// @file
/// The statements of one service that wait for a slot of a target, and who gets the next one.
///
/// Load pattern: more statements than slots, of routes with different priorities and of customers
/// with uneven demand. Order: priority of the route, then turns among the customers, then arrival.
/// So that urgent load does not keep a less urgent route from all slots, a statement that has used
/// half of its waiting time is overdue, and one of a few starts goes to the oldest overdue one. An
/// urgent statement therefore waits behind at most one less urgent statement.
///
///     dispatch_queue<work_ptr> queue;
///     queue.push(waiting, item);
///     queue.serve(now, has_room, [&](const work_ptr& each) { return try_start(each); });

namespace bulrushlift::sql {

/// What the place of a statement in the queue depends on.
struct waiting_statement {
  customer_id customer;
  int priority = 0;             ///< Of its route; 0 is the most urgent.
  bool is_for_primary = false;  ///< It can run on the primary only.
  std::uint64_t start_tag = 0;  ///< Its turn among the customers; 0 if not assigned.
  time_point arrived{};
  time_point wait_end{};  ///< When it is refused if it still waits.
};

/// Waiting statements ahead of a new one, by priority.
using statements_ahead = std::map<int, std::size_t>;

/// @return whether the statement has used half of the time for which it may wait.
[[nodiscard]] bool is_overdue(const waiting_statement& statement, time_point now) noexcept;

/// @return whether `a` is served before `b` if neither is overdue.
[[nodiscard]] bool precedes(const waiting_statement& a, const waiting_statement& b);

/// @param waiting statements of all customers that wait.
/// @param of_customer those of the customer that wants to add another one.
/// @return whether the customer has so much of a long queue that another statement of it is refused.
[[nodiscard]] bool exceeds_queue_share(std::size_t waiting, std::size_t of_customer) noexcept;

/// Decides when an overdue statement goes before more urgent ones.
class overdue_turns {
 public:
  /// @return whether the next start goes to the oldest overdue statement.
  [[nodiscard]] bool is_due() const noexcept;
  /// A statement was started while a less urgent one was overdue.
  void on_passed() noexcept { ++passed_; }
  void on_overdue_started() noexcept { passed_ = 0; }

 private:
  std::uint32_t passed_ = 0;  ///< Starts ahead of an overdue statement since the last one of those.
};

/// @tparam Handle names a statement; cheap to copy, for example a shared pointer.
template <std::equality_comparable Handle>
class dispatch_queue {
 public:
  struct entry {
    waiting_statement statement;
    Handle handle;
  };

  /// Adds a statement. One without a start tag gets one; a retried statement keeps its own.
  /// @return its start tag.
  std::uint64_t push(waiting_statement statement, Handle handle) {
    if (statement.start_tag == 0) statement.start_tag = start_tags_.allocate(statement.customer);
    const auto tag = statement.start_tag;
    const auto position = std::find_if(entries_.begin(), entries_.end(), [&](const entry& each) {
      return precedes(statement, each.statement);
    });
    entries_.insert(position, {std::move(statement), std::move(handle)});
    return tag;
  }

  void erase(const Handle& handle) {
    entries_.remove_if([&](const entry& each) { return each.handle == handle; });
  }

  /// Starts statements in their order.
  /// @param has_room whether any statement can be started; asked before each.
  /// @param try_start starts the statement of a handle if a connection and a slot are free for it,
  ///   and returns whether it did. May push statements, but must not remove any.
  template <std::predicate HasRoom, std::predicate<const Handle&> TryStart>
  void serve(time_point now, const HasRoom& has_room, const TryStart& try_start) {
    bool may_try_overdue = true;
    for (auto it = entries_.begin(); it != entries_.end() && has_room();) {
      const auto overdue = oldest_overdue(it->statement.priority, now);
      if (may_try_overdue && overdue != entries_.end() && turns_.is_due()) {
        may_try_overdue = try_start(overdue->handle);
        if (may_try_overdue) {
          turns_.on_overdue_started();
          erase_started(overdue);
        }
        continue;
      }
      const auto next = std::next(it);
      if (try_start(it->handle)) {
        if (overdue != entries_.end()) turns_.on_passed();
        erase_started(it);
      }
      it = next;
    }
  }

  /// Removes the statements that may wait no longer.
  [[nodiscard]] std::vector<Handle> take_expired(time_point now) {
    return take_entries([now](const entry& each) { return each.statement.wait_end <= now; });
  }

  /// Removes the statements for whose handles the predicate holds.
  template <std::predicate<const Handle&> Predicate>
  [[nodiscard]] std::vector<Handle> take_if(const Predicate& is_taken) {
    return take_entries([&](const entry& each) { return is_taken(each.handle); });
  }

  /// @return the statements that would be ahead of a new one on the same kind of target.
  [[nodiscard]] statements_ahead ahead_of(waiting_statement statement) const {
    statements_ahead ahead;
    if (statement.start_tag == 0) statement.start_tag = start_tags_.peek(statement.customer);
    for (const auto& each : entries_) {
      if (precedes(statement, each.statement)) break;
      if (each.statement.is_for_primary == statement.is_for_primary) ++ahead[each.statement.priority];
    }
    return ahead;
  }

  [[nodiscard]] std::size_t count_of(const customer_id& customer) const {
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const entry& each) {
      return each.statement.customer == customer;
    }));
  }

  [[nodiscard]] std::optional<time_point> oldest_arrival() const {
    std::optional<time_point> oldest;
    for (const auto& each : entries_) {
      if (!oldest || each.statement.arrived < *oldest) oldest = each.statement.arrived;
    }
    return oldest;
  }

  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }

 private:
  template <class Predicate>
  [[nodiscard]] std::vector<Handle> take_entries(const Predicate& is_taken) {
    std::vector<Handle> taken;
    entries_.remove_if([&](const entry& each) {
      if (!is_taken(each)) return false;
      taken.push_back(each.handle);
      return true;
    });
    return taken;
  }

  using iterator = typename std::list<entry>::iterator;

  /// @return the overdue statement that arrived first among those less urgent than `priority`.
  [[nodiscard]] iterator oldest_overdue(int priority, time_point now) {
    auto oldest = entries_.end();
    // The least urgent statements are last.
    for (auto it = entries_.end(); it != entries_.begin();) {
      --it;
      if (it->statement.priority <= priority) break;
      if (!is_overdue(it->statement, now)) continue;
      if (oldest == entries_.end() || it->statement.arrived < oldest->statement.arrived) oldest = it;
    }
    return oldest;
  }

  void erase_started(iterator it) {
    start_tags_.on_served(it->statement.start_tag);
    entries_.erase(it);
  }

  start_tag_allocator start_tags_;
  overdue_turns turns_;
  std::list<entry> entries_;
};

}  // namespace bulrushlift::sql
