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
/// Health checks, promotion and write acknowledgement of one database group (design sections 3.3, 3.4).
///
/// The daemon on the VM that owns a service passes events to the controller and carries out the
/// actions that it returns. The controller reads no clock and opens no socket:
///
///     group_controller orders{service_id{"orders"}, vm_id{"entry-1"}, incarnation_id{7}, group_options{}};
///     run(orders.handle(group_configured{targets, {}}, clock.now(), random()));
///     run(orders.handle(ownership_changed{true}, clock.now(), random()));
///     run(orders.handle(timer_ticked{}, clock.now(), random()));   // every tick_interval
///
/// Each action that sends a request carries an id. The daemon copies the id into the reply event,
/// and reports `request_failed` when the request fails. Replies may be late, repeated, out of
/// order or missing: the controller checks the timeouts of its requests at each `timer_ticked`.

namespace bulrushlift {

/// Correlates an action that sends a request with its reply event.
using exchange_id = number_id<struct exchange_tag>;

/// Identifies one promotion attempt; unique among all VMs, incarnations and attempts.
using candidate_id = name_id<struct candidate_tag>;

/// One target of the group, as configured in the document.
struct group_target {
  target_id target;
  std::string address;
  data_centre_id data_centre;

  friend bool operator==(const group_target&, const group_target&) = default;
};

// ---------------------------------------------------------------------------
// Events
// ---------------------------------------------------------------------------

/// The document or the list of leaving targets changed. Two successive sets of targets must
/// have a majority in common; replacing a majority at once can lose acknowledged writes.
struct group_configured {
  std::vector<group_target> targets;
  std::vector<target_id> leaving;
};

/// This VM became or ceased to be the owner of the service. A VM that is not the owner
/// neither polls nor promotes. A former owner keeps its long polls until its last write has ended.
struct ownership_changed {
  bool is_owner = false;
};

/// Sent by the daemon every `group_options::tick_interval`; drives polls, timeouts and retries.
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
  candidate_id candidate;  ///< The candidate to which the target granted that term.
  log_point point;         ///< Newest entry of the target's log.
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

/// Why a request failed.
enum class request_failure {
  timed_out,
  refused,   ///< The connection was refused or reset.
  rejected,  ///< The target answered with an error, for example `wrong_term`.
};

/// A request failed without the expected answer.
struct request_failed {
  exchange_id exchange;
  target_id target;
  request_failure reason = request_failure::timed_out;
  term_id term;  ///< The target's term if the error named one, else 0.
};

/// A connection to the target was refused or reset, whatever it was used for.
struct connection_refused {
  target_id target;
};

/// A write was sent to the primary, or a transaction was begun there. A planned hand-over waits
/// until these have ended, up to `hand_over_wait`. An open transaction may continue on its
/// connection while `writable_primary` is null for new requests.
struct write_sent {
  request_id request;
};

/// The primary answered a write, a commit, a `resolve` or a read; for a read no `write_sent`
/// is needed. The controller returns exactly one of `acknowledge_write` and `end_write_unknown`
/// for the request, now or later.
struct write_answered {
  request_id request;
  target_id target;
  log_point point;      ///< From the answer, which may repeat the answer to an earlier attempt.
  time_point deadline;  ///< At this time the write ends as unknown.
};

/// A write that was reported by `write_sent` ended, and no log point has to be replicated for it.
struct write_ended {
  request_id request;
};

/// An answer or error of a target to a statement carried its log point or term.
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
  bool is_new_connection = false;  ///< Open a new connection, to verify that connections are refused.
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

/// A majority has the write in its log in the current term: answer the caller with `done`.
struct acknowledge_write {
  request_id request;
  log_point point;
};

/// The write ran on a primary, but no majority was known to have it before its deadline or before
/// a higher term. The caller gets `outcome_unknown`; a write with an idempotency key may be sent again.
struct end_write_unknown {
  request_id request;
};

/// Publish the new primary at the platform, for the information of operators only.
struct publish_group_status {
  service_id service;
  term_id term;
  target_id primary;
};

/// Write one log line about a decision of the controller.
struct log_decision {
  std::string event;  ///< Snake case, for example "promotion_started".
  term_id term;
  target_id target;  ///< Empty if no single target is concerned.
  std::string reason;
};

using group_action = std::variant<poll_target, long_poll_target, fence_target, promote_target, follow_target,
                                  acknowledge_write, end_write_unknown, publish_group_status, log_decision>;
using group_actions = std::vector<group_action>;

/// Health checks, promotion and write acknowledgement of one database group. One instance per
/// service and VM; not thread-safe.
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

  /// Handles one event.
  /// @param event what happened.
  /// @param now monotonic time; must not decrease between calls.
  /// @param random_bits 64 fresh random bits, for jitter.
  /// @return the actions that the daemon must carry out, in this order.
  [[nodiscard]] group_actions handle(const group_event& event, time_point now, std::uint64_t random_bits);

  /// @return the state of the group; the reference and its content stay until the next call of `handle`.
  [[nodiscard]] const group_view& view() const noexcept;

  /// @return the number of requests that the primary answered and that wait until a majority has them.
  [[nodiscard]] std::size_t waiting_writes() const noexcept;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace bulrushlift
