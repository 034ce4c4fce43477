#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "limits/budget_controller.h"
#include "limits/window_oracle_fake.h"

/// @file
/// A fleet of budget controllers in simulated time, with fault injection and an oracle: one
/// global token bucket for each customer, or one count over the window if the options name one.

namespace bulrushlift {

/// A token bucket in true time whose rate and burst are the highest of all documents that
/// may be in force.
class global_bucket_oracle {
 public:
  /// Adds a document that may be in force from `now` on.
  void add(std::uint64_t generation, const budget_share& share, duration now);
  /// Removes a document that is no longer in force on any VM.
  void remove(std::uint64_t generation, duration now);
  /// Takes `cost` from the bucket.
  /// @return whether the bucket had as many tokens.
  [[nodiscard]] bool spend(millitokens cost, duration now);
  /// @return the highest rate and the highest capacity of all documents.
  [[nodiscard]] budget_share largest_limit() const;

 private:
  void refill_to(duration now);

  std::map<std::uint64_t, budget_share> documents_;
  double level_ = 0;
  duration refilled_to_{};
};

/// The steps of a loan at which the fault matrix injects faults.
enum class loan_step { ask, grant, receive, use, report_use, expire, apply_document };

/// Loss, duplication and delay of the messages between VMs.
struct message_conditions {
  unsigned loss_percent = 0;
  unsigned duplicate_percent = 0;
  unsigned delay_percent = 0;  ///< Delayed by up to `delay_max`, which also reorders.
  duration delay_max = std::chrono::milliseconds{600};
};

/// Simulates VMs with clocks of different speeds, the messages between them and the
/// dissemination of documents. Indexes refer to the processes that run; a VM has two of
/// them while one replaces the other.
class budget_fleet {
 public:
  /// @param clocks speed of each VM's clock in thousandths of true time, 990 to 1010.
  budget_fleet(const std::vector<unsigned>& clocks, budget_document document, std::uint64_t seed,
               budget_options options = {}, budget_test_faults faults = {});

  /// Runs all events of the next `span` of true time.
  void advance(duration span);
  /// Sends a request to a process; does nothing while the process is paused.
  /// @param priority 0 is the most urgent.
  void admit(std::size_t instance, const customer_id& customer, millitokens cost, int priority = 0);
  void set_conditions(const message_conditions& conditions) { conditions_ = conditions; }
  /// Drops all messages that have not been delivered yet.
  void lose_messages() { messages_.clear(); }
  void set_partition(std::size_t a, std::size_t b, bool is_partitioned);
  /// Ends all partitions and resets the message conditions.
  void heal();
  void pause(std::size_t instance, duration span);
  /// Ends a process and starts its successor at once, unless one runs already.
  void crash(std::size_t instance);
  /// Starts a successor while the old process runs on, for up to 6.9 s or the start delay if there is one.
  void replace(std::size_t instance);
  /// Publishes a document; each process gets it at a random time within the dissemination bound.
  void publish(budget_document document);
  /// Adds a VM to the document and starts it.
  void add_vm();
  /// @return whether the VM list has not changed for two dissemination bounds.
  [[nodiscard]] bool can_change_vms() const;

  /// Called at each step of a loan, so that a test can inject a fault there.
  std::function<void(loan_step, std::size_t instance)> on_step;

  [[nodiscard]] const budget_document& document() const { return document_; }
  [[nodiscard]] std::size_t instances() const { return instances_.size(); }
  [[nodiscard]] duration now() const { return now_; }
  [[nodiscard]] std::uint64_t admitted_count() const { return admitted_; }
  [[nodiscard]] std::uint64_t refused_count() const { return refused_; }
  /// @return the first violation: a customer spent more than its rate and burst, or its
  ///   tokens on all VMs together exceeded the burst.
  [[nodiscard]] const std::optional<std::string>& violation() const { return violation_; }

 private:
  /// One process of a VM.
  struct instance {
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::unique_ptr<budget_controller> budgets;
    unsigned clock_speed = 1'000;
    duration paused_until{};
    std::optional<duration> stops_at;             ///< Set on a superseded process.
    std::map<std::uint64_t, duration> documents;  ///< Arrival times of documents that it has not received.
    std::map<budget_ticket, std::pair<customer_id, millitokens>> waiting;
    std::vector<duration> expiries;  ///< Expiry of its borrowed tokens, in the order of receipt.
  };
  struct message {
    vm_id from;
    vm_id to;
    /// 0 addresses the newest process of the VM. A reply uses the connection of its request,
    /// which ends with the process.
    std::uint64_t to_incarnation = 0;
    duration due{};
    std::variant<loan_request, loan_reply> body;
  };

  [[nodiscard]] time_point local_time(const instance& each) const;
  [[nodiscard]] duration true_time(const instance& each, time_point local) const;
  [[nodiscard]] std::size_t receiver(const message& each) const;
  [[nodiscard]] bool is_partitioned(const vm_id& a, const vm_id& b) const;
  [[nodiscard]] duration next_event(duration until) const;
  [[nodiscard]] unsigned percent() { return static_cast<unsigned>(random_() % 100); }
  void start(vm_id vm, unsigned clock_speed);
  void run_due();
  void deliver(message each);
  void run_instance(std::size_t index);
  void run_actions(std::size_t index, const budget_actions& actions);
  void send(message each);
  void step(loan_step what, std::size_t index);
  void spend(const customer_id& customer, millitokens cost);
  void retire_documents();
  void note_restart();
  void check_total_tokens();

  budget_options options_;
  budget_test_faults faults_;
  std::mt19937_64 random_;
  duration now_{};
  std::uint64_t generation_ = 0;
  std::uint64_t starts_ = 0;
  budget_document document_;
  std::map<std::uint64_t, budget_document> documents_;
  std::map<std::uint64_t, duration> end_times_;  ///< When a superseded document is no longer in force.
  std::map<vm_id, duration> last_starts_;
  duration vms_changed_{};
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<message> messages_;
  std::set<std::pair<vm_id, vm_id>> partitions_;
  message_conditions conditions_;
  std::map<customer_id, global_bucket_oracle> oracles_;
  std::map<customer_id, global_window_oracle> window_oracles_;  ///< Used if the options name a window.
  std::uint64_t admitted_ = 0;
  std::uint64_t refused_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace bulrushlift
