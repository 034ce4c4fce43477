#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

/// @file
/// The connections of this VM to one target. The controller decides which
/// connection serves which request; the daemon opens, writes, reads and closes.

namespace bulrushlift {

/// A connection of one pool; never used twice.
using connection_id = number_id<struct connection_tag>;
/// Id in a request to a target and in its answer; never used twice in one pool.
using correlation_id = number_id<struct correlation_tag>;
/// The daemon's handle of a request that waits for an answer.
using ticket_id = number_id<struct ticket_tag>;

struct pool_options {
  /// Connections that the target accepts from the whole fleet; the pool opens at most half of them,
  /// so that two VMs that both believe they are the owner can coexist.
  std::uint32_t connection_limit = 16;
  /// Statements that the target runs at the same time.
  std::uint32_t slots = 2;
  /// Connections that may be opening at the same time.
  std::uint32_t opening_limit = 4;
  /// Idle connections kept beyond the slots.
  std::uint32_t spare_connections = 1;
  duration open_timeout = std::chrono::seconds{1};
  duration probe_interval = std::chrono::seconds{1};
  duration probe_timeout = std::chrono::milliseconds{500};
  /// Idle connections beyond the demand are closed after this time.
  duration surplus_idle_time = std::chrono::seconds{5};
  /// First and longest pause after a failed opening; doubled with each failure in a row.
  duration open_retry_first = std::chrono::milliseconds{20};
  duration open_retry_longest = std::chrono::seconds{1};
  /// Time in which transactions on a leaving target can still run statements.
  duration leaving_grace = std::chrono::seconds{3};
  /// Test only: deliver answers whatever their id.
  bool skips_correlation_check = false;
};

/// Why a request ended without an answer, or why a connection is closed.
enum class pool_failure {
  reset,             ///< The connection was closed or reset by the other side.
  deadline,          ///< No answer at the deadline: the connection is unresponsive.
  open_failed,       ///< The connection could not be opened in time.
  probe_unanswered,  ///< An idle connection did not answer its probe.
  crossed_answer,    ///< An answer arrived that belongs to no request of the connection.
  surplus,           ///< The connection is not needed.
  leaving,           ///< The target leaves.
  discarded,         ///< The caller of the pool gave the connection up.
};
[[nodiscard]] std::string_view name_of(pool_failure value) noexcept;

/// Open a connection and report `on_opened` or `on_open_failed`.
struct open_connection {
  connection_id connection;
};
/// Close it now; no event of this connection is accepted afterwards.
struct close_connection {
  connection_id connection;
  pool_failure reason;
};
/// Write the request of `ticket` with this id. Its bytes may have left from here on.
struct send_request {
  connection_id connection;
  correlation_id correlation;
  ticket_id ticket;
};
/// Write `GET /v1/status` with this id.
struct send_probe {
  connection_id connection;
  correlation_id correlation;
};
/// The answer at hand belongs to `ticket`; the request has ended.
struct deliver_answer {
  ticket_id ticket;
  connection_id connection;
};
/// The answer at hand belongs to no request that waits: drop it.
struct discard_answer {
  connection_id connection;
  correlation_id correlation;
};
/// The request has ended without an answer after its bytes may have left.
struct fail_request {
  ticket_id ticket;
  connection_id connection;
  pool_failure reason;
};
/// A connection with an open transaction and without a running request is gone; the target rolls back.
/// With a running request, `fail_request` tells the same.
struct binding_lost {
  connection_id connection;
  pool_failure reason;
};
/// Capacity became free: start waiting requests.
struct capacity_free {};

using pool_action = std::variant<open_connection, close_connection, send_request, send_probe, deliver_answer,
                                 discard_answer, fail_request, binding_lost, capacity_free>;
using pool_actions = std::vector<pool_action>;

/// Blackboard entry `pools[target]`.
struct pool_view {
  std::uint32_t opening = 0;
  std::uint32_t idle = 0;     ///< Open, not bound, no request; includes those being probed.
  std::uint32_t running = 0;  ///< A request runs, bound or not.
  std::uint32_t bound = 0;    ///< Bound to a transaction, running or not.
  std::uint32_t slots = 0;
  std::uint32_t slots_in_use = 0;
  bool is_leaving = false;

  [[nodiscard]] std::uint32_t free_slots() const noexcept {
    return slots_in_use < slots ? slots - slots_in_use : 0;
  }
  friend bool operator==(const pool_view&, const pool_view&) = default;
};

/// What a request does to the binding of its connection.
enum class pool_use {
  single,  ///< The connection is idle again after the answer.
  bind,    ///< The connection stays bound after the answer, until `release` or `discard`.
};

/// Controller of the connections to one target.
///
/// Invariants: open and opening connections are at most half of the target's
/// limit; requests that run are at most `slots`; a connection has at most one
/// request; a bound connection serves only requests that name it; each started
/// request ends exactly once, in `deliver_answer` or `fail_request`.
class pool_controller {
 public:
  explicit pool_controller(pool_options options) : options_(options) {}

  /// Opens the first connections.
  [[nodiscard]] pool_actions start(time_point now, std::uint64_t random);

