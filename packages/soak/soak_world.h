#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "soak/soak_caller.h"
#include "soak/soak_oracle.h"
#include "soak/soak_plan.h"
#include "standins/child_process.h"
#include "standins/fault_proxy.h"
#include "standins/session_database.h"
#include "standins/session_platform.h"

/// @file
/// A deployment under faults: proxies as processes of their own, stand-ins for platform
/// and database, callers, and the ways between them through fault proxies.

namespace bulrushlift::soak {

inline constexpr std::size_t ports_per_vm = 4;

struct soak_options {
  std::uint64_t seed = 1;
  std::chrono::milliseconds span{10'000};  ///< Of the traffic under faults.
  std::size_t vms = 3;
  std::size_t callers = 12;
  /// Four for each VM; empty: free ones are chosen. Runs in sequence share them, because a
  /// port is unused while its VM restarts and another process could take it then.
  std::vector<std::uint16_t> ports;
  std::string daemon;  ///< Path of bulrushliftd.
  std::string folder;  ///< For settings and logs; made anew.
};

struct soak_outcome {
  std::vector<violation> violations;
  std::size_t done = 0;     ///< Operations that succeeded.
  std::size_t refused = 0;  ///< Operations of which nothing is kept.
  std::size_t unknown = 0;
  std::size_t faults = 0;
  std::size_t promotions = 0;
};

class soak_world {
 public:
  explicit soak_world(soak_options options);
  soak_world(const soak_world&) = delete;
  soak_world& operator=(const soak_world&) = delete;
  ~soak_world();

  /// Plays the faults, ends them, and waits until every VM serves again.
  [[nodiscard]] soak_outcome run();

 private:
  struct vm {
    std::string name;
    std::vector<std::uint16_t> ports;  ///< Callers, readiness, peers, metrics.
    std::unique_ptr<fault_proxy> callers_way;
    std::unique_ptr<fault_proxy> store_way;
    std::unique_ptr<child_process> process;
    bool is_ending = false;  ///< SIGTERM was sent.
  };

  void make_vms();
  void start_vm(vm& each);
  void publish();
  void announce(const std::string& target, const std::string& state);
  void on_promotion(const std::string& target);
  void apply(const fault& each);
  void apply_to_vm(const fault& each, vm& affected);
  void apply_to_store(const fault& each);
  void apply_to_target(const fault& each, const std::string& target);
  void after(std::chrono::milliseconds delay, std::function<void()> callback);
  void reap();
  void end_faults();
  [[nodiscard]] bool await(const std::function<bool()>& condition);
  void check_recovery();
  void check_runs();
  void check_transactions();
  [[nodiscard]] net_address pick_vm();

  soak_options options_;
  event_loop loop_;
  std::mt19937_64 random_;
  soak_oracle oracle_;
  std::map<std::string, sent_statement> sent_;
  caller_context callers_context_;
  std::unique_ptr<session_platform> platform_;
  std::unique_ptr<session_database> database_;
  std::map<std::string, std::unique_ptr<fault_proxy>> target_ways_;
  std::vector<vm> vms_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  std::uint64_t version_ = 0;
  scoped_timer reap_timer_;
};

}  // namespace bulrushlift::soak
