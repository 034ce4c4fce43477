#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// Which VMs are alive: SWIM-style pings, indirect pings and suspicion, with
/// updates piggybacked on them. No guarantee of the system depends on it.

namespace bulrushlift {

enum class member_state { alive, suspect, leaving, dead };
[[nodiscard]] std::string_view name_of(member_state value) noexcept;
[[nodiscard]] std::optional<member_state> member_state_from_name(std::string_view name) noexcept;

/// A member as one VM knows it; an entry of the blackboard.
struct member {
  vm_id vm;
  /// IP number and port for datagrams and peer connections.
  std::string address;
  data_centre_id data_centre;
  incarnation_id incarnation;
  member_state state = member_state::alive;

  friend bool operator==(const member&, const member&) = default;
};

/// Whether `news` replaces `known` of the same VM: a higher incarnation always does, with equal
/// incarnations the later state in the order alive, suspect, leaving, dead.
[[nodiscard]] bool is_newer(const member& news, const member& known) noexcept;

/// A VM named by the document or the platform's list, where pings start.
struct member_seed {
  vm_id vm;
  std::string address;
  data_centre_id data_centre;

  friend bool operator==(const member_seed&, const member_seed&) = default;
};

enum class membership_message_kind { ping, ack, indirect_ping };

/// Content of a datagram; the daemon adds the configuration status.
struct membership_message {
  membership_message_kind kind = membership_message_kind::ping;
  std::uint64_t id = 0;  ///< Of the ping; an ack repeats it.
  vm_id sender;
  incarnation_id incarnation;
  /// Of an indirect ping: the member to ping. Of an ack: the member that is reachable.
  vm_id subject;
  std::vector<member> updates;

  friend bool operator==(const membership_message&, const membership_message&) = default;
};

struct membership_options {
  /// Fleets of at most this size ping all peers in each period.
  std::size_t small_fleet = 8;
  duration small_period = std::chrono::milliseconds{200};
  duration period = std::chrono::milliseconds{500};
  /// Peers that are asked for an indirect ping.
  std::size_t indirect_pings = 2;
  std::size_t updates_per_datagram = 8;
  /// Bytes of updates in a datagram; the rest of 1,400 is for the other fields.
  std::size_t update_bytes = 1'200;
  /// Periods between suspicion and death, at least; grows with the logarithm of the fleet's size.
  std::uint32_t suspicion_periods = 3;
  /// Periods between two pings to dead members, by which the halves of a healed partition meet.
  std::uint32_t dead_ping_periods = 5;
  /// Dead and left members are forgotten after this time unless they are seeds.
  duration forget_time = std::chrono::minutes{10};
  /// Test only: accept updates whatever their incarnation.
  bool skips_incarnation_check = false;
};

/// Send a datagram.
struct send_membership {
  std::string address;
  membership_message message;
};
/// The blackboard entry changed.
struct member_changed {
  member now;
};
/// Send a leave message over TCP.
struct send_leave {
  std::string address;
  incarnation_id incarnation;
};
/// A later process has this VM's name: stop serving.
struct stop_instance {
  incarnation_id successor;
};

using membership_action = std::variant<send_membership, member_changed, send_leave, stop_instance>;
using membership_actions = std::vector<membership_action>;

/// Membership as one VM sees it.
class membership_controller {
 public:
  /// @param self this VM, with the wall-clock milliseconds of its start as incarnation.
  membership_controller(member self, membership_options options);

  /// Replaces the seeds. A VM that is no seed any more is only forgotten once it is dead.
  [[nodiscard]] membership_actions set_seeds(const std::vector<member_seed>& seeds, time_point now);

  /// @param from address of the sender.
  [[nodiscard]] membership_actions on_message(const membership_message& message, const std::string& from,
                                              time_point now, std::uint64_t random);
  /// A leave message arrived over TCP.
  [[nodiscard]] membership_actions on_leave(const vm_id& sender, incarnation_id incarnation, time_point now);
  /// Sends pings and handles missing acks. Call at `next_timer`.
  [[nodiscard]] membership_actions on_timer(time_point now, std::uint64_t random);
  /// Announces that this VM leaves.
  [[nodiscard]] membership_actions leave(time_point now);

  [[nodiscard]] time_point next_timer() const;
  /// @return all known members, this VM included, in order of their names.
  [[nodiscard]] std::vector<member> members() const;
  /// @return members that are alive or suspect, this VM included unless it leaves.
  [[nodiscard]] std::vector<member> serving_members() const;
  [[nodiscard]] const member& self() const noexcept { return self_; }
  [[nodiscard]] bool is_stopped() const noexcept { return stopped_; }

 private:
  struct peer {
    member info;
    bool is_seed = false;
    bool is_contacted = false;        ///< False for a seed that has never been heard of.
    std::uint32_t transmissions = 0;  ///< Of the newest update.
    time_point state_since{};
    time_point suspicion_end{};
  };
  /// A ping that waits for its ack.
  struct probe {
    vm_id target;
    time_point sent{};
    bool is_indirect_sent = false;
  };
  /// A ping sent for another member.
  struct forwarded_probe {
    vm_id requester;
    std::string address;
    std::uint64_t id = 0;  ///< Of the requester.
    vm_id subject;
    time_point sent{};
  };

  void merge(const member& news, time_point now, membership_actions& actions);
  void merge_about_self(const member& news, membership_actions& actions);
  void set_state(peer& it, member_state state, time_point now, membership_actions& actions);
  void start_period(time_point now, std::uint64_t random, membership_actions& actions);
  void check_probes(time_point now, std::uint64_t random, membership_actions& actions);
  void end_suspicions(time_point now, membership_actions& actions);
  void forget_old(time_point now);
  void absorb_pause(time_point now);
  void ping(peer& target, time_point now, membership_actions& actions);
  void send_indirect(const probe& waiting, std::uint64_t id, std::uint64_t random,
                     membership_actions& actions);
  void on_ack(const membership_message& message, time_point now, membership_actions& actions);
  void acknowledge(const membership_message& ping, const std::string& to, membership_actions& actions);
  [[nodiscard]] membership_message make_message(membership_message_kind kind, std::uint64_t id,
                                                const vm_id& to, vm_id subject);
  [[nodiscard]] std::vector<member> choose_updates(const vm_id& to);
  [[nodiscard]] std::vector<peer*> pingable();
  [[nodiscard]] duration current_period() const;
  [[nodiscard]] duration suspicion_time() const;
  [[nodiscard]] std::size_t live_count() const;

  member self_;
  membership_options options_;
  std::uint32_t self_transmissions_ = 0;
  bool stopped_ = false;
  std::map<vm_id, peer> peers_;
  std::map<std::uint64_t, probe> probes_;
  std::map<std::uint64_t, forwarded_probe> forwarded_;
  std::vector<vm_id> ping_order_;
  vm_id last_rotated_;
  std::uint64_t last_id_ = 0;
  std::uint64_t periods_ = 0;
  time_point next_period_{};
  time_point last_timer_{};
};

}  // namespace bulrushlift
