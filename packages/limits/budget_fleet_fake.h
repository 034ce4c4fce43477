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

/// @file
/// A fleet of budget controllers in simulated time, with faults, and the oracle
/// that watches it: one global token bucket for each customer.

namespace bulrushlift {

/// A token bucket in true time whose rate and burst are the largest of all
/// documents that may be in force.
class global_bucket_oracle {
 public:
  /// Adds a document that may be in force from `now` on.
  void add(std::uint64_t generation, const budget_share& share, duration now);
  /// Ends a document; nothing that it allowed may be spent any more.
  void remove(std::uint64_t generation, duration now);
  /// @return whether the bucket had the tokens.
  [[nodiscard]] bool spend(millitokens cost, duration now);
  [[nodiscard]] budget_share largest() const;

 private:
  void settle(duration now);

  std::map<std::uint64_t, budget_share> documents_;
  double level_ = 0;
  duration settled_{};
};

/// The steps of a loan at which the fault matrix places faults.
enum class loan_step { ask, grant, receive, use, report_use, expire, apply_document };

/// How messages travel.
struct message_conditions {
  unsigned loss_percent = 0;
  unsigned duplicate_percent = 0;
  unsigned delay_percent = 0;  ///< Delayed by up to `delay_max`, which also reorders.
  duration delay_max = std::chrono::milliseconds{600};
};

class budget_fleet {
 public:
  /// @param clocks speed of each VM's clock in thousandths, 990 to 1010.
  budget_fleet(const std::vector<unsigned>& clocks, budget_document document, std::uint64_t seed,
               budget_options options = {}, budget_test_faults faults = {});

  void advance(duration span);
  void admit(std::size_t instance, const customer_id& customer, millitokens cost);
  void set_conditions(const message_conditions& conditions) { conditions_ = conditions; }
  /// Messages that wait to be delivered are lost, too.
  void lose_messages() { messages_.clear(); }
  void set_partition(std::size_t a, std::size_t b, bool is_cut);
  void heal();
  void pause(std::size_t instance, duration span);
  void crash(std::size_t instance);
  /// Starts a successor while the old instance runs on for up to 7 s.
  void replace(std::size_t instance);
  /// Puts a document in force: each instance gets it at a random time within 7 s.
  void publish(budget_document document);
  /// Adds a VM to the document and starts it.
  void add_vm();
  /// Whether the VM list has not changed for two dissemination bounds.
  [[nodiscard]] bool can_change_vms() const;

  /// Is called at each step, before its message leaves or its effect is used.
  std::function<void(loan_step, std::size_t instance)> on_step;

  [[nodiscard]] const budget_document& document() const { return document_; }
  [[nodiscard]] std::size_t instances() const { return instances_.size(); }
  [[nodiscard]] duration now() const { return now_; }
  [[nodiscard]] std::uint64_t admitted_count() const { return admitted_; }
  [[nodiscard]] std::uint64_t refused_count() const { return refused_; }
  /// The first time at which a customer got more than rate and burst, or tokens
  /// held anywhere exceeded the burst.
  [[nodiscard]] const std::optional<std::string>& violation() const { return violation_; }

 private:
  struct instance {
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::unique_ptr<budget_controller> budgets;
    unsigned clock = 1'000;
    duration paused_until{};
    std::optional<duration> stops;                ///< A superseded instance stops by then.
    std::map<std::uint64_t, duration> documents;  ///< Documents on the way to it.
    std::map<budget_ticket, std::pair<customer_id, millitokens>> waiting;
    std::vector<duration> expiries;  ///< When its lots expire, in the order of receipt.
  };
  struct message {
    vm_id from;
    vm_id to;
    /// 0 for the newest instance. A reply travels on the connection of its
    /// request, which ends with the process.
    std::uint64_t to_incarnation = 0;
    duration due{};
    std::variant<loan_request, loan_reply> body;
  };

  [[nodiscard]] time_point local_time(const instance& each) const;
  [[nodiscard]] duration true_time(const instance& each, time_point local) const;
  [[nodiscard]] std::size_t receiver(const message& each) const;
  [[nodiscard]] bool is_cut(const vm_id& a, const vm_id& b) const;
  [[nodiscard]] duration next_event(duration until) const;
  [[nodiscard]] unsigned percent() { return static_cast<unsigned>(random_() % 100); }
  void start(vm_id vm, unsigned clock);
  void run_due();
  void deliver(message each);
  void run_instance(std::size_t index);
  void do_actions(std::size_t index, const budget_actions& actions);
  void send(message each);
  void step(loan_step what, std::size_t index);
  void spend(const customer_id& customer, millitokens cost);
  void end_documents();
  void check_holdings();

  budget_options options_;
  budget_test_faults faults_;
  std::mt19937_64 random_;
  duration now_{};
  std::uint64_t generation_ = 0;
  std::uint64_t starts_ = 0;
  budget_document document_;
  std::map<std::uint64_t, budget_document> documents_;
  std::map<std::uint64_t, duration> ends_;  ///< When a superseded document is out of force.
  duration vms_changed_{};
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<message> messages_;
  std::set<std::pair<vm_id, vm_id>> cuts_;
  message_conditions conditions_;
  std::map<customer_id, global_bucket_oracle> oracles_;
  std::uint64_t admitted_ = 0;
  std::uint64_t refused_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace bulrushlift
