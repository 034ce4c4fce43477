#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// The memory and the descriptors that the callers of a process may use. Load pattern: clients that send
/// many large messages, stop half-way, read no answers or open connections without end; without bounds they
/// run the process out of memory, and then the next one. Decides who is not read, who is refused and whose
/// connection is closed. Has no sockets and reads no clock.

namespace bulrushlift {

/// What the VM has. A value of 0 means that it is not known.
struct resource_limits {
  std::uint64_t memory_bytes = 0;
  std::uint64_t descriptors = 0;
};

/// Upper bounds that follow from the limits. What is left of the limits is kept for the program itself, the
/// store, targets and drain.
struct resource_shares {
  std::size_t caller_bytes = 0;    ///< Buffers of all callers; above it, connections are closed.
  std::size_t refusal_bytes = 0;   ///< Above it, no session is opened.
  std::size_t reserved_bytes = 0;  ///< Above it, no large message or answer is taken.
  std::size_t customer_bytes = 0;  ///< Above it, no large message or answer of this customer is taken.
  std::size_t small_bytes = 0;     ///< What a connection may hold without a reservation.
  std::size_t unsent_bytes = 0;    ///< Unsent answers above which a session's next statement is not run.
  std::size_t session_bytes = 0;   ///< Values and prepared statements of one session.
  std::size_t caller_connections = 0;
  std::size_t unstarted_connections = 0;  ///< Of them, those that have not opened a session.
  std::size_t probe_connections = 0;      ///< At each address that speaks HTTP.
  std::size_t peer_connections = 0;
  std::size_t peer_input_bytes = 0;  ///< Incomplete messages of all connections to the peer address.

  friend bool operator==(const resource_shares&, const resource_shares&) = default;
};
[[nodiscard]] resource_shares shares_of(const resource_limits& limits);

/// Memory that is reserved for a message above `small_bytes`, from its first part to its answer: the message
/// is held as input, statement, command and unsent bytes to the target.
inline constexpr std::size_t message_reservation_bytes = std::size_t{4} << 20U;

using account_id = number_id<struct account_tag>;

/// What the buffers of an account hold.
enum class holding : std::uint8_t {
  input,    ///< An incomplete message.
  pending,  ///< Messages that wait for their turn.
  running,  ///< The statement that is being run.
  session,  ///< What is kept between statements: names, values, definitions, an open transaction.
  answer,   ///< Answers that were not sent yet.
};
inline constexpr std::size_t holding_count = 5;

/// Whose turn it is.
enum class caller_activity : std::uint8_t {
  busy,            ///< A statement is pending or running.
  resting,         ///< Nothing is outstanding.
  in_transaction,  ///< Nothing is outstanding, and a transaction is open.
};

enum class close_reason : std::uint8_t {
  not_started,     ///< No session was opened in time.
  half_message,    ///< A message has stopped half-way.
  unread_answers,  ///< The caller reads no answers.
  memory,          ///< Memory is needed for other callers.
  no_room,         ///< A large message waited too long for memory.
  descriptors,     ///< A descriptor is needed for a new connection.
};
[[nodiscard]] std::string_view name_of(close_reason reason) noexcept;

struct forced_close {
  account_id account;
  close_reason reason = close_reason::memory;

  friend bool operator==(const forced_close&, const forced_close&) = default;
};

/// Time limits. They bound pauses, not the time of a message or a session: a message may come over a slow
/// link, and a session may rest.
struct caller_time_limits {
  duration first_message = std::chrono::seconds{30};  ///< From the connection to the opened session.
  duration message_pause = std::chrono::seconds{30};  ///< Without `min_progress_bytes` of a message.
  duration answer_pause = std::chrono::seconds{30};   ///< Without progress of an unsent answer.
  duration reservation_wait = std::chrono::seconds{10};
  /// While others wait for memory, holders that pause this long, or hold it for this long, are closed.
  duration pause_under_pressure = std::chrono::seconds{1};
  duration hold_under_pressure = std::chrono::seconds{5};
  std::size_t min_progress_bytes = 1'024;

  friend bool operator==(const caller_time_limits&, const caller_time_limits&) = default;
};

class resource_budget {
 public:
  explicit resource_budget(const resource_limits& limits, caller_time_limits times = {});

  [[nodiscard]] const resource_shares& shares() const noexcept { return shares_; }

  /// Adds a connection.
  [[nodiscard]] account_id open(time_point now);
  /// Removes a connection with all that it holds. Unknown accounts are ignored by all calls.
  void close(account_id id);
  /// The connection has opened a session.
  void start(account_id id, const customer_id& customer, time_point now);

  /// Sets what an account holds of one kind. Always succeeds: the memory is in use already.
  void hold(account_id id, holding kind, std::size_t bytes, time_point now);
  /// As `hold`, if the account and its customer may hold that much more.
  [[nodiscard]] bool try_hold(account_id id, holding kind, std::size_t bytes, time_point now);

  /// Reserves memory for a large message. If there is none, the account waits for it.
  /// @return whether the memory is reserved.
  [[nodiscard]] bool request_message(account_id id, time_point now);
  void release_message(account_id id);
  /// @return accounts whose wait is over, in the order of their requests; their memory is reserved.
  [[nodiscard]] std::vector<account_id> end_waits(time_point now);

