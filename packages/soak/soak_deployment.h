#pragma once

#include <fstream>
#include <map>
#include <memory>
#include <set>
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
/// A deployment under faults: proxies as separate processes, stand-ins for platform and
/// database, simulated callers, and fault proxies on the connections between them.

namespace bulrushlift::soak {

inline constexpr std::size_t ports_per_vm = 4;

struct soak_options {
  std::uint64_t seed = 1;
  std::chrono::milliseconds span{10'000};  ///< Length of the traffic under faults.
  std::size_t vms = 3;
  std::size_t callers = 12;
  std::set<fault_kind> only = {};                              ///< Kinds of faults to inject; all if empty.
  std::chrono::milliseconds spacing = plan_options{}.spacing;  ///< Average time between two faults.
  /// `ports_per_vm` ports for each VM; if empty, free ports are chosen. Consecutive runs use the
  /// same ports, because another process could take a port while its VM restarts.
  std::vector<std::uint16_t> ports;
  std::string daemon;  ///< Path of bulrushliftd.
  std::string folder;  ///< For settings and logs; deleted and created again.
};

/// Result of one soak run.
struct soak_outcome {
  std::vector<violation> violations;
  std::size_t done = 0;     ///< Operations that succeeded.
  std::size_t refused = 0;  ///< Operations of which nothing was committed.
  std::size_t unknown = 0;  ///< Operations whose outcome is unknown.
  std::size_t faults = 0;
  std::size_t promotions = 0;
};

/// Owns the processes, stand-ins and callers of one soak run.
class soak_deployment {
 public:
  explicit soak_deployment(soak_options options);
  soak_deployment(const soak_deployment&) = delete;
  soak_deployment& operator=(const soak_deployment&) = delete;
  ~soak_deployment();

  /// Injects the scheduled faults, ends them, waits until every caller is served again, and
  /// checks the recorded statements.
  [[nodiscard]] soak_outcome run();

 private:
  struct vm {
    std::string name;
    std::vector<std::uint16_t> ports;  ///< For callers, readiness, peers and metrics, in this order.
    std::unique_ptr<fault_proxy> caller_proxy;
    std::unique_ptr<fault_proxy> store_proxy;
    std::unique_ptr<child_process> process;
    bool is_terminating = false;  ///< SIGTERM was sent, so its exit is expected.
    time_point callers_reset{};   ///< When the connections of its callers were last reset.
  };

  void make_vms();
  void start_vm(vm& each);
  void publish_configuration();
  void publish_target(const std::string& target, const std::string& state);
  void on_promotion(const std::string& target);
  void apply(const fault& each);
  /// Appends a line to the journal of the run, which tells what happened when.
  void note(const std::string& text);
  void apply_to_vm(const fault& each, vm& affected);
  void apply_to_store(const fault& each);
  /// Kills and restarts all VMs, one after the other.
  void restart_vms(std::chrono::milliseconds length);
  /// Brings the store back from its copy; the operator and the targets then write their objects again.
  void restore_store();
  void apply_to_target(const fault& each, const std::string& target);
  void schedule_after(std::chrono::milliseconds delay, std::function<void()> callback);
  void restart_exited_vms();
  void end_faults();
  [[nodiscard]] bool await(const std::function<bool()>& condition);
  void check_recovery();
  void check_statements();
  void check_transactions();
  /// Checks that each transaction at a target has statements of one transaction of one caller only.
  void check_isolation();
  void check_promotions();
  [[nodiscard]] net_address pick_vm();
  /// A VM closed the connection of a caller that waits for an answer.
  void on_unanswered(const net_address& address, const std::string& statement);

  soak_options options_;
  std::ofstream journal_;
  event_loop loop_;
  std::mt19937_64 random_;
  soak_oracle oracle_;
  std::map<std::string, sent_statement> sent_;
  caller_context caller_context_;
  std::unique_ptr<session_platform> platform_;
  std::unique_ptr<session_database> database_;
  std::map<std::string, std::unique_ptr<fault_proxy>> target_proxies_;
  std::vector<vm> vms_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  /// VMs that shut down without an answer to these statements. A statement that no target has run may have
  /// crossed the end of its session.
  std::map<std::string, std::string> unanswered_;
  std::uint64_t version_ = 0;
  std::map<std::string, std::string> target_states_;  ///< State that each target reported last.
  std::uint64_t last_report_ = 0;                     ///< Sequence number of the newest report of any target.
  scoped_timer restart_timer_;
};

}  // namespace bulrushlift::soak
