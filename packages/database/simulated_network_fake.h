#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "base/clock.h"

/// @file
/// Virtual time and a network whose links and nodes fail on command.

namespace bulrushlift::simulation {

using node_id = std::size_t;

/// Runs callbacks in the order of virtual time. Runs with the same seed are identical.
class simulated_network {
 public:
  using callback = std::function<void()>;

  simulated_network(std::size_t nodes, std::uint32_t seed);

  /// @return the true virtual time; nodes see only their own clocks.
  [[nodiscard]] time_point now() const noexcept { return now_; }
  /// @return the time of the node's clock, which runs at its own rate.
  [[nodiscard]] time_point clock(node_id node) const;
  /// @param permille deviation of the rate, for example -10 for a clock that is 1 % slow.
  void set_clock_rate(node_id node, int permille);

  /// Runs everything that is due within the next `step`.
  void advance(duration step);

  /// Runs `run` after `delay` whatever the state of the nodes, for example to end a fault.
  void schedule(duration delay, callback run);
  /// Runs `work` on the node after `delay`: when its pause ends if it is paused then, never if it crashes
  /// before.
  void after(node_id node, duration delay, callback work);
  /// Runs `work` on the node at once, or when its pause ends; never if the node is down.
  void run_on(node_id node, callback work);

  /// Sends a message; it is lost if the link is cut when it is sent or when it arrives.
  /// @param on_arrival runs at the receiver.
  /// @param on_refused runs at the sender, after another transit, if the receiver is down.
  /// @param may_duplicate whether the fault "duplicate" applies to this message.
  void send(node_id from, node_id to, const callback& on_arrival, const callback& on_refused = {},
            bool may_duplicate = true);

  // Faults. Cuts, delays, duplicates and drops apply to one direction of a link.

  void cut(node_id from, node_id to) { links_[{from, to}].is_cut = true; }
  void restore(node_id from, node_id to) { links_[{from, to}].is_cut = false; }
  void set_delay(node_id from, node_id to, duration delay) { links_[{from, to}].delay = delay; }
  void duplicate_next(node_id from, node_id to) { ++links_[{from, to}].duplicates; }
  void drop_next(node_id from, node_id to) { ++links_[{from, to}].drops; }
  void heal_links() { links_.clear(); }
  void pause(node_id node) { nodes_[node].is_paused = true; }
  void resume(node_id node);
  void crash(node_id node);
  void start(node_id node) { nodes_[node].is_down = false; }
  [[nodiscard]] bool is_down(node_id node) const { return nodes_[node].is_down; }
  [[nodiscard]] bool is_paused(node_id node) const { return nodes_[node].is_paused; }
  /// @return how often the node has crashed; replies that belong to a lower number must be ignored.
  [[nodiscard]] std::uint64_t starts(node_id node) const { return nodes_[node].starts; }
  [[nodiscard]] bool is_cut(node_id from, node_id to) const;

 private:
  struct link_state {
    bool is_cut = false;
    duration delay{};
    int duplicates = 0;
    int drops = 0;
  };
  struct node_state {
    bool is_down = false;
    bool is_paused = false;
    std::uint64_t starts = 0;  ///< Number of crashes; tasks from before the last one don't run.
    int clock_permille = 0;
    std::deque<callback> backlog;
  };
  struct task {
    time_point at;
    std::uint64_t order;
    callback run;
    bool operator>(const task& other) const {
      return std::pair{at, order} > std::pair{other.at, other.order};
    }
  };

  void deliver(node_id from, node_id to, const callback& on_arrival, const callback& on_refused);
  [[nodiscard]] duration random_latency(const link_state& link);

  time_point start_{std::chrono::seconds{1'000}};
  time_point now_ = start_;
  std::uint64_t last_order_ = 0;
  std::mt19937 random_;
  std::vector<node_state> nodes_;
  std::map<std::pair<node_id, node_id>, link_state> links_;
  std::priority_queue<task, std::vector<task>, std::greater<>> tasks_;
};

}  // namespace bulrushlift::simulation
