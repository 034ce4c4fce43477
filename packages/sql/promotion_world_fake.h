#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sql/failover_controller.h"

/// @file
/// A small world for failover controllers: three VMs, a service with a primary and two replicas of which one
/// has to confirm each commit, the platform's store and its promotions. Messages are delayed, lost and
/// carried out late; VMs crash, freeze and lose the store, which comes back older. The world keeps count of
/// acknowledged commits.

namespace bulrushlift::sql {

/// Probabilities, in percent, of a fault of one message.
struct promotion_faults {
  int lost_answer = 5;  ///< The message takes effect, and its answer is lost.
  int late = 5;         ///< It is carried out 2 to 12 s later, without an answer.
  int busy = 10;        ///< A target has no free slot.
  /// A VM may start while a message is under way of which only the lost history of the store told.
  bool has_starts_after_restore = false;
};

class promotion_world {
 public:
  promotion_world(std::uint64_t seed, const promotion_faults& faults);
  promotion_world(const promotion_world&) = delete;
  promotion_world& operator=(const promotion_world&) = delete;
  ~promotion_world();

  /// Runs the world. New faults occur only until `faulty_time`.
  void run(duration faulty_time, duration calm_time);

  /// @return the first acknowledged commit that a new primary lacked, or nothing.
  [[nodiscard]] const std::optional<std::string>& violation() const noexcept { return violation_; }
  [[nodiscard]] std::size_t promotions() const noexcept { return promotions_; }
  /// @return when a commit was last acknowledged.
  [[nodiscard]] time_point last_acknowledged() const noexcept { return last_acknowledged_; }
  [[nodiscard]] time_point now() const noexcept { return now_; }
  /// @return what happened, for a failure message.
  [[nodiscard]] const std::string& history() const noexcept { return history_; }

 private:
  struct member {
    target_id id;
    std::vector<std::uint32_t> log;  ///< Numbers of commits.
    std::uint64_t term = 1;
    std::uint64_t fence_term = 0;
    bool is_primary = false;
    bool is_paused = false;
    bool is_leaving = false;
    std::uint64_t start = 1;  ///< Differs between its processes.
  };
  struct stored_claim {
    std::uint64_t token = 0;
    std::size_t vm = 0;
    promotion_claim claim;
    std::uint64_t epoch = 1;
  };
  struct vm;

  void after(duration delay, std::function<void()> event);
  /// Runs an event of a VM, unless its process has ended, and after a freeze.
  void after(duration delay, std::size_t number, std::function<void(vm&)> event);
  [[nodiscard]] bool chance(int percent);
  [[nodiscard]] duration between(int low_ms, int high_ms);
  [[nodiscard]] duration lateness() { return between(2'000, 12'000); }
  /// Takes a message to its receiver and the answer back, with faults.
  /// @param run carries the message out; returns what the VM does with the answer.
  void exchange(std::size_t number, std::function<std::function<void(vm&)>()> run);

  void note(const std::string& text);
  [[nodiscard]] member& find(const target_id& target);
  [[nodiscard]] member* primary();
  /// @param is_first whether the whole system starts for the first time.
  void start_vm(std::size_t number, bool is_first);
  void tick(vm& each);
  void announce(const member& each);
  [[nodiscard]] std::uint64_t next_token();
  void publish();
  void see_claim(vm& each, const stored_claim& claim, std::uint64_t change);
  void perform(vm& each, const std::optional<failover_action>& action);
  void start_round(vm& each, char command, const std::vector<target_id>& targets, term_id term);
  void ask(vm& each, const target_id& target);
  void finish_round(vm& each);
  [[nodiscard]] std::optional<survey_answer> carry_out(const target_id& target, char command, term_id term);
  void write_claim(vm& each, const promotion_claim& claim);
  void order(vm& each, const order_promotion& action);
  [[nodiscard]] bool accept(const order_promotion& action);
  void promote(const target_id& target);
  void commit();
  /// A replica receives the log of the leader of a term up to a size.
  void receive(const target_id& target, std::uint64_t term, std::size_t size);
  /// Acknowledges the commits that a replica has.
  void replicate();
  void cause_fault();
  void replace_primary();
  /// A leaving target that is not the primary any more ends, and a new process takes its place.
  void end_leaving(const target_id& target);
  void restore_store();

  std::mt19937_64 random_;
  promotion_faults faults_;
  time_point now_{std::chrono::seconds{100}};
  bool is_calm_ = false;
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<member> members_;
  std::vector<std::unique_ptr<vm>> vms_;
  stored_claim stored_;
  stored_claim copy_;
  std::uint64_t store_version_ = 0;
  std::uint64_t store_changes_ = 0;
  std::uint64_t copy_version_ = 0;
  std::uint64_t store_epoch_ = 1;
  time_point restored_{};  ///< When the store last came back older.
  std::uint64_t newest_token_ = 0;
  std::uint32_t commits_ = 0;
  std::vector<std::uint32_t> acknowledged_;
  time_point last_acknowledged_{};
  std::size_t promotions_ = 0;
  time_point last_effect_{};  ///< When the newest accepted promotion takes effect: they do so in their order.
  std::optional<std::string> violation_;
  std::string history_;
};

}  // namespace bulrushlift::sql
