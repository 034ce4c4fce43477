#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "base/clock.h"
#include "base/error.h"

/// @file
/// What is known about a request whose attempt failed, and whether it is sent
/// again (design 3.5).

namespace bulrushlift {

/// Where an attempt failed.
enum class failure_point {
  before_send,       ///< No byte left: no target, no connection, no slot.
  refused,           ///< The receiver answered that the request had no effect.
  statement_failed,  ///< The target answered that the statement failed without effect.
  cancelled,         ///< The target answered that the idempotency key was cancelled: no copy ever runs.
  after_send,        ///< Bytes may have left; reset or no answer by the deadline.
  unacknowledged,    ///< The primary answered, but no second member confirmed the position.
};

/// @return what is known after one attempt that failed at `point`. `not_run` only when the
///     receiver said so or no byte left.
[[nodiscard]] outcome outcome_of(failure_point point) noexcept;

/// What decides whether a request may be sent twice.
struct request_traits {
  bool is_read = false;
  /// The caller states that a second run does no harm.
  bool is_idempotent = false;
  bool has_idempotency_key = false;
  /// Runs in a transaction, which lives on one connection of one target.
  bool in_transaction = false;
};

/// @return whether the request may be sent again after an attempt that failed at `point`.
[[nodiscard]] bool is_retry_allowed(const request_traits& request, failure_point point) noexcept;

/// Bounds the retries of one service to a share of its recent requests, so
/// that a failover does not double the load.
class retry_budget {
 public:
  /// Length of the recent past, in buckets of one second.
  static constexpr std::size_t window = 10;

  /// @param share retries for each request of the last `window` seconds.
  /// @param minimum retries that are allowed without any recent request.
  explicit retry_budget(double share = 0.1, std::size_t minimum = 3) noexcept
      : share_(share), minimum_(minimum) {}

  void count_request(time_point now);
  /// @return whether one more retry is allowed now; it is counted if so.
  [[nodiscard]] bool take(time_point now);

 private:
  struct bucket {
    std::uint64_t second = 0;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };
  [[nodiscard]] bucket& bucket_at(time_point now);

  double share_;
  std::size_t minimum_;
  std::array<bucket, window> buckets_{};
};

struct retry_options {
  duration backoff_first = std::chrono::milliseconds{5};
  duration backoff_longest = std::chrono::milliseconds{250};
  /// Longest attempt of a request that may be sent again, so that an unresponsive connection costs
  /// less than the whole deadline.
  duration attempt_timeout = std::chrono::seconds{1};
  /// Test only: send any request again after its bytes may have left.
  bool retries_after_send = false;
};

/// @return the deadline of one attempt: the request's own for a request that may not be sent twice.
[[nodiscard]] time_point attempt_deadline(const request_traits& request, const retry_options& options,
                                          time_point deadline, time_point now) noexcept;

/// @param retries retries of this request so far.
/// @return a pause between half of the doubled step and the whole step.
[[nodiscard]] duration backoff(const retry_options& options, std::uint32_t retries, std::uint64_t random);

/// One failed attempt.
struct failed_attempt {
  failure_point point = failure_point::before_send;
  /// Cause, as it is given to the caller if the request ends.
  error cause;
};

/// Send the request again at this time.
struct retry_at {
  time_point when;
};
/// The request ends with this error; its outcome covers all attempts.
struct give_up {
  error cause;
};
using retry_decision = std::variant<retry_at, give_up>;

/// The attempts of one request. `unknown` sticks: once an attempt of a write
/// may have run, a later attempt that did not run does not make the request "not run".
class request_attempts {
 public:
  request_attempts(request_traits request, time_point deadline) : request_(request), deadline_(deadline) {}

  /// Decides after a failed attempt. Attempts that sent nothing are repeated until the deadline without a
  /// charge to the budget; the others need the budget.
  /// @param budget of the request's service.
  [[nodiscard]] retry_decision on_failure(const failed_attempt& attempt, retry_budget& budget,
                                          const retry_options& options, time_point now, std::uint64_t random);

  /// The deadline passed while the request waited, with no attempt running.
  [[nodiscard]] error on_deadline() const;

  /// @return what is known over all attempts so far.
  [[nodiscard]] outcome known_outcome() const noexcept;

 private:
  [[nodiscard]] error final_error(error cause) const;

  request_traits request_;
  time_point deadline_;
  std::uint32_t retries_ = 0;
  bool may_have_run_ = false;
};

/// Time that remains for the next hop.
/// @return whole milliseconds, rounded down; 0 when the deadline has passed.
[[nodiscard]] std::chrono::milliseconds remaining_time(time_point deadline, time_point now) noexcept;

}  // namespace bulrushlift
