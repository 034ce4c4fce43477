#include "database/retry_policy.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{1'000}};
constexpr request_traits plain_write{};
constexpr request_traits read{.is_read = true};
constexpr request_traits keyed_write{.has_idempotency_key = true};

failed_attempt failure(failure_point point) { return {point, {error_kind::target_unavailable, "failed"}}; }

// Guards against a write that runs twice.
TEST_CASE("what may be sent again after each failure") {
  using enum failure_point;
  for (const auto point : {before_send, refused}) {
    for (const auto& request : {plain_write, read, keyed_write}) CHECK(is_retry_allowed(request, point));
  }
  for (const auto point : {after_send, unacknowledged}) {
    CHECK_FALSE(is_retry_allowed(plain_write, point));
    CHECK(is_retry_allowed(read, point));
    CHECK(is_retry_allowed(keyed_write, point));
  }
  for (const auto point : {statement_failed, cancelled}) CHECK_FALSE(is_retry_allowed(read, point));
  for (const auto point : {before_send, refused, after_send}) {
    CHECK_FALSE(is_retry_allowed({.is_read = true, .in_transaction = true}, point));
  }
}

// Guards against "not run" for a write whose first attempt may have run.
TEST_CASE("an unknown attempt makes the request unknown, unless its key was cancelled") {
  retry_budget budget;
  request_attempts attempts{keyed_write, start + seconds{1}};
  CHECK(std::holds_alternative<retry_at>(
      attempts.on_failure(failure(failure_point::after_send), budget, {}, start, 0)));
  const auto refused = attempts.on_failure(failure(failure_point::statement_failed), budget, {}, start, 0);
  CHECK(std::get<give_up>(refused).cause.request_outcome() == outcome::unknown);
  CHECK(attempts.on_deadline().request_outcome() == outcome::unknown);
  const auto cancelled = attempts.on_failure(failure(failure_point::cancelled), budget, {}, start, 0);
  CHECK(std::get<give_up>(cancelled).cause.request_outcome() == outcome::not_run);
}

// Guards against retries that multiply the load in a failover.
TEST_CASE("retries are a tenth of the recent requests plus three") {
  retry_budget budget;
  for (int i = 0; i < 100; ++i) budget.count_request(start);
  int retries = 0;
  while (budget.take(start)) ++retries;
  CHECK(retries == 13);
  CHECK_FALSE(budget.take(start + seconds{9}));
  int later = 0;
  while (budget.take(start + seconds{10})) ++later;
  CHECK(later == 3);
}

// Guards against a budget that ignores its parameters.
TEST_CASE("the share and the minimum of the retry budget are settings") {
  retry_budget budget{0.5, 1};
  for (int i = 0; i < 100; ++i) budget.count_request(start);
  int retries = 0;
  while (budget.take(start)) ++retries;
  CHECK(retries == 51);
}

// Guards against errors in a failover for requests that were not sent and could wait for the new primary.
TEST_CASE("attempts that sent nothing are repeated until the deadline") {
  retry_budget budget;
  request_attempts attempts{plain_write, start + seconds{1}};
  auto now = start;
  int repeated = 0;
  for (;; ++repeated) {
    const auto decision = attempts.on_failure(failure(failure_point::before_send), budget, {}, now, ~0ULL);
    if (const auto* end = std::get_if<give_up>(&decision)) {
      CHECK(end->cause.request_outcome() == outcome::not_run);
      break;
    }
    CHECK(std::get<retry_at>(decision).when > now);
    now = std::get<retry_at>(decision).when;
  }
  CHECK(repeated > 5);
  CHECK(now > start + milliseconds{500});
  CHECK(budget.take(now));
}

// Guards against many requests being retried at the same time.
TEST_CASE("the back-off doubles up to its limit and is jittered over its upper half") {
  const retry_options options;
  for (std::uint32_t retries = 0; retries < 70; ++retries) {
    const auto step = retries < 6 ? options.backoff_first * (1 << retries) : options.backoff_longest;
    CHECK(backoff(options, retries, 0) == step / 2);
    for (const std::uint64_t random : {1ULL, 77'777'777ULL, ~0ULL}) {
      CHECK(backoff(options, retries, random) >= step / 2);
      CHECK(backoff(options, retries, random) <= step);
    }
  }
}

// Guards against an unresponsive connection that uses up the whole deadline of a read.
TEST_CASE("only requests that may be sent again have shorter attempts") {
  const auto deadline = start + seconds{10};
  CHECK(attempt_deadline(read, {}, deadline, start) == start + seconds{1});
  CHECK(attempt_deadline(plain_write, {}, deadline, start) == deadline);
  CHECK(attempt_deadline(read, {}, start + milliseconds{5}, start) == start + milliseconds{5});
}

// Guards against a hop with a later deadline than its caller.
TEST_CASE("the remaining time is rounded down") {
  CHECK(remaining_time(start + std::chrono::microseconds{1'999}, start) == milliseconds{1});
  CHECK(remaining_time(start, start + seconds{1}) == milliseconds{0});
}

}  // namespace
}  // namespace bulrushlift
