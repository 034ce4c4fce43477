#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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

/// @return whether a member in this state holds services: alive or suspect.
[[nodiscard]] constexpr bool is_serving(member_state value) noexcept {
  return value == member_state::alive || value == member_state::suspect;
}

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
  duration period = std::chrono::milliseconds{200};
  /// Peers that are asked for an indirect ping.
  std::size_t indirect_pings = 2;
  std::size_t updates_per_datagram = 8;
  /// Bytes of updates in a datagram; the rest of 1,400 is for the other fields.
  std::size_t update_bytes = 1'200;
  /// Known entries added to each datagram beside the news, so that views agree after losses.
  std::size_t refreshed_entries = 4;
  /// Seeds without contact that are pinged in each period, beside the next member.
  std::size_t contacted_seeds = 3;
  /// Periods between suspicion and death, at least; grows with the logarithm of the fleet's size.
  std::uint32_t suspicion_periods = 3;
  /// Periods between two pings to dead members, by which the halves of a healed partition meet.
  std::uint32_t dead_ping_periods = 5;
  /// Dead and left members are forgotten after this time unless they are seeds.
  duration forget_time = std::chrono::minutes{10};
  /// Test only: accept updates whatever their incarnation.
  bool skips_incarnation_check = false;
  /// Test only: keep serving after hearing of a later process with the own name.
  bool ignores_successor = false;
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

  /// Replaces the seeds. A seed with the name of this VM and another address may be its successor or its
  /// predecessor; it is pinged, so that the older of the two stops also when no other member is reachable. A
  /// VM that is no seed any more is only forgotten once it is dead.
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

  [[nodiscard]] time_point next_timer() const noexcept { return next_timer_; }
  /// @return all known members, this VM included, in order of their names.
  [[nodiscard]] std::vector<member> members() const;
  /// @return members that are alive or suspect, this VM included unless it leaves.
  [[nodiscard]] std::vector<member> serving_members() const;
  /// @return the approximate bytes that this controller holds.
  [[nodiscard]] std::size_t memory_bytes() const noexcept;
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
    std::optional<time_point> last_ack;
  };
  /// A ping that waits for its ack.
  struct probe {
    vm_id target;
    time_point sent{};
  };
  /// A ping sent for another member.
  struct forwarded_probe {
    std::string requester_address;
    std::uint64_t requester_id = 0;
    vm_id subject;
    time_point sent{};
  };
  using random_engine = std::minstd_rand;

  void merge(const member& news, time_point now, membership_actions& actions);
  void merge_about_self(const member& news, membership_actions& actions);
  void apply(peer& it, const member& news, time_point now, membership_actions& actions);
  void set_state(peer& it, member_state state, time_point now, membership_actions& actions);
  void reset_transmissions(peer& it);
  void on_namesake(const membership_message& message, const std::string& from, membership_actions& actions);
  void on_ack(const membership_message& message, time_point now, membership_actions& actions);
  void forward_ping(const membership_message& request, const std::string& from, time_point now,
                    membership_actions& actions);
  void start_period(time_point now, random_engine& random, membership_actions& actions);
  void ping_next(time_point now, random_engine& random, membership_actions& actions);
  void ping_seeds(time_point now, random_engine& random, membership_actions& actions);
  void ping_dead(time_point now, random_engine& random, membership_actions& actions);
  void ping_namesake(membership_actions& actions);
  void ping(peer& target, time_point now, membership_actions& actions);
  void send_indirect_pings(random_engine& random, membership_actions& actions);
  void fail_probes(time_point now, membership_actions& actions);
  void end_suspicions(time_point now, membership_actions& actions);
  void forget_old(time_point now);
  void absorb_pause(duration pause);
  [[nodiscard]] membership_message make_message(membership_message_kind kind, std::uint64_t id,
                                                const vm_id& subject, std::vector<member> updates) const;
  [[nodiscard]] std::vector<member> choose_updates(const vm_id& to, bool always_about_receiver);
  /// Up to `count` random members with `property`.
  [[nodiscard]] std::vector<peer*> sample(std::size_t count, random_engine& random,
                                          bool (*property)(const peer&));
  [[nodiscard]] static bool is_pinged(const peer& it) noexcept;
  [[nodiscard]] std::size_t live_count() const noexcept;
  [[nodiscard]] duration suspicion_time() const noexcept;
  [[nodiscard]] std::uint32_t transmission_limit() const noexcept;

  member self_;
  membership_options options_;
  bool stopped_ = false;
  std::map<vm_id, peer> peers_;
  /// Updates that are still to be spread, those with the fewest transmissions first.
  std::set<std::pair<std::uint32_t, vm_id>> spreading_;
  std::map<std::uint64_t, probe> probes_;
  std::map<std::uint64_t, forwarded_probe> forwarded_;
  /// Address of another process with the name of this VM; empty if none is known.
  std::string namesake_address_;
  std::vector<vm_id> ping_order_;  ///< Members that are still to be pinged in this round.
  vm_id last_rotated_;
  std::uint64_t last_id_ = 0;
  std::uint64_t periods_ = 0;
  bool is_half_period_ = false;  ///< Whether the next timer is the middle of a period.
  time_point next_timer_{};
};

}  // namespace bulrushlift
