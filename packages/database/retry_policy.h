#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "base/clock.h"
#include "base/error.h"

/// @file
/// The outcome of a request after a failed attempt, and whether it is sent again (design section 3.5).

namespace bulrushlift {

/// At which point an attempt failed.
enum class failure_point {
  before_send,       ///< Nothing was sent: no target, connection or slot was available.
  refused,           ///< The receiver answered that the request had no effect.
  statement_failed,  ///< The target answered that the statement failed without effect.
  cancelled,   ///< The target answered that the idempotency key was cancelled: no attempt with it will ever
               ///< run.
  after_send,  ///< Something may have been sent; the connection was reset or no answer arrived by the
               ///< deadline.
  unacknowledged,  ///< The primary answered, but no majority is known to have the write.
};

/// @return the outcome of one attempt that failed at `point`: `not_run` only if the receiver said so or
///   nothing was sent, else `unknown`.
[[nodiscard]] outcome outcome_of(failure_point point) noexcept;

/// Properties of a request that decide whether it may be sent more than once.
struct request_traits {
  bool is_read = false;
  /// The caller declared that the request may run more than once.
  bool is_idempotent = false;
  bool has_idempotency_key = false;
  /// Runs in a transaction, which lives on one connection of one target.
  bool in_transaction = false;
};

/// @return whether the request may be sent again after an attempt that failed at `point`.
[[nodiscard]] bool is_retry_allowed(const request_traits& request, failure_point point) noexcept;

/// Limits the retries of one service to a share of its recent requests, so that retries in a failover
/// don't multiply the load.
class retry_budget {
 public:
  /// Length of the sliding window in seconds; each bucket holds one second.
  static constexpr std::size_t window = 10;

  /// @param share allowed retries per request of the last `window` seconds.
  /// @param minimum retries that are allowed in addition, also without recent requests.
  explicit retry_budget(double share = 0.1, std::size_t minimum = 3) noexcept
      : share_(share), minimum_(minimum) {}

  /// Counts a new request of the service.
  void count_request(time_point now);
  /// Takes one retry from the budget.
  /// @return whether the retry is allowed; only then it is counted.
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

/// Settings of retries.
struct retry_options {
  duration backoff_first = std::chrono::milliseconds{5};
  duration backoff_longest = std::chrono::milliseconds{250};
  /// Timeout of one attempt of a request that may be sent again, so that an unresponsive connection does
  /// not use up the whole deadline.
  duration attempt_timeout = std::chrono::seconds{1};
  /// For tests only: retry any request after `after_send`, which can run a write twice.
  bool retries_after_send = false;
};

/// @param deadline deadline of the request.
/// @return the deadline of one attempt; that of the request if it may not be sent again.
[[nodiscard]] time_point attempt_deadline(const request_traits& request, const retry_options& options,
                                          time_point deadline, time_point now) noexcept;

/// @param retries number of retries of this request so far.
/// @param random bits from a random number generator.
/// @return the pause before the next attempt; see `jittered_backoff`.
[[nodiscard]] duration backoff(const retry_options& options, std::uint32_t retries, std::uint64_t random);

/// One failed attempt.
struct failed_attempt {
  failure_point point = failure_point::before_send;
  /// Error that the caller gets if the request is not sent again.
  error cause;
};

/// Send the request again at this time.
struct retry_at {
  time_point when;
};
/// End the request with this error; its outcome covers all attempts.
struct give_up {
  error cause;
};
using retry_decision = std::variant<retry_at, give_up>;

/// Tracks the attempts of one request. Once an attempt of a write may have run, the outcome of the request
/// stays `unknown`, also if a later attempt did not run, until its idempotency key is cancelled.
class request_attempts {
 public:
  request_attempts(request_traits request, time_point deadline) : request_(request), deadline_(deadline) {}

  /// Decides whether the request is sent again after a failed attempt. Retries after an attempt that sent
  /// nothing are limited by the deadline only; the others also by the budget.
  /// @param budget retry budget of the request's service.
  /// @param random bits from a random number generator, for the jitter.
  /// @return the time of the next attempt, or the error for the caller.
  [[nodiscard]] retry_decision on_failure(const failed_attempt& attempt, retry_budget& budget,
                                          const retry_options& options, time_point now, std::uint64_t random);

  /// @return the error for a request whose deadline passed while no attempt was running.
  [[nodiscard]] error on_deadline() const;

  /// @return the outcome of the request after all attempts so far.
  [[nodiscard]] outcome known_outcome() const noexcept;

 private:
  [[nodiscard]] error final_error(error cause) const;

  request_traits request_;
  time_point deadline_;
  std::uint32_t retries_ = 0;
  bool may_have_run_ = false;
};

/// @return the time until the deadline, which is sent to the next hop: whole milliseconds, rounded down;
///   0 if the deadline has passed.
[[nodiscard]] std::chrono::milliseconds remaining_time(time_point deadline, time_point now) noexcept;

}  // namespace bulrushlift
