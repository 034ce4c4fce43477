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
/// Detects which VMs are alive, in the manner of SWIM: pings, indirect pings and suspicion, with
/// membership updates piggybacked on them. No consistency guarantee of the system depends on it.

namespace bulrushlift {

/// State of a member. The order matters: of two updates with equal incarnations the later
/// state wins.
enum class member_state { alive, suspect, leaving, dead };
[[nodiscard]] std::string_view name_of(member_state value) noexcept;
/// @return the state with that name, or nothing.
[[nodiscard]] std::optional<member_state> member_state_from_name(std::string_view name) noexcept;

/// @return whether a member in this state owns services; alive and suspect members do.
[[nodiscard]] constexpr bool is_serving(member_state value) noexcept {
  return value == member_state::alive || value == member_state::suspect;
}

/// What one VM knows about a member of the fleet.
struct member {
  vm_id vm;
  /// IP address and port for datagrams and peer connections.
  std::string address;
  data_centre_id data_centre;
  incarnation_id incarnation;
  member_state state = member_state::alive;

  friend bool operator==(const member&, const member&) = default;
};

/// @return whether `update` replaces `known`, both of the same VM: a higher incarnation always
///   does; with equal incarnations the later state in the order alive, suspect, leaving, dead does.
[[nodiscard]] bool is_newer(const member& update, const member& known) noexcept;

/// A VM that the document or the platform's list names. Pings start with the seeds.
struct member_seed {
  vm_id vm;
  std::string address;
  data_centre_id data_centre;

  friend bool operator==(const member_seed&, const member_seed&) = default;
};

/// Kinds of membership datagrams.
enum class membership_message_kind { ping, ack, indirect_ping };

/// Content of a membership datagram. The daemon adds the configuration status to it.
struct membership_message {
  membership_message_kind kind = membership_message_kind::ping;
  std::uint64_t id = 0;  ///< Id of the ping; its ack has the same id.
  vm_id sender;
  incarnation_id incarnation;
  /// In an indirect ping, the member to ping. In an ack, the member that is reachable.
  vm_id subject;
  std::vector<member> updates;

  friend bool operator==(const membership_message&, const membership_message&) = default;
};

/// Parameters of the failure detector and of the spreading of updates.
struct membership_options {
  /// In a fleet of at most this size, each VM pings all peers in each period.
  std::size_t small_fleet_size = 8;
  /// Time between two rounds of pings.
  duration period = std::chrono::milliseconds{200};
  /// Peers that are asked for an indirect ping when an ack is missing.
  std::size_t indirect_pings = 2;
  /// Most updates in a datagram.
  std::size_t updates_per_datagram = 8;
  /// Most bytes of updates in a datagram; the rest of its 1,400 bytes is for the other fields.
  std::size_t max_update_bytes = 1'200;
  /// Unchanged entries added to each datagram (anti-entropy), so that views agree after lost datagrams.
  std::size_t anti_entropy_entries = 4;
  /// Seeds not heard of yet that are pinged in each period, besides the next member.
  std::size_t seeds_per_period = 3;
  /// Least number of periods between suspicion and death. The number grows with the logarithm of
  /// the fleet's size.
  std::uint32_t min_suspicion_periods = 3;
  /// Periods between two pings to dead members; these rejoin the sides of a healed partition.
  std::uint32_t dead_ping_periods = 5;
  /// Dead members are forgotten after this time unless they are seeds.
  duration dead_retention = std::chrono::minutes{10};
  /// How long a seed that no message has told of counts as a possible member, see
  /// `possible_members`.
  duration presumption_time{};
  /// Test only: accept updates without a check of their incarnation.
  bool skips_incarnation_check = false;
  /// Test only: keep serving after hearing of a later process with this VM's name.
  bool ignores_successor = false;
};

/// Send a datagram to `address`.
struct send_membership {
  std::string address;
  membership_message message;
};
/// What this VM knows about a member has changed.
struct member_changed {
  member now;
};
/// Send a leave message over TCP.
struct send_leave {
  std::string address;
  incarnation_id incarnation;
};
/// A later process with this VM's name exists: stop serving.
struct stop_instance {
  incarnation_id successor;
};

using membership_action = std::variant<send_membership, member_changed, send_leave, stop_instance>;
using membership_actions = std::vector<membership_action>;

/// Membership as one VM sees it. Does no input or output: each event returns the actions to
/// perform, in order.
class membership_controller {
 public:
  /// @param self this VM; its incarnation is the wall-clock time of its start in milliseconds.
  membership_controller(member self, membership_options options);

  /// Replaces the seeds. A seed with this VM's name and another address is a successor or predecessor
  /// of this process. It is pinged, so that the older of the two stops even if no other member is
  /// reachable. A known VM that is no longer a seed is forgotten only after it is dead.
  [[nodiscard]] membership_actions set_seeds(const std::vector<member_seed>& seeds, time_point now);

