#include "sql/wait_estimator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "sql/retry_budget.h"

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{1'000}};
constexpr duration service_time = milliseconds{10};
constexpr slot_use all_busy{4, 4};

wait_estimator trained(int priority = 1) {
  wait_estimator estimator;
  for (int i = 0; i < 50; ++i) estimator.on_finished(priority, service_time, start);
  return estimator;
}

// Guards against refusals without load or without knowledge.
TEST_CASE("Nothing is predicted for a free slot, an unknown service time or no target") {
  CHECK(trained().predict(1, {}, {3, 4}, start) == duration::zero());
  CHECK(wait_estimator{}.predict(1, {{1, 100}}, all_busy, start) == duration::zero());
  CHECK(trained().predict(1, {{1, 100}}, {0, 0}, start) == duration::zero());
}

TEST_CASE("The wait grows with the work ahead and shrinks with the slots") {
  const auto estimator = trained();
  CHECK(estimator.predict(1, {}, all_busy, start) == service_time / 4);
  CHECK(estimator.predict(1, {{1, 8}}, all_busy, start) == service_time * 9 / 4);
  CHECK(estimator.predict(1, {{1, 8}}, {8, 8}, start) == service_time * 9 / 8);
}

// Guards against a prediction that ignores urgent statements which arrive later.
TEST_CASE("Urgent load makes the wait of less urgent statements longer, within bounds") {
  auto estimator = trained();
  const auto before = estimator.predict(1, {{1, 8}}, all_busy, start);
  for (int i = 0; i < 10'000; ++i) estimator.on_finished(0, service_time, start);
  const auto after = estimator.predict(1, {{1, 8}}, all_busy, start);
  CHECK(after > before * 4);
  CHECK(after < before * 6);
  CHECK(estimator.predict(1, {{1, 8}}, all_busy, start + std::chrono::minutes{1}) < before * 11 / 10);
}

// Guards against a wrong estimate that refuses every statement and so never gets a newer one.
TEST_CASE("An empty queue never leads to a refusal") {
  auto estimator = trained();
  CHECK(estimator.should_refuse(1, std::chrono::hours{1}, milliseconds{1}, {{1, 1}}));
  CHECK_FALSE(estimator.should_refuse(1, std::chrono::hours{1}, milliseconds{1}, {}));
}

// Guards against refusals that alternate with admissions while the prediction is near the limit.
TEST_CASE("Refusals begin above the permitted wait and end below it") {
  auto estimator = trained();
  const statements_ahead ahead{{1, 1}};
  constexpr auto can_wait = milliseconds{100};
  CHECK_FALSE(estimator.should_refuse(1, milliseconds{100}, can_wait, ahead));
  CHECK(estimator.should_refuse(1, milliseconds{101}, can_wait, ahead));
  CHECK(estimator.should_refuse(1, milliseconds{80}, can_wait, ahead));
  CHECK_FALSE(estimator.should_refuse(0, milliseconds{80}, can_wait, ahead));
  CHECK_FALSE(estimator.should_refuse(1, milliseconds{75}, can_wait, ahead));
  CHECK_FALSE(estimator.should_refuse(1, milliseconds{80}, can_wait, ahead));
}

/// Statements of two customers that arrive at twice the rate of one slot.
struct overload_result {
  int served = 0;
  int refused_at_once = 0;
  int refused_late = 0;
};

overload_result play_overload(bool has_admission) {
  constexpr auto max_wait = milliseconds{100};
  constexpr auto interval = service_time / 2;
  dispatch_queue<int> queue;
  wait_estimator estimator;
  overload_result result;
  auto busy_until = start;
  int number = 0;
  for (auto now = start; now < start + std::chrono::seconds{20}; now += interval) {
    result.refused_late += static_cast<int>(queue.take_expired(now).size());
    waiting_statement statement{customer_id{number % 2 == 0 ? "a" : "b"}, 1, false, 0, now, now + max_wait};
    const auto ahead = queue.ahead_of(statement);
    const slot_use use{now < busy_until ? 1U : 0U, 1};
    const auto predicted = estimator.predict(1, ahead, use, now);
    if (has_admission && estimator.should_refuse(1, predicted, max_wait, ahead)) {
      ++result.refused_at_once;
    } else {
      queue.push(statement, ++number);
    }
    queue.serve(
        now, [&] { return now >= busy_until; },
        [&](int) {
          busy_until = now + service_time;
          estimator.on_finished(1, service_time, now);
          return ++result.served > 0;
        });
  }
  return result;
}

// Guards against statements that wait for half of their objective and are then refused, and against
// an admission that leaves slots idle.
TEST_CASE("Under twice the load that slots can serve, refusals come at once and no slot is idle") {
  const auto waiting = play_overload(false);
  const auto admitting = play_overload(true);
  CAPTURE(waiting.served, waiting.refused_late, admitting.served, admitting.refused_at_once,
          admitting.refused_late);
  CHECK(admitting.served >= waiting.served);
  CHECK(admitting.refused_late * 4 <= waiting.refused_late);
}

// Guards against retries that multiply the load of a peak, and against a limit while slots are free.
TEST_CASE("Retries are limited to a fifth of the first attempts while others wait") {
  retry_budget budget;
  while (budget.try_retry(true)) continue;
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.on_first_attempt();
    if (budget.try_retry(true)) ++retries;
  }
  CHECK(retries <= 200);
  CHECK(retries >= 199);
  CHECK(budget.try_retry(false));
}

}  // namespace
}  // namespace bulrushlift::sql