  /// Reserves memory for a large answer or a relayed statement, which belongs to no account of this process.
  [[nodiscard]] bool try_reserve(const customer_id& customer, std::size_t bytes, time_point now);
  void release(const customer_id& customer, std::size_t bytes);
  /// Sets the bytes of replies that were not sent to peers yet.
  void hold_replies(std::size_t bytes);

  void on_received(account_id id, std::size_t bytes, time_point now);
  void on_sent(account_id id, time_point now);
  void set_activity(account_id id, caller_activity activity, time_point now);

  /// @return whether a session may be opened.
  [[nodiscard]] bool admits_session() const noexcept { return held_bytes_ <= shares_.refusal_bytes; }
  /// @return whether a new connection needs the descriptor of another one.
  [[nodiscard]] bool is_full() const noexcept { return accounts_.size() >= shares_.caller_connections; }
  /// @return the connection to close for a new one; nothing if all are in use or none is needed.
  [[nodiscard]] std::optional<forced_close> replaced_connection(time_point now) const;
  /// @return the connections to close because memory is short. Call often; cheap unless it is.
  [[nodiscard]] std::vector<forced_close> closes_for_memory(time_point now);
  /// @return the connections that have exceeded a time limit. Call about once per second.
  [[nodiscard]] std::vector<forced_close> closes_for_time(time_point now);

  /// @return all that is held or reserved, in bytes.
  [[nodiscard]] std::size_t held_bytes() const noexcept { return held_bytes_; }
  [[nodiscard]] std::size_t connections() const noexcept { return accounts_.size(); }
  [[nodiscard]] std::size_t held_by(account_id id) const;

 private:
  struct customer_account;
  struct account {
    customer_account* customer = nullptr;
    std::array<std::size_t, holding_count> held{};
    std::size_t reserved = 0;
    bool is_started = false;
    caller_activity activity = caller_activity::resting;
    std::list<account_id>* queue = nullptr;  ///< The list of `position`.
    std::list<account_id>::iterator position{};
    time_point opened{};
    time_point last_activity{};
    time_point last_progress{};
    time_point large_since{};  ///< Since when it has held more than a small amount.
    time_point message_mark{};
    std::size_t received_since_mark = 0;
    std::optional<time_point> waiting_since;

    [[nodiscard]] std::size_t sum() const noexcept;
    [[nodiscard]] std::size_t charge() const noexcept;
    [[nodiscard]] std::size_t of(holding kind) const noexcept { return held[static_cast<std::size_t>(kind)]; }
  };
  /// Accounts and reservations of one customer, or of all connections without a session.
  struct customer_account {
    customer_id name;
    std::size_t bytes = 0;
    std::size_t connections = 0;
    std::list<account_id> resting;         ///< In the order in which they came to rest.
    std::list<account_id> in_transaction;  ///< In the order of their last answers.
    std::list<account_id> busy;
  };

  [[nodiscard]] account* find(account_id id);
  [[nodiscard]] customer_account& customer(const customer_id& name);
  void drop_if_unused(customer_account& each);
  void charge(account& each, std::size_t before);
  void enqueue(account& each, std::list<account_id>& queue);
  void leave_waiting(account_id id, account& each);
  [[nodiscard]] bool has_room(const customer_account& owner, std::size_t bytes) const noexcept;
  /// @return whether the account waits for its caller and holds more than a small amount.
  [[nodiscard]] bool is_offender(const account& each) const noexcept;
  void note_shortage(time_point now);
  [[nodiscard]] std::optional<account_id> slowest_offender(time_point now) const;
  [[nodiscard]] std::vector<forced_close> heaviest() const;
  [[nodiscard]] std::optional<close_reason> expired(account& each, time_point now) const;

  resource_shares shares_;
  caller_time_limits times_;
  std::unordered_map<std::uint64_t, account> accounts_;
  std::map<customer_id, customer_account> customers_;
  std::list<account_id> waiting_;
  std::size_t held_bytes_ = 0;
  std::size_t reply_bytes_ = 0;
  std::optional<time_point> short_since_;    ///< Since when a request for memory has been refused.
  std::optional<time_point> last_shortage_;  ///< When one was refused last.
  std::uint64_t last_id_ = 0;
};

/// Memory that stays reserved as long as this object lives.
class memory_reservation {
 public:
  /// @param budget null if nothing is bounded.
  memory_reservation(resource_budget* budget, customer_id customer)
      : budget_(budget), customer_(std::move(customer)) {}
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;
  ~memory_reservation() { reset(); }

  /// Grows the reservation to `bytes`. @return whether it is at least that large.
  [[nodiscard]] bool grow_to(std::size_t bytes, time_point now) {
    if (budget_ == nullptr || bytes <= bytes_) return true;
    if (!budget_->try_reserve(customer_, bytes - bytes_, now)) return false;
    bytes_ = bytes;
    return true;
  }
  void reset() {
    if (bytes_ > 0) budget_->release(customer_, bytes_);
    bytes_ = 0;
  }
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

 private:
  resource_budget* budget_;
  customer_id customer_;
  std::size_t bytes_ = 0;
};

}  // namespace bulrushlift