  /// Starts a request on an idle connection: the one used last, so that surplus ones become old.
  /// @return `overloaded` when no slot or no idle connection is free, `target_unavailable` when the
  ///     target leaves; both mean that nothing was sent.
  [[nodiscard]] result<pool_actions> start_request(ticket_id ticket, pool_use use, time_point deadline,
                                                   time_point now);

  /// Starts a request on a bound connection.
  /// @return `transaction_lost` when the connection is not bound, `conflict` when a request runs on it,
  ///     `overloaded` when no slot is free; all mean that nothing was sent.
  [[nodiscard]] result<pool_actions> start_bound_request(connection_id connection, ticket_id ticket,
                                                         time_point deadline, time_point now);

  /// Returns a bound connection after the target confirmed the end of its transaction.
  [[nodiscard]] pool_actions release(connection_id connection, time_point now, std::uint64_t random);

  /// Closes a connection whose transaction has no confirmed end. A request that runs on it fails.
  [[nodiscard]] pool_actions discard(connection_id connection, time_point now, std::uint64_t random);

  [[nodiscard]] pool_actions on_opened(connection_id connection, time_point now, std::uint64_t random);
  /// Also to be called when the target answers `too_many_connections`; the connection is closed then.
  [[nodiscard]] pool_actions on_open_failed(connection_id connection, time_point now, std::uint64_t random);
  /// A whole answer arrived.
  /// @param correlation id in the answer.
  [[nodiscard]] pool_actions on_answer(connection_id connection, correlation_id correlation, time_point now,
                                       std::uint64_t random);
  /// The connection was closed by the other side or failed.
  [[nodiscard]] pool_actions on_reset(connection_id connection, time_point now, std::uint64_t random);
  /// Handles deadlines, probes, paced openings and surplus connections. Call at `next_timer`.
  [[nodiscard]] pool_actions on_timer(time_point now, std::uint64_t random);
  [[nodiscard]] pool_actions set_leaving(bool leaving, time_point now, std::uint64_t random);
  /// Applies the limits of a new document; requests that run are not cut.
  [[nodiscard]] pool_actions set_limits(std::uint32_t connection_limit, std::uint32_t slots, time_point now,
                                        std::uint64_t random);

  /// @return when `on_timer` is due; nothing when no event is pending.
  [[nodiscard]] std::optional<time_point> next_timer() const;
  [[nodiscard]] pool_view view() const;
  /// @return the most connections that this pool opens.
  [[nodiscard]] std::uint32_t size_limit() const noexcept;

 private:
  enum class phase { opening, idle, probing, running, bound };
  struct connection_record {
    phase state = phase::opening;
    bool is_bound = false;            ///< An open transaction exists or begins on it.
    bool has_crossed_answer = false;  ///< A crossed answer was seen: closed instead of reused.
    ticket_id ticket;
    correlation_id correlation;
    time_point deadline{};    ///< Of the opening, the probe or the request.
    time_point idle_since{};  ///< End of the last request.
    time_point probe_due{};
  };
  using connection_table = std::map<connection_id, connection_record>;
  using iterator = connection_table::iterator;

  [[nodiscard]] std::uint32_t count(phase state) const noexcept;
  [[nodiscard]] std::uint32_t count_bound() const noexcept;
  [[nodiscard]] std::uint32_t wanted_connections() const noexcept;
  [[nodiscard]] std::uint32_t bound_limit() const noexcept;
  [[nodiscard]] bool has_free_slot() const noexcept { return count(phase::running) < options_.slots; }
  [[nodiscard]] bool is_probe_allowed() const noexcept;
  [[nodiscard]] bool is_opening_needed() const noexcept;
  [[nodiscard]] iterator last_used_idle() noexcept;

  void begin_request(iterator it, ticket_id ticket, time_point deadline, pool_actions& actions);
  void finish_request(iterator it, time_point now, pool_actions& actions);
  /// Returns a connection without a request to the idle ones, or closes it.
  void return_to_idle(iterator it, time_point now, pool_actions& actions);
  void make_idle(connection_record& it, time_point now) const;
  /// Ends the request or the binding of a connection that is lost.
  void fail(iterator it, pool_failure reason, pool_actions& actions);
  iterator close(iterator it, pool_failure reason, pool_actions& actions);
  void open_needed(time_point now, pool_actions& actions);
  void schedule_retry(time_point now, std::uint64_t random);
  /// @return the reason for which the connection is to be closed now.
  [[nodiscard]] std::optional<pool_failure> expiry_reason(const connection_record& it, time_point now) const;
  [[nodiscard]] std::optional<time_point> expires_at(const connection_record& it) const;

  pool_options options_;
  connection_table connections_;
  std::uint64_t last_connection_id_ = 0;
  std::uint64_t last_correlation_id_ = 0;
  std::uint32_t open_failures_ = 0;  ///< In a row.
  time_point next_open_at_{};
  bool is_started_ = false;
  bool is_leaving_ = false;
  time_point leaving_since_{};
};

}  // namespace bulrushlift
