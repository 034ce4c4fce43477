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
/// The pool of connections from this VM to one target. The controller decides which connection
/// serves which request; the daemon opens and closes connections, and writes and reads on them.

namespace bulrushlift {

/// Id of a connection in one pool; never reused.
using connection_id = number_id<struct connection_tag>;
/// Id in a request to a target that the answer repeats; never reused in one pool.
using correlation_id = number_id<struct correlation_tag>;
/// The daemon's id of a request that waits for an answer.
using ticket_id = number_id<struct ticket_tag>;

/// Settings of the pool of one target.
struct pool_options {
  /// Connections that the target accepts from all VMs together. The pool opens at most half of them,
  /// so that two VMs that both act as the owner don't exceed the limit.
  std::uint32_t connection_limit = 16;
  /// Statements that the target runs concurrently.
  std::uint32_t slots = 2;
  /// Connections that may be in the process of opening at the same time.
  std::uint32_t opening_limit = 4;
  /// Idle connections that are kept in addition to one for each slot.
  std::uint32_t spare_connections = 1;
  duration open_timeout = std::chrono::seconds{1};
  duration probe_interval = std::chrono::seconds{1};
  duration probe_timeout = std::chrono::milliseconds{500};
  /// Connections that are not needed are closed after they have been idle for this time.
  duration surplus_idle_time = std::chrono::seconds{5};
  /// First and longest pause after a connection could not be opened; doubles with each consecutive failure.
  duration open_retry_first = std::chrono::milliseconds{20};
  duration open_retry_longest = std::chrono::seconds{1};
  /// Time for which open transactions on a leaving target can still run statements.
  duration leaving_grace = std::chrono::seconds{3};
  /// For tests only: deliver answers whatever their correlation id.
  bool skips_correlation_check = false;
};

/// Why a request ended without an answer, or why a connection is closed.
enum class pool_failure {
  reset,             ///< The target closed or reset the connection.
  deadline,          ///< No answer arrived by the deadline; the connection counts as unresponsive.
  open_failed,       ///< The connection could not be opened in time.
  probe_unanswered,  ///< An idle connection did not answer its probe.
  crossed_answer,    ///< An answer arrived whose correlation id matches no pending request of the connection.
  surplus,           ///< The connection is no longer needed.
  leaving,           ///< The target is leaving.
  discarded,         ///< The user of the pool called `discard`.
};
/// @return the name that is written to logs, for example "reset".
[[nodiscard]] std::string_view name_of(pool_failure value) noexcept;

/// Open a connection, then report `on_opened` or `on_open_failed`.
struct open_connection {
  connection_id connection;
};
/// Close the connection now; later events of this connection are ignored.
struct close_connection {
  connection_id connection;
  pool_failure reason;
};
/// Write the request of `ticket` with this correlation id. From now on the target may have received it.
struct send_request {
  connection_id connection;
  correlation_id correlation;
  ticket_id ticket;
};
/// Write `GET /v1/status` with this correlation id, to check an idle connection.
struct send_probe {
  connection_id connection;
  correlation_id correlation;
};
/// The answer that was passed to `on_answer` belongs to `ticket`; the request has ended.
struct deliver_answer {
  ticket_id ticket;
  connection_id connection;
};
/// The answer that was passed to `on_answer` belongs to no pending request: drop it.
struct discard_answer {
  connection_id connection;
  correlation_id correlation;
};
/// The request has ended without an answer; the target may have received it.
struct fail_request {
  ticket_id ticket;
  connection_id connection;
  pool_failure reason;
};
/// A connection with an open transaction and without a running request was closed; the target rolls the
/// transaction back. With a running request, `fail_request` is returned instead.
struct binding_lost {
  connection_id connection;
  pool_failure reason;
};
/// A slot or a connection became free: start requests that wait for one.
struct capacity_free {};

using pool_action = std::variant<open_connection, close_connection, send_request, send_probe, deliver_answer,
                                 discard_answer, fail_request, binding_lost, capacity_free>;
using pool_actions = std::vector<pool_action>;

/// Usage of one pool, `pools[target]` in the state that the parts of the proxy share.
struct pool_view {
  std::uint32_t opening = 0;
  std::uint32_t idle = 0;     ///< Open, without a transaction or a request; includes those being probed.
  std::uint32_t running = 0;  ///< With a running request, bound or not.
  std::uint32_t bound = 0;    ///< Bound to a transaction, with or without a running request.
  std::uint32_t slots = 0;
  std::uint32_t slots_in_use = 0;
  bool is_leaving = false;

  [[nodiscard]] std::uint32_t free_slots() const noexcept {
    return slots_in_use < slots ? slots - slots_in_use : 0;
  }
  friend bool operator==(const pool_view&, const pool_view&) = default;
};

/// Whether a request binds its connection to a transaction.
enum class pool_use {
  single,  ///< The connection becomes idle after the answer.
  bind,    ///< The connection stays bound after the answer, until `release` or `discard`.
};

/// Manages the connections to one target.
///
/// Invariants: open and opening connections are at most half of the target's
/// limit; at most `slots` requests run; a connection has at most one request; a bound
/// connection serves only requests that name it; each started request ends exactly once,
/// with `deliver_answer` or `fail_request`.
class pool_controller {
 public:
  explicit pool_controller(pool_options options) : options_(options) {}

