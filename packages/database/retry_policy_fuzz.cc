#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "database/retry_policy.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Generated result of one attempt.
struct attempt_result {
  failure_point point = failure_point::before_send;
  /// If the answer is lost: whether the attempt runs, possibly after the caller got its answer.
  bool runs = false;
};

rc::Gen<attempt_result> arbitrary_result() {
  using enum failure_point;
  return rc::gen::build<attempt_result>(
      rc::gen::set(&attempt_result::point, rc::gen::element(before_send, refused, statement_failed, cancelled,
                                                            after_send, unacknowledged)),
      rc::gen::set(&attempt_result::runs, rc::gen::arbitrary<bool>()));
}

/// Models the target; counts how often one request runs there.
struct target_model {
  request_traits request{};
  bool is_cancelled = false;
  int runs = 0;
  int sends_that_may_run = 0;

  /// @return the failure point that the target reports: a key that has run can't be cancelled, and an
  ///   attempt with a cancelled key doesn't run.
  failure_point attempt(const attempt_result& it) {
    if (it.point == failure_point::before_send) return it.point;
    auto point = it.point;
    if (point == failure_point::cancelled && (!request.has_idempotency_key || runs > 0))
      point = failure_point::refused;
    if (is_cancelled) point = failure_point::cancelled;
    if (point == failure_point::cancelled) is_cancelled = true;
    const bool may_run = point == failure_point::after_send || point == failure_point::unacknowledged;
    if (may_run) ++sends_that_may_run;
    const bool is_repeated = request.has_idempotency_key && runs > 0;
    const bool does_run =
        point == failure_point::unacknowledged || (point == failure_point::after_send && it.runs);
    if (does_run && !is_repeated) ++runs;
    return point;
  }
};

/// Runs requests with arbitrary results of their attempts, up to 200 attempts per case.
bool holds_invariants(retry_options options) {
  return rc::check("retries", [options] {
    const request_traits request{*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
                                 *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
    const auto results =
        *rc::gen::scale(2, rc::gen::container<std::vector<attempt_result>>(arbitrary_result()));
    auto now = time_point{seconds{1'000}};
    const auto deadline = now + milliseconds{*rc::gen::inRange(1, 100'000)};
    retry_budget budget;
    for (int i = *rc::gen::inRange(0, 1'000); i > 0; --i) budget.count_request(now);
    target_model target{request};
    request_attempts attempts{request, deadline};
    const bool may_be_repeated = request.is_read || request.is_idempotent || request.has_idempotency_key;
    for (const auto& it : results) {
      const auto point = target.attempt(it);
      RC_ASSERT(may_be_repeated || target.sends_that_may_run <= 1);
      const auto decision =
          attempts.on_failure({point, {error_kind::target_unavailable, ""}}, budget, options, now, 7);
      RC_ASSERT(request.is_read || target.runs == 0 ||
                attempts.on_deadline().request_outcome() != outcome::not_run);
      if (const auto* end = std::get_if<give_up>(&decision)) {
        const bool is_said_not_run = end->cause.request_outcome() == outcome::not_run;
        RC_ASSERT(request.is_read || target.runs == 0 || !is_said_not_run);
        RC_ASSERT(may_be_repeated || target.runs <= 1);
        break;
      }
      RC_ASSERT(!request.in_transaction);
      now = std::get<retry_at>(decision).when;
      RC_ASSERT(now < deadline);
    }
  });
}

// Guards against a write that runs twice, and against "not run" for a write that ran.
TEST_CASE("requests run at most once and are truthfully reported under arbitrary failures") {
  CHECK(holds_invariants({}));
}

// Guards against a property check that cannot fail.
TEST_CASE("the check finds a write that is sent again after its bytes left") {
  CHECK_FALSE(holds_invariants({.retries_after_send = true}));
}

}  // namespace
}  // namespace bulrushlift
