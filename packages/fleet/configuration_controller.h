#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/call_pacer.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "document/document.h"
#include "document/settings.h"

/// @file
/// Keeps one VM's configuration document up to date: watches the store, asks peers, never
/// accepts a lower generation, and decides whether the document is fresh enough to serve
/// requests with keys. The document in force is the one that the VM uses now.
///
///     configuration_controller controller{settings, seed};
///     perform(controller.tick(now));                          // every 100 ms
///     perform(controller.store_answered(now, call, answer));  // and so on
///     if (!may_serve_keys(controller.freshness_at(now))) refuse(configuration_stale);

namespace bulrushlift {

/// Identifies one call of this controller to the store or to a peer.
using configuration_call = number_id<struct configuration_call_tag>;

/// Whether requests may be served by the document in force.
enum class freshness {
  no_document,  ///< There is no document; nothing is served.
  fresh,        ///< Confirmed as the newest generation within `freshness_limit`.
  store_down,   ///< No VM of a reachable majority is fresh; served up to `outage_limit`.
  isolated,     ///< Neither; requests with keys are refused, public routes are served.
};

/// @return whether requests with keys may be served.
[[nodiscard]] constexpr bool may_serve_keys(freshness value) noexcept {
  return value == freshness::fresh || value == freshness::store_down;
}

[[nodiscard]] std::string_view name_of(freshness value) noexcept;

/// What the membership of this VM reports about a member of the fleet.
struct configuration_member {
  vm_id name;
  data_centre_id data_centre;
  bool alive = false;

  friend bool operator==(const configuration_member&, const configuration_member&) = default;
};

/// Status of a VM's configuration, carried by heartbeats.
struct configuration_status {
  generation_id generation;
  /// Time since the generation was last confirmed as the newest; empty if it never was.
  std::optional<duration> confirmed_age;

  friend bool operator==(const configuration_status&, const configuration_status&) = default;
};

/// A peer's answer to `ask_peer`.
struct peer_document {
  configuration_status status;
  std::string text;  ///< Text of the document; empty if the asking VM's generation is not lower.
  std::vector<target_id> leaving_targets;

  friend bool operator==(const peer_document&, const peer_document&) = default;
};

/// A read or a watch of the production object returned a version of it.
struct store_object {
  object_version version;
  std::string value;
};
/// A watch ended after its wait time without a newer version.
struct store_unchanged {};
/// The object does not exist.
struct store_missing {};
using store_answer = std::variant<store_object, store_unchanged, store_missing>;

/// One VM in the platform's list.
struct platform_vm {
  std::string name;
  network_address address;
  bool leaving = false;
};

/// Read the production object. With `watch_after`, wait up to `wait` for a newer version.
struct read_store {
  configuration_call call;
  std::string path;
  std::optional<object_version> watch_after;
  std::chrono::milliseconds wait{0};
};
/// Read the platform's list of VMs.
struct list_vms {
  configuration_call call;
};
/// Ask a peer for its document if it is newer than `generation`.
struct ask_peer {
  configuration_call call;
  vm_id peer;
  generation_id generation;
};
/// A new document is in force.
struct apply_document {
  document in_force;
  std::string source;  ///< "store" or the name of the peer.
};
/// A document was rejected; report it in logs and metrics.
struct reject_document {
  generation_id generation;
  std::string source;
  error reason;
};
/// The store has no newer document than the one in force, but another one. Publish the generation in force,
/// so that the next promotion is above it.
struct publish_generation {
  generation_id in_force;
};
/// The set of leaving targets changed.
struct apply_leaving_targets {
  std::vector<target_id> targets;
};
using configuration_action = std::variant<read_store, list_vms, ask_peer, apply_document, reject_document,
                                          publish_generation, apply_leaving_targets>;
using configuration_actions = std::vector<configuration_action>;

/// @return the members that watch the production object for `data_centre`: its two alive members with
///   the highest rendezvous weights.
[[nodiscard]] std::vector<vm_id> choose_watchers(const data_centre_id& data_centre,
                                                 const std::vector<configuration_member>& members);

/// Test only: disables single rules, so that a fuzz test can show that it detects their absence.
struct configuration_mutation {
  bool accepts_lower_generation = false;
  bool serves_when_isolated = false;
  bool counts_age_from_answer = false;
  bool keeps_version_after_failure = false;
};

/// Controls the configuration of one VM. Does no input or output and reads no clock: each event returns
/// the actions to perform, in order.
class configuration_controller {
 public:
  /// @param configured the settings; used are the names of this VM, its data centre and environment, the
  ///   timing and the budget of platform calls.
  /// @param seed random bits; must differ between processes.
  configuration_controller(const settings& configured, std::uint64_t seed,
                           configuration_mutation mutation = {});

  /// Starts the calls that are due and abandons calls without an answer. Call at least every 100 ms.
  [[nodiscard]] configuration_actions tick(time_point now);

