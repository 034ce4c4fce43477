#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "fleet/membership_controller.h"

/// @file
/// Simulates the network and the clock for many membership controllers in one process.
/// Used by tests and benchmarks. Equal seeds give equal runs.

namespace bulrushlift {

/// Faults and delays of the simulated network.
struct simulated_network {
  double loss = 0;       ///< Probability that a datagram is lost.
  double duplicate = 0;  ///< Probability that a datagram arrives twice.
  duration min_delay = std::chrono::microseconds{500};
  duration max_delay = std::chrono::microseconds{1'500};
};

/// A fleet of membership controllers on a simulated network.
class membership_simulator {
 public:
  /// One process. Several processes may have the same VM name.
  struct instance {
    member self;
    std::unique_ptr<membership_controller> controller;
    bool is_running = true;
    bool is_paused = false;
    std::vector<std::function<void()>> backlog;  ///< Events that arrived during a pause.
  };
  using send_observer = std::function<void(std::size_t from, const send_membership&)>;
  using change_observer = std::function<void(std::size_t at, const member&)>;

  membership_simulator(membership_options options, std::uint64_t seed) : options_(options), random_(seed) {}

  /// Starts a process with its own address.
  /// @return its index.
  std::size_t start(const vm_id& vm, const std::vector<std::size_t>& seeds) {
    const auto index = instances_.size();
    const auto address = std::to_string(index) + ":7000";
    member self{vm, address, data_centre_id{"tanta"}, wall_clock(), member_state::alive};
    auto controller = std::make_unique<membership_controller>(self, options_);
    std::vector<member_seed> known;
    for (const auto seed : seeds) {
      const auto& other = instances_[seed].self;
      known.push_back({other.vm, other.address, other.data_centre});
    }
    (void)controller->set_seeds(known, now());
    instances_.push_back({self, std::move(controller), true, false, {}});
    by_address_[address] = index;
    at(now() + random_duration(duration{}, options_.period), [this, index] { tick(index); });
    return index;
  }

  /// Makes the newest process of each VM name a seed of all processes.
  void share_seeds() {
    std::map<vm_id, member_seed> seeds;
    for (const auto& it : instances_) seeds[it.self.vm] = {it.self.vm, it.self.address, it.self.data_centre};
    std::vector<member_seed> all;
    all.reserve(seeds.size());
    for (const auto& [vm, seed] : seeds) all.push_back(seed);
    for (auto& it : instances_) (void)it.controller->set_seeds(all, now());
  }

  void crash(std::size_t index) {
    instances_[index].is_running = false;
    instances_[index].backlog.clear();
  }
  void pause(std::size_t index) { instances_[index].is_paused = true; }
  void resume(std::size_t index) {
    auto& it = instances_[index];
    it.is_paused = false;
    auto backlog = std::exchange(it.backlog, {});
    for (auto& event : backlog) event();
  }
  void leave(std::size_t index) { handle(index, instances_[index].controller->leave(now())); }
  /// Blocks datagrams and leave messages from one process to another; the other direction stays open.
  void block(std::size_t from, std::size_t to) { blocked_.emplace(from, to); }
  void unblock_all() { blocked_.clear(); }
  void set_network(simulated_network network) { network_ = network; }

  void run_for(duration span) {
    const auto end = now() + span;
    while (!events_.empty() && events_.top().when <= end) {
      auto event = events_.top();
      events_.pop();
      clock_.advance(event.when - now());
      event.run();
    }
    clock_.advance(end - now());
  }

  [[nodiscard]] time_point now() const noexcept { return clock_.now(); }
  [[nodiscard]] const std::vector<instance>& instances() const noexcept { return instances_; }
  /// @return the real time that the calls of all controllers took; for benchmarks.
  [[nodiscard]] duration controller_time() const noexcept { return controller_time_; }
  /// Called for each sent datagram and each change of a member, if set.
  send_observer on_send;
  change_observer on_change;

 private:
  struct timed_event {
    time_point when;
    std::uint64_t order = 0;
    std::function<void()> run;
    friend bool operator<(const timed_event& left, const timed_event& right) {
      return std::pair{left.when, left.order} > std::pair{right.when, right.order};
    }
  };

  [[nodiscard]] incarnation_id wall_clock() const {
    const auto since_start = std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch());
    return incarnation_id{1'700'000'000'000 + static_cast<std::uint64_t>(since_start.count())};
  }
  duration random_duration(duration shortest, duration longest) {
    return duration{std::uniform_int_distribution<duration::rep>{shortest.count(), longest.count()}(random_)};
  }
  bool happens(double probability) { return std::bernoulli_distribution{probability}(random_); }

  template <class Call>
  membership_actions timed(Call call) {
    const auto start = std::chrono::steady_clock::now();
    auto actions = call();
    controller_time_ += std::chrono::steady_clock::now() - start;
    return actions;
  }

  void at(time_point when, std::function<void()> run) { events_.push({when, ++order_, std::move(run)}); }

  /// Runs `run` now, or when the process resumes if it is paused. Does nothing if it has crashed.
  void run_at_instance(std::size_t index, std::function<void()> run) {
    auto& it = instances_[index];
    if (!it.is_running) return;
    if (it.is_paused) {
      it.backlog.push_back(std::move(run));
    } else {
      run();
    }
  }

  void tick(std::size_t index) {
    run_at_instance(index, [this, index] {
      auto& controller = *instances_[index].controller;
      handle(index, timed([&] { return controller.on_timer(now(), random_()); }));
      if (!controller.is_stopped())
        at(std::max(controller.next_timer(), now()), [this, index] { tick(index); });
    });
  }

  void handle(std::size_t index, const membership_actions& actions) {
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<send_membership>(&action)) transmit(index, *send);
      if (const auto* changed = std::get_if<member_changed>(&action); changed && on_change) {
        on_change(index, changed->now);
      }
      if (const auto* leave = std::get_if<send_leave>(&action)) transmit_leave(index, *leave);
    }
  }

  void transmit(std::size_t from, const send_membership& send) {
    if (on_send) on_send(from, send);
    const auto to = by_address_.find(send.address);
    if (to == by_address_.end() || blocked_.contains({from, to->second})) return;
    const int copies = happens(network_.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (happens(network_.loss)) continue;
      at(now() + random_duration(network_.min_delay, network_.max_delay),
         [this, from, index = to->second, message = send.message] { deliver(from, index, message); });
    }
  }
  void deliver(std::size_t from, std::size_t index, const membership_message& message) {
    run_at_instance(index, [this, from, index, message] {
      handle(index, instances_[index].controller->on_message(message, instances_[from].self.address, now(),
                                                             random_()));
    });
  }
  void transmit_leave(std::size_t from, const send_leave& leave) {
    const auto to = by_address_.find(leave.address);
    if (to == by_address_.end() || blocked_.contains({from, to->second})) return;
    at(now() + network_.max_delay, [this, index = to->second, vm = instances_[from].self.vm, leave] {
      run_at_instance(index, [this, index, vm, leave] {
        handle(index, instances_[index].controller->on_leave(vm, leave.incarnation, now()));
      });
    });
  }

  membership_options options_;
  std::mt19937_64 random_;
  manual_clock clock_;
  simulated_network network_;
  std::vector<instance> instances_;
  std::map<std::string, std::size_t> by_address_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_;
  std::priority_queue<timed_event> events_;
  std::uint64_t order_ = 0;
  duration controller_time_{};
};

}  // namespace bulrushlift
