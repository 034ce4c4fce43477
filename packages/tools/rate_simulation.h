#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "limits/tokens.h"

/// @file
/// Discrete-event simulation of VMs, network and traffic for the comparison of
/// rate-limiting policies, and the measures of a run.

namespace bulrushlift {

/// Traffic pattern and fault of a run. A fault starts after a third of the
/// measured time and ends after half of it.
enum class rate_scenario {
  even,          ///< Each request goes to a random VM.
  concentrated,  ///< All callers of a customer are on one VM.
  moving,        ///< As `concentrated`, but the callers move to the next VM every 2 s.
  over_5,        ///< One customer sends 5 times its rate.
  over_20,       ///< One customer sends 20 times its rate.
  vm_lost,       ///< A VM other than the largest customer's budget holder is lost and then replaced.
  holder_lost,   ///< The budget holder of the largest customer is lost and then replaced.
  partition,     ///< A network partition separates two VMs from the others.
};

[[nodiscard]] const char* name_of(rate_scenario scenario) noexcept;

struct rate_customer {
  std::string name;
  budget_share share;
};

struct rate_settings {
  std::size_t vms = 5;
  std::size_t customers = 8;
  rate_scenario scenario = rate_scenario::even;
  double load = 0.8;  ///< Share of its rate that a customer sends, unless the scenario exceeds the rate.
  duration warm_up = std::chrono::seconds{10};
  duration measured = std::chrono::seconds{60};
  std::uint64_t seed = 20261204;
};

struct rate_request {
  duration at{};
  std::size_t customer = 0;
  std::size_t vm = 0;
};

struct rate_measures {
  std::size_t customers_over = 0;  ///< Customers that got more than rate and burst allow in some window.
  double wrongful_percent = 0;     ///< Wrongly refused share of the requests of customers within their rate.
  double worst_served_percent = 100;  ///< Smallest share not wrongly refused, over these customers.
  double over_rate_percent = 100;  ///< Admissions of a customer over its rate, relative to one global bucket.
  double wait_p50_ms = 0;
  double wait_p99_ms = 0;
  double messages_per_vm_second = 0;
};

/// One simulated run: the clock, the VMs and the network. Policies call `send`, `at` and
/// `record_decision`; `run` calls the policy's functions.
class rate_simulation {
 public:
  explicit rate_simulation(const rate_settings& settings);

  [[nodiscard]] const rate_settings& settings() const noexcept { return settings_; }
  [[nodiscard]] const std::vector<rate_customer>& customers() const noexcept { return customers_; }
  [[nodiscard]] std::size_t vms() const noexcept { return alive_.size(); }
  [[nodiscard]] bool is_alive(std::size_t vm) const { return alive_[vm]; }
  [[nodiscard]] duration elapsed() const noexcept { return now_; }
  [[nodiscard]] time_point now() const noexcept { return time_point{std::chrono::seconds{1'000}} + now_; }
  /// Sets the budget holder of the largest customer. The policy calls it; the loss scenarios
  /// take down this VM or the next one.
  void set_holder(std::size_t vm) { holder_ = vm; }

  /// Runs `task` on a VM at time `when`, unless the VM has stopped or restarted by then.
  void at(time_point when, std::size_t vm, std::function<void()> task);
  /// Sends a message: runs `task` on the receiver after the network latency, unless the message is lost.
  void send(std::size_t from, std::size_t to, std::function<void()> task);
  /// Records whether a request was admitted or refused.
  void record_decision(std::size_t request, bool is_admitted);

  /// Runs the whole scenario.
  /// @param on_request called for each request that arrives at a VM.
  /// @param on_restart called when a VM has restarted with its state lost.
  void run(const std::function<void(std::size_t request, const rate_request&)>& on_request,
           const std::function<void(std::size_t vm)>& on_restart);

  [[nodiscard]] rate_measures measures() const;

 private:
  struct event {
    duration when{};
    std::uint64_t number = 0;
    std::function<void()> task;
    friend bool operator<(const event& a, const event& b) {
      return std::pair{a.when, a.number} > std::pair{b.when, b.number};
    }
  };
  struct customer_tally {
    std::uint64_t sent = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t ideal = 0;  ///< Requests that one global bucket would admit.
    bool is_over = false;
  };

  void make_customers();
  void make_traffic();
  void schedule(duration when, std::function<void()> task);
  void schedule_faults(const std::function<void(std::size_t)>& on_restart);
  [[nodiscard]] bool is_partitioned(std::size_t a, std::size_t b) const;

  rate_settings settings_;
  duration now_{};
  std::uint64_t last_event_number_ = 0;
  std::priority_queue<event> events_;
  std::vector<rate_customer> customers_;
  std::vector<rate_request> requests_;
  std::vector<bool> alive_;
  std::vector<std::uint64_t> incarnations_;
  std::size_t holder_ = 0;
  bool is_partitioned_ = false;
  std::uint64_t messages_ = 0;
  std::vector<customer_tally> tallies_;
  std::vector<double> bucket_levels_;  ///< Global buckets charged with the admitted requests.
  std::vector<duration> levels_updated_at_;
  std::vector<float> waits_ms_;
};

}  // namespace bulrushlift
