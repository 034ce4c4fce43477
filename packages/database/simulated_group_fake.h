#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "database/group_controller.h"
#include "database/group_oracle_fake.h"
#include "database/simulated_network_fake.h"
#include "standins/database_member_model.h"

/// @file
/// Simulates the controllers, database members and callers of one group in virtual time.
///
/// The first nodes of the network, 0 to `controllers` - 1, are proxies with a controller and callers;
/// the following nodes are the members. Requests and replies go through the simulated network.

namespace bulrushlift::simulation {

/// Size, seed and settings of a simulated group.
struct simulated_group_options {
  std::size_t controllers = 2;
  std::size_t members = 3;
  std::uint32_t seed = 1;
  group_options controller;
  standin::member_broken_rule member_rule = standin::member_broken_rule::none;
  std::vector<int> clock_permille;  ///< Deviation of each node's clock rate; 0 for missing ones.
  duration pull_interval = std::chrono::milliseconds{5};
  duration write_deadline = std::chrono::milliseconds{1'000};
};

/// Called before each action of a controller is carried out; may inject a fault.
using action_hook = std::function<void(std::size_t controller, const group_action& action)>;

/// Replaces the rule of acknowledgement, to compare it with others.
struct acknowledgement_gate {
  /// @return whether the proxy may acknowledge a write at once, without a second member.
  std::function<bool(std::size_t controller)> may_answer_at_once;
  /// @return the delay before the action is carried out.
  std::function<duration(std::size_t controller, const group_action& action)> delay_of;
};

/// One group with its controllers, members and callers. `oracle` checks what the callers were told.
class simulated_group {
 public:
  explicit simulated_group(simulated_group_options options);
  ~simulated_group();
  simulated_group(const simulated_group&) = delete;
  simulated_group& operator=(const simulated_group&) = delete;

  [[nodiscard]] simulated_network& network() noexcept { return network_; }
  [[nodiscard]] group_oracle& oracle() noexcept { return oracle_; }
  [[nodiscard]] const group_view& view(std::size_t controller) const;
  [[nodiscard]] standin::database_member_model& member(std::size_t index);
  [[nodiscard]] node_id member_node(std::size_t index) const noexcept { return options_.controllers + index; }
  [[nodiscard]] std::map<std::string, operation>& operations() noexcept { return operations_; }
  /// @return the index of the primary with the highest term, or nothing if no member is primary.
  [[nodiscard]] std::optional<std::size_t> primary_index() const;

  void set_hook(action_hook hook) { hook_ = std::move(hook); }
  void set_gate(acknowledgement_gate gate) { gate_ = std::move(gate); }
  void advance(duration step) { network_.advance(step); }

  void set_owner(std::size_t controller, bool is_owner);
  void set_leaving(std::vector<std::size_t> members);
  void crash_node(node_id node);
  void start_node(node_id node);

  /// Sends a new write if the controller knows a primary.
  /// @param has_key whether the write has an idempotency key.
  /// @param is_at_once whether the caller is answered without waiting for a second member.
  /// @return the name of the write, or an empty string if it was not sent.
  std::string write(std::size_t controller, std::size_t session, bool has_key, bool is_at_once = false);
  /// Sends a write again that has an unknown outcome and an idempotency key.
  void repeat(std::size_t controller, operation& op);
  /// Sends a `resolve` request for a write that has an unknown outcome and an idempotency key.
  void resolve(std::size_t controller, operation& op);
  /// Reads all operations on a target that satisfies the session's token.
  /// @param choice selects one of these targets.
  void read(std::size_t controller, std::size_t session, std::size_t choice);
  /// Runs a transaction of two writes on the known primary.
  void transact(std::size_t controller, std::size_t session);

  /// Ends all faults, waits until the open operations have ended and compares the logs.
  void finish();

 private:
  struct proxy {
    std::unique_ptr<group_controller> controller;
    /// Callbacks of answers that wait for a second member.
    std::map<request_id, std::function<void(bool)>> awaiting_replication;
    std::set<std::string> open_operations;  ///< Their outcome becomes unknown if the proxy crashes.

    void end(const request_id& request, bool is_acknowledged) {
      const auto node = awaiting_replication.extract(request);
      if (!node.empty()) node.mapped()(is_acknowledged);
    }
  };
  /// A long poll that the member has not answered yet.
  struct waiting_poll {
    log_point after;
    time_point deadline;
    std::function<void(const target_status&)> answer;
  };
  struct member_host {
    standin::database_member_model model;
    std::vector<waiting_poll> waiting;
  };

  using reply = std::function<void()>;
  using responder = std::function<void(reply)>;
  /// Handles a request at the member; calls the responder at once, later or never.
  using handler = std::function<void(member_host&, const responder&)>;
  using failure = std::function<void(request_failure)>;

  void deliver_event(std::size_t controller, const group_event& event);
  void perform(std::size_t controller, const poll_target& action);
  void perform(std::size_t controller, const long_poll_target& action);
  void perform(std::size_t controller, const fence_target& action);
  void perform(std::size_t controller, const promote_target& action);
  void perform(std::size_t controller, const follow_target& action);
  void perform(std::size_t controller, const acknowledge_write& action);
  void perform(std::size_t controller, const end_write_unknown& action);
  void perform(std::size_t /*controller*/, const publish_group_status& /*action*/) {}
  void perform(std::size_t /*controller*/, const log_decision& /*action*/) {}
  void reply_status(std::size_t controller, exchange_id exchange, const target_id& target,
                    const standin::member_result<standin::member_status>& answer, const responder& respond);
  [[nodiscard]] time_point clock_of(const member_host& host) const;
  void start_controller(std::size_t index);
  void tick(std::size_t index);
  void configure(std::size_t index);
  void call(std::size_t controller, const target_id& target, const handler& serve, const failure& on_failure,
            bool may_duplicate);
  void call_step(std::size_t controller, exchange_id exchange, const target_id& target, const handler& serve);
  void poll(std::size_t controller, exchange_id exchange, const target_id& target, const log_point& after,
            duration wait);
  void answer_waiting(std::size_t member);
  void pull(std::size_t member);
  void send_write(std::size_t controller, operation& op);
  void send_transaction(std::size_t controller, operation& op);
  void await_point(std::size_t controller, const target_id& target, const log_point& point,
                   std::function<void(bool)> on_end);
  /// Starts an attempt and its timeout.
  /// @return a flag that is true until the attempt is answered or reaches its deadline.
  std::shared_ptr<bool> start_attempt(std::size_t controller, operation& op);
  void end_attempt(std::size_t controller, const std::string& name, operation::state status,
                   const log_point& point = {});
  [[nodiscard]] std::size_t index_of(const target_id& target) const;
  [[nodiscard]] const target_view* primary_of(std::size_t controller) const;
  [[nodiscard]] log_point token_of(std::size_t session) const;

  simulated_group_options options_;
  simulated_network network_;
  group_oracle oracle_;
  std::vector<std::unique_ptr<proxy>> proxies_;
  std::vector<std::unique_ptr<member_host>> members_;
  std::vector<std::size_t> leaving_;
  std::map<std::string, operation> operations_;
  std::mt19937_64 random_;
  action_hook hook_;
  acknowledgement_gate gate_;
  std::uint64_t last_name_ = 0;
  std::uint64_t last_connection_ = 0;
};

}  // namespace bulrushlift::simulation
