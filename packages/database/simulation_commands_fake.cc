#include "database/simulation_commands_fake.h"

#include <array>
#include <ostream>

namespace bulrushlift::simulation {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, command_kinds> command_names{"write",          "keyed_write",
                                                                    "transaction",    "read",
                                                                    "repeat",         "resolve",
                                                                    "wait",           "long_wait",
                                                                    "crash_member",   "crash_controller",
                                                                    "pause_member",   "pause_controller",
                                                                    "pause_at_step",  "crash_at_step",
                                                                    "cut_one_way",    "cut_both_ways",
                                                                    "isolate_member", "delay_link",
                                                                    "duplicate",      "lose_answer",
                                                                    "lag_replica",    "leave",
                                                                    "toggle_owner",   "heal"};

/// @return whether a fault can be injected before this action of a controller.
bool is_step(const group_action& action) {
  return std::holds_alternative<fence_target>(action) || std::holds_alternative<promote_target>(action) ||
         std::holds_alternative<follow_target>(action) || std::holds_alternative<acknowledge_write>(action);
}

}  // namespace

std::string_view name_of(command_kind kind) noexcept { return command_names[static_cast<std::size_t>(kind)]; }

std::ostream& operator<<(std::ostream& out, const command& item) {
  return out << name_of(item.kind) << ' ' << int{item.first} << ' ' << int{item.second};
}

command_runner::command_runner(simulated_group& group, std::size_t controllers, std::size_t members)
    : group_(group), controllers_(controllers), members_(members), owners_(controllers, true) {}

void command_runner::run(const command& item) {
  run_caller(item);
  run_node_fault(item);
  run_link_fault(item);
  group_.advance(milliseconds{item.second % 16});
}

operation* command_runner::find_unknown(std::uint8_t choice) {
  std::vector<operation*> unknown;
  for (auto& [name, op] : group_.operations()) {
    if (op.has_key && op.status == operation::state::unknown) unknown.push_back(&op);
  }
  return unknown.empty() ? nullptr : unknown[choice % unknown.size()];
}

void command_runner::run_caller(const command& item) {
  const std::size_t controller = item.first % controllers_;
  const std::size_t session = item.second % 3U;
  switch (item.kind) {
    case command_kind::write:
    case command_kind::keyed_write:
      group_.write(controller, session, item.kind == command_kind::keyed_write);
      return;
    case command_kind::transaction:
      return group_.transact(controller, session);
    case command_kind::read:
      return group_.read(controller, session, item.second / 3U);
    case command_kind::repeat:
      if (auto* op = find_unknown(item.second)) group_.repeat(controller, *op);
      return;
    case command_kind::resolve:
      if (auto* op = find_unknown(item.second)) group_.resolve(controller, *op);
      return;
    case command_kind::wait:
      return group_.advance(milliseconds{item.second});
    case command_kind::long_wait:
      return group_.advance(milliseconds{item.second} * 8);
    default:
      return;
  }
}

void command_runner::pause_for(node_id node, duration length) {
  group_.network().pause(node);
  group_.network().schedule(length, [this, node] { group_.network().resume(node); });
}

void command_runner::crash_for(node_id node, duration length) {
  group_.crash_node(node);
  group_.network().schedule(length, [this, node] { group_.start_node(node); });
}

void command_runner::arm_step(const command& item, bool is_crash) {
  const std::size_t armed = item.first % controllers_;
  int skipped = item.first / 2 % 4;
  const auto length = milliseconds{item.second} * 6;
  group_.set_hook([=, this](std::size_t controller, const group_action& action) mutable {
    if (controller != armed || !is_step(action) || skipped-- != 0) return;
    if (is_crash) crash_for(controller, length);
    if (!is_crash) pause_for(controller, length);
  });
}

void command_runner::run_node_fault(const command& item) {
  const auto member = group_.member_node(item.first % members_);
  const std::size_t controller = item.first % controllers_;
  const auto length = milliseconds{item.second} * 8;
  switch (item.kind) {
    case command_kind::crash_member:
      return crash_for(member, length);
    case command_kind::crash_controller:
      return crash_for(controller, length);
    case command_kind::pause_member:
      return pause_for(member, length);
    case command_kind::pause_controller:
      return pause_for(controller, length);
    case command_kind::pause_at_step:
      return arm_step(item, false);
    case command_kind::crash_at_step:
      return arm_step(item, true);
    case command_kind::lag_replica:
      return group_.member(item.first % members_).set_replication_lag(milliseconds{item.second} * 2);
    case command_kind::leave:
      if (item.second % 2 == 0) return group_.set_leaving({item.first % members_});
      return group_.set_leaving({});
    case command_kind::toggle_owner:
      owners_[controller] = !owners_[controller];
      return group_.set_owner(controller, owners_[controller]);
    default:
      return;
  }
}

void command_runner::cut_for(node_id from, node_id to, duration length) {
  group_.network().cut(from, to);
  group_.network().schedule(length, [=, this] { group_.network().restore(from, to); });
}

void command_runner::isolate(node_id node, duration length) {
  for (std::size_t i = 0; i < members_; ++i) {
    cut_for(node, group_.member_node(i), length);
    cut_for(group_.member_node(i), node, length);
  }
}

void command_runner::run_link_fault(const command& item) {
  auto& network = group_.network();
  const auto from = any_node(item.first);
  const auto to = any_node(item.second);
  const auto length = milliseconds{item.first + item.second} * 5;
  switch (item.kind) {
    case command_kind::cut_one_way:
      return cut_for(from, to, length);
    case command_kind::cut_both_ways:
      cut_for(from, to, length);
      return cut_for(to, from, length);
    case command_kind::isolate_member:
      return isolate(group_.member_node(item.first % members_), length);
    case command_kind::delay_link:
      return network.set_delay(from, to, milliseconds{item.second / 2U});
    case command_kind::duplicate:
      return network.duplicate_next(from, to);
    case command_kind::lose_answer:
      return network.drop_next(group_.member_node(item.first % members_), item.second % controllers_);
    case command_kind::heal:
      return network.heal_links();
    default:
      return;
  }
}

}  // namespace bulrushlift::simulation