  /// A datagram arrived.
  /// @param from address of the sender.
  /// @param random random bits.
  [[nodiscard]] membership_actions on_message(const membership_message& message, const std::string& from,
                                              time_point now, std::uint64_t random);
  /// A leave message arrived over TCP.
  [[nodiscard]] membership_actions on_leave(const vm_id& sender, incarnation_id incarnation, time_point now);
  /// Sends pings and handles missing acks. Call at the time that `next_timer` returns.
  /// @param random random bits.
  [[nodiscard]] membership_actions on_timer(time_point now, std::uint64_t random);
  /// Announces that this VM leaves.
  [[nodiscard]] membership_actions leave(time_point now);

  [[nodiscard]] time_point next_timer() const noexcept { return next_timer_; }
  /// @return all known members, including this VM, sorted by name.
  [[nodiscard]] std::vector<member> members() const;
  /// Load pattern: all VMs restart at once. Each first knows only itself, and if it took itself for the
  /// owner of all services, the connections of all VMs would exceed the limit of every target.
  /// @return all known members, and the seeds of which no message has told for less than the
  ///   presumption time, as alive; sorted by name.
  [[nodiscard]] std::vector<member> possible_members(time_point now) const;
  /// @return whether `possible_members` has members that no message has told of.
  [[nodiscard]] bool has_presumed_members(time_point now) const;
  /// @return the members that are alive or suspect, including this VM unless it leaves.
  [[nodiscard]] std::vector<member> serving_members() const;
  /// @return the approximate memory use of this controller, in bytes.
  [[nodiscard]] std::size_t memory_bytes() const noexcept;
  [[nodiscard]] const member& self() const noexcept { return self_; }
  /// @return whether this process has stopped because it has a successor.
  [[nodiscard]] bool is_stopped() const noexcept { return stopped_; }

 private:
  struct peer {
    member info;
    bool is_seed = false;
    bool is_known = false;            ///< False for a seed of which no message or update has told yet.
    time_point seed_since{};          ///< When it became a seed.
    std::uint32_t transmissions = 0;  ///< How often the newest update was sent.
    time_point state_since{};
    time_point suspicion_end{};
    std::optional<time_point> last_ack;
  };
  /// A ping that waits for its ack.
  struct probe {
    vm_id target;
    time_point sent{};
  };
  /// A ping sent on behalf of another member.
  struct forwarded_probe {
    std::string requester_address;
    std::uint64_t requester_id = 0;
    vm_id subject;
    time_point sent{};
  };
  using random_engine = std::minstd_rand;

  void merge(const member& update, time_point now, membership_actions& actions);
  void merge_about_self(const member& update, membership_actions& actions);
  void apply(peer& it, const member& update, time_point now, membership_actions& actions);
  void set_state(peer& it, member_state state, time_point now, membership_actions& actions);
  void reset_transmissions(peer& it);
  void on_duplicate_name(const membership_message& message, const std::string& from,
                         membership_actions& actions);
  void on_ack(const membership_message& message, time_point now, membership_actions& actions);
  void forward_ping(const membership_message& request, const std::string& from, time_point now,
                    membership_actions& actions);
  void start_period(time_point now, random_engine& random, membership_actions& actions);
  void ping_next(time_point now, random_engine& random, membership_actions& actions);
  void ping_seeds(time_point now, random_engine& random, membership_actions& actions);
  void ping_dead(time_point now, random_engine& random, membership_actions& actions);
  void ping_duplicate_name(membership_actions& actions);
  void ping(peer& target, time_point now, membership_actions& actions);
  void send_indirect_pings(random_engine& random, membership_actions& actions);
  void fail_probes(time_point now, membership_actions& actions);
  void expire_suspicions(time_point now, membership_actions& actions);
  void forget_dead(time_point now);
  void compensate_pause(duration pause);
  [[nodiscard]] membership_message make_message(membership_message_kind kind, std::uint64_t id,
                                                const vm_id& subject, std::vector<member> updates) const;
  [[nodiscard]] std::vector<member> choose_updates(const vm_id& to, bool always_include_receiver);
  /// @return up to `count` random members for which `predicate` is true.
  [[nodiscard]] std::vector<peer*> sample(std::size_t count, random_engine& random,
                                          bool (*predicate)(const peer&));
  [[nodiscard]] bool is_presumed(const peer& it, time_point now) const noexcept;
  [[nodiscard]] static bool is_pinged(const peer& it) noexcept;
  [[nodiscard]] std::size_t live_count() const noexcept;
  [[nodiscard]] duration suspicion_time() const noexcept;
  [[nodiscard]] std::uint32_t transmission_limit() const noexcept;

  member self_;
  membership_options options_;
  bool stopped_ = false;
  std::map<vm_id, peer> peers_;
  /// Updates that are still to be sent, those with the fewest transmissions first.
  std::set<std::pair<std::uint32_t, vm_id>> pending_updates_;
  std::map<std::uint64_t, probe> probes_;
  std::map<std::uint64_t, forwarded_probe> forwarded_;
  /// Address of another process with this VM's name; empty if none is known.
  std::string duplicate_address_;
  std::vector<vm_id> ping_order_;  ///< Members still to be pinged in this round.
  vm_id last_refreshed_;
  std::uint64_t last_id_ = 0;
  std::uint64_t periods_ = 0;
  bool is_mid_period_ = false;  ///< Whether the next timer marks the middle of a period.
  time_point next_timer_{};
};

}  // namespace bulrushlift