  /// The membership has changed. This VM counts as alive even if the list does not say so.
  void members_changed(std::vector<configuration_member> members);

  /// The answer to `read_store` arrived. An answer to an unknown call has no effect.
  [[nodiscard]] configuration_actions store_answered(time_point now, configuration_call call,
                                                     const store_answer& answer);
  /// The answer to `list_vms` arrived.
  [[nodiscard]] configuration_actions vms_listed(time_point now, configuration_call call,
                                                 const std::vector<platform_vm>& vms);
  /// `read_store` or `list_vms` failed or timed out.
  void store_failed(time_point now, configuration_call call);

  /// A heartbeat of `peer` arrived.
  /// @param asked_at when this VM sent the request that the heartbeat answers; empty for a heartbeat that
  ///   the peer sent unasked. Its age is not used, because its transit time is unknown.
  [[nodiscard]] configuration_actions peer_reported(time_point now, const vm_id& peer,
                                                    const configuration_status& status,
                                                    std::optional<time_point> asked_at);

  /// The answer to `ask_peer` arrived.
  [[nodiscard]] configuration_actions peer_answered(time_point now, configuration_call call,
                                                    const peer_document& answer);
  /// `ask_peer` failed or timed out.
  void peer_failed(time_point now, configuration_call call);

  /// @return the document in force; its generation is 0 if there is none.
  [[nodiscard]] const document& in_force() const noexcept { return document_; }
  /// @return whether the document in force may serve at the time `now`.
  [[nodiscard]] freshness freshness_at(time_point now) const;
  /// @return the status that this VM reports in its heartbeats.
  [[nodiscard]] configuration_status status_at(time_point now) const;
  /// @return the answer to a peer whose document has `generation`.
  [[nodiscard]] peer_document answer_peer(time_point now, generation_id generation) const;
  /// @return the targets that the document or the platform's list names as leaving, sorted by name.
  [[nodiscard]] std::vector<target_id> leaving_targets() const;
  /// @return whether this VM watches the store.
  [[nodiscard]] bool is_watcher() const;

 private:
  struct store_call {
    time_point sent_at;
    bool watch = false;
    std::chrono::milliseconds wait{0};
    bool is_overdue = false;
    generation_id generation;  ///< Generation in force when the call was sent.
  };
  struct peer_call {
    vm_id peer;
    time_point sent_at;
  };
  struct peer_state {
    generation_id generation;
    std::optional<time_point> confirmed_at;
  };

  void start_store_calls(time_point now, configuration_actions& actions);
  void start_peer_calls(time_point now, configuration_actions& actions);
  void start_list(time_point now, configuration_actions& actions);
  void expire_calls(time_point now);
  [[nodiscard]] std::chrono::milliseconds watch_wait_time() const;
  [[nodiscard]] duration answer_timeout(const store_call& call) const;
  [[nodiscard]] bool is_store_call_running() const;
  [[nodiscard]] std::vector<vm_id> peers_to_ask(time_point now) const;
  void ask(time_point now, const vm_id& peer, configuration_actions& actions);

  void apply_object(time_point now, const store_call& call, const store_object& object,
                    configuration_actions& actions);
  /// Puts a document in force if its generation is higher and its text is valid.
  /// @return whether the document is in force now.
  bool accept(generation_id generation, std::string_view text, const std::string& source,
              std::optional<time_point> confirmed_at, configuration_actions& actions);
  void confirm(std::optional<time_point> at);
  void record_peer(const vm_id& peer, generation_id generation, std::optional<time_point> confirmed_at);
  void update_leaving(time_point now, const std::vector<target_id>& named, configuration_actions& actions);
  void publish_leaving(configuration_actions& actions);

  [[nodiscard]] bool is_recent(time_point now, std::optional<time_point> confirmed_at) const;
  [[nodiscard]] bool is_reachable(const vm_id& peer) const;
  [[nodiscard]] bool is_store_down_for_majority(time_point now) const;
  [[nodiscard]] configuration_call next_call() noexcept;

  vm_id self_;
  data_centre_id data_centre_;
  std::string environment_;
  timing_settings timing_;
  configuration_mutation mutation_;
  call_pacer pacer_;
  std::minstd_rand random_;

  document document_;
  std::string text_;
  std::optional<time_point> confirmed_at_;
  std::optional<object_version> store_version_;  ///< Version of the object that holds `document_`.

  std::vector<configuration_member> members_;
  std::map<vm_id, peer_state> peers_;
  std::map<configuration_call, store_call> store_calls_;
  std::map<configuration_call, time_point> list_calls_;
  std::map<configuration_call, peer_call> peer_calls_;
  configuration_call last_call_;
  time_point next_list_{};
  time_point next_ask_{};
  bool needs_plain_read_ = true;
  duration store_latency_{0};  ///< Time that the last answer took beyond the requested wait.

  std::map<target_id, time_point> listed_leaving_;  ///< When a list last named the target as leaving.
  std::vector<target_id> published_leaving_;
};

}  // namespace bulrushlift
