#pragma once

#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

#include "database/simulated_group_fake.h"

/// @file
/// Commands of the fuzz and mutation tests: requests of callers, and faults.

namespace bulrushlift::simulation {

/// Kind of a command. A step is a fence, promote, follow or acknowledge action of a controller.
enum class command_kind {
  write,
  keyed_write,
  transaction,
  read,
  repeat,
  resolve,
  wait,
  long_wait,
  crash_member,
  crash_controller,
  pause_member,
  pause_controller,
  pause_at_step,  ///< Pauses the controller before one of its next steps.
  crash_at_step,  ///< Crashes the controller before one of its next steps.
  cut_one_way,
  cut_both_ways,
  isolate_member,  ///< Cuts a member off from the other members.
  delay_link,
  duplicate,
  lose_answer,
  lag_replica,
  leave,
  toggle_owner,
  heal,
};

inline constexpr int command_kinds = static_cast<int>(command_kind::heal) + 1;

/// @return the name for the output of failed tests.
[[nodiscard]] std::string_view name_of(command_kind kind) noexcept;

/// A command; `first` and `second` select its nodes, session and duration.
struct command {
  command_kind kind = command_kind::wait;
  std::uint8_t first = 0;
  std::uint8_t second = 0;
};

std::ostream& operator<<(std::ostream& out, const command& item);

/// Runs commands against a simulated group.
class command_runner {
 public:
  explicit command_runner(simulated_group& group, std::size_t controllers, std::size_t members);
  void run(const command& item);

 private:
  void run_caller(const command& item);
  void run_node_fault(const command& item);
  void run_link_fault(const command& item);
  void pause_for(node_id node, duration length);
  void crash_for(node_id node, duration length);
  void arm_step(const command& item, bool is_crash);
  void cut_for(node_id from, node_id to, duration length);
  void isolate(node_id node, duration length);
  [[nodiscard]] operation* find_unknown(std::uint8_t choice);
  [[nodiscard]] node_id any_node(std::uint8_t choice) const { return choice % (controllers_ + members_); }

  simulated_group& group_;
  std::size_t controllers_;
  std::size_t members_;
  std::vector<bool> owners_;
};

}  // namespace bulrushlift::simulation
