#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "database/group_options.h"
#include "database/group_view.h"

/// @file
/// Health, promotion and write acknowledgement of one database group (sections 3.3, 3.4).
///
/// The owner proxy of a service feeds events in and carries out the actions that come
/// back. The controller reads no clock and opens no socket:
///
///     group_controller orders{service_id{"orders"}, vm_id{"entry-1"}, incarnation_id{7}, group_options{}};
///     run(orders.handle(group_configured{targets, {}}, clock.now(), random()));
///     run(orders.handle(ownership_changed{true}, clock.now(), random()));
///     run(orders.handle(timer_ticked{}, clock.now(), random()));   // every tick_interval
///
/// Each request action carries an id. The daemon copies the id into the reply event, and
/// reports `request_failed` when no answer arrives. Replies may be late, repeated, out of
/// order or missing altogether; the controller has timeouts of its own, on its ticks.

namespace bulrushlift {

/// Correlates a request action with its reply event.
using exchange_id = number_id<struct exchange_tag>;

/// Identifies one attempt at a promotion; unique over all VMs, incarnations and attempts.
using candidate_id = name_id<struct candidate_tag>;

/// One member of the group, from the document.
struct group_target {
  target_id target;
  std::string address;
  data_centre_id data_centre;

  friend bool operator==(const group_target&, const group_target&) = default;
};

// ---------------------------------------------------------------------------
// Events
// ---------------------------------------------------------------------------

/// The document or the list of leaving targets changed. Successive sets of targets must
/// share a majority; replacing a majority at once can lose acknowledged writes.
struct group_configured {
  std::vector<group_target> targets;
  std::vector<target_id> leaving;
};

/// This VM became or ceased to be the owner of the service. A VM that is not the owner
/// neither polls nor promotes; it keeps its long polls until its last write has ended.
struct ownership_changed {
  bool is_owner = false;
};

/// Time passed. The daemon sends it every `group_options::tick_interval`.
struct timer_ticked {};

/// Answer to `poll_target` or `long_poll_target`.
struct status_replied {
  exchange_id exchange;
  target_status status;
};

/// Answer to `fence_target`, accepted or not.
struct fence_replied {
  exchange_id exchange;
  target_id target;
  bool is_accepted = false;
  term_id term;            ///< Current term of the target after the request.
  candidate_id candidate;  ///< To whom the target granted that term.
  log_point point;
};

/// Status answer to `promote_target`.
struct promote_replied {
  exchange_id exchange;
  target_status status;
};

/// Status answer to `follow_target`.
struct follow_replied {
  exchange_id exchange;
  target_status status;
};

/// Why a request has no answer of the expected form.
enum class request_failure {
  timed_out,
  refused,   ///< The connection was refused or reset.
  rejected,  ///< The target answered with an error, for example `wrong_term`.
};

/// A request action ended without its answer.
struct request_failed {
  exchange_id exchange;
  target_id target;
  request_failure reason = request_failure::timed_out;
  term_id term;  ///< The target's term if the error named one, else 0.
};

/// A connection to the target, of any kind, was refused or reset.
struct connection_refused {
  target_id target;
};

/// The bytes of a write left for the primary. Reported for an open transaction too, from its
/// begin on: a planned hand-over waits for both, up to `hand_over_wait`. An open transaction
/// may continue on its connection while `writable_primary` is null for new work.
struct write_sent {
  request_id request;
};

/// The primary answered a write, a commit, a `resolve` or a read. For a read no `write_sent`
/// is needed. The controller then ends the request with
/// exactly one of `acknowledge_write` and `end_write_unknown`.
struct write_answered {
  request_id request;
  target_id target;
  log_point point;      ///< From the answer; also for a replayed answer.
  time_point deadline;  ///< At this time the write ends as unknown.
};

/// A write that was reported by `write_sent` ended without a point to wait for.
struct write_ended {
  request_id request;
};

/// Any statement answer or error of a target carried its point or term.
struct point_observed {
  target_id target;
  term_id term;     ///< Current term of the target if the answer named one, else 0.
  log_point point;  ///< Zero if the answer named none.
};

using group_event = std::variant<group_configured, ownership_changed, timer_ticked, status_replied,
                                 fence_replied, promote_replied, follow_replied, request_failed,
                                 connection_refused, write_sent, write_answered, write_ended, point_observed>;

// ---------------------------------------------------------------------------
// Actions
// ---------------------------------------------------------------------------

/// `GET /v1/status`; answered by `status_replied`.
struct poll_target {
  exchange_id exchange;
  target_id target;
  duration timeout{};
  bool is_new_connection = false;  ///< Open a connection for this poll: verifies a refusal.
};

/// `GET /v1/status?after_term=&after_position=&wait_ms=`; answered by `status_replied`.
struct long_poll_target {
  exchange_id exchange;
  target_id target;
  log_point after;
  duration wait{};     ///< The target answers at the latest after this time.
  duration timeout{};  ///< `wait` plus the poll timeout.
};

/// `POST /v1/fence`; answered by `fence_replied`.
struct fence_target {
  exchange_id exchange;
  target_id target;
  term_id term;
  candidate_id candidate;
  duration timeout{};
};

/// `POST /v1/promote`; answered by `promote_replied`.
struct promote_target {
  exchange_id exchange;
  target_id target;
  term_id term;
  candidate_id candidate;
  duration timeout{};
};

/// `POST /v1/follow`; answered by `follow_replied`.
struct follow_target {
  exchange_id exchange;
  target_id target;
  term_id term;
  target_id primary;
  std::string address;  ///< Of the primary.
  duration timeout{};
};

/// The write is on a majority, in the current term: answer the caller with `done`.
struct acknowledge_write {
  request_id request;
  log_point point;
};

/// The write ran on a primary but was not acknowledged in its term before its deadline.
/// The caller gets `outcome_unknown`; a write with an idempotency key may be repeated.
struct end_write_unknown {
  request_id request;
};

/// Publish the outcome of a promotion at the platform, as a hint for operators.
struct publish_group_status {
  service_id service;
  term_id term;
  target_id primary;
};

/// Write one log line about a decision.
struct log_decision {
  std::string event;  ///< Snake case, for example "promotion_started".
  term_id term;
  target_id target;  ///< Empty if no single target is concerned.
  std::string reason;
};

using group_action = std::variant<poll_target, long_poll_target, fence_target, promote_target, follow_target,
                                  acknowledge_write, end_write_unknown, publish_group_status, log_decision>;
using group_actions = std::vector<group_action>;

/// Decides for one database group. One instance per service and VM; not thread-safe.
class group_controller {
 public:
  /// @param service name of the group.
  /// @param vm this VM; part of every candidate id, with the incarnation and a counter.
  /// @param incarnation of this process.
  group_controller(service_id service, vm_id vm, incarnation_id incarnation, group_options options);
  ~group_controller();
  group_controller(group_controller&&) noexcept;
  group_controller& operator=(group_controller&&) noexcept;
  group_controller(const group_controller&) = delete;
  group_controller& operator=(const group_controller&) = delete;

  /// Takes one event.
  /// @param now monotonic time; must not decrease between calls.
  /// @param random_bits 64 fresh random bits, for jitter.
  /// @return what the daemon must do, in this order.
  [[nodiscard]] group_actions handle(const group_event& event, time_point now, std::uint64_t random_bits);

  /// @return the blackboard entry; valid and constant until the next call of `handle`.
  [[nodiscard]] const group_view& view() const noexcept;

  /// @return writes that were answered and wait for a second member.
  [[nodiscard]] std::size_t waiting_writes() const noexcept;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace bulrushlift