  /// Opens the first connections.
  [[nodiscard]] pool_actions start(time_point now, std::uint64_t random);

  /// Starts a request on the idle connection that was used last, so that surplus connections stay idle
  /// and are closed.
  /// @param use whether the connection is bound to a transaction.
  /// @return `overloaded` when no slot or no idle connection is free, `target_unavailable` when the
  ///     target is leaving. In both cases nothing was sent.
  [[nodiscard]] result<pool_actions> start_request(ticket_id ticket, pool_use use, time_point deadline,
                                                   time_point now);

  /// Starts a request on a bound connection.
  /// @return `transaction_lost` when the connection is not bound, `conflict` when a request runs on it,
  ///     `overloaded` when no slot is free. In all these cases nothing was sent.
  [[nodiscard]] result<pool_actions> start_bound_request(connection_id connection, ticket_id ticket,
                                                         time_point deadline, time_point now);

  /// Returns a bound connection to the pool after the target confirmed the end of its transaction.
  [[nodiscard]] pool_actions release(connection_id connection, time_point now, std::uint64_t random);

  /// Closes a connection on which a transaction may still be open. A request that runs on it fails.
  [[nodiscard]] pool_actions discard(connection_id connection, time_point now, std::uint64_t random);

  /// The connection was opened.
  [[nodiscard]] pool_actions on_opened(connection_id connection, time_point now, std::uint64_t random);
  /// The connection could not be opened, or the target answered `too_many_connections` on it; in that
  /// case it is closed.
  [[nodiscard]] pool_actions on_open_failed(connection_id connection, time_point now, std::uint64_t random);
  /// A complete answer arrived.
  /// @param correlation correlation id in the answer.
  [[nodiscard]] pool_actions on_answer(connection_id connection, correlation_id correlation, time_point now,
                                       std::uint64_t random);
  /// The target closed the connection, or the connection failed.
  [[nodiscard]] pool_actions on_reset(connection_id connection, time_point now, std::uint64_t random);
  /// Fails requests at their deadline, probes idle connections, opens connections whose pause is over and
  /// closes surplus ones. To be called at `next_timer`.
  [[nodiscard]] pool_actions on_timer(time_point now, std::uint64_t random);
  /// Closes connections without a request or transaction when the target is leaving; the others follow
  /// when they end, or after `leaving_grace`.
  [[nodiscard]] pool_actions set_leaving(bool leaving, time_point now, std::uint64_t random);
  /// Applies the limits of a new document; running requests and transactions continue.
  [[nodiscard]] pool_actions set_limits(std::uint32_t connection_limit, std::uint32_t slots, time_point now,
                                        std::uint64_t random);

  /// @return when `on_timer` is to be called next; nothing if no timer is set.
  [[nodiscard]] std::optional<time_point> next_timer() const;
  /// @return the current usage.
  [[nodiscard]] pool_view view() const;
  /// @return the maximum number of connections of this pool.
  [[nodiscard]] std::uint32_t size_limit() const noexcept;

 private:
  enum class phase { opening, idle, probing, running, bound };
  struct connection_record {
    phase state = phase::opening;
    bool is_bound = false;  ///< A transaction is open on it or being begun.
    /// An answer with a wrong correlation id arrived: closed instead of reused.
    bool has_crossed_answer = false;
    ticket_id ticket;
    correlation_id correlation;
    time_point deadline{};    ///< For the opening, the probe or the request.
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
  /// Makes a connection without a request idle, or closes it if it is not to be reused.
  void return_to_idle(iterator it, time_point now, pool_actions& actions);
  void make_idle(connection_record& it, time_point now) const;
  /// Reports that the request or transaction of a connection ended with the connection.
  void fail(iterator it, pool_failure reason, pool_actions& actions);
  iterator close(iterator it, pool_failure reason, pool_actions& actions);
  void open_needed(time_point now, pool_actions& actions);
  void schedule_retry(time_point now, std::uint64_t random);
  /// @return why the connection is to be closed now; nothing if it stays open.
  [[nodiscard]] std::optional<pool_failure> expiry_reason(const connection_record& it, time_point now) const;
  /// @return when the connection is to be closed if nothing happens before; nothing if it stays open.
  [[nodiscard]] std::optional<time_point> expires_at(const connection_record& it) const;

  pool_options options_;
  connection_table connections_;
  std::uint64_t last_connection_id_ = 0;
  std::uint64_t last_correlation_id_ = 0;
  std::uint32_t open_failures_ = 0;  ///< Consecutive failures.
  time_point next_open_at_{};
  bool is_started_ = false;
  bool is_leaving_ = false;
  time_point leaving_since_{};
};

}  // namespace bulrushlift
