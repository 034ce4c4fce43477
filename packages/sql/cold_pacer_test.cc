#include "sql/cold_pacer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};
const target_id cold{"t1"};
const target_id warm{"t2"};
constexpr cold_allowance allowance{20, 1.5, 5};
constexpr double limit = 35;  // 20 a second x 1.5 + 5.

cold_pacer pacer_with_cold_target() {
  cold_pacer pacer{allowance};
  pacer.on_report(cold, {1, 1}, seconds{10}, start);
  return pacer;
}

/// Sends as often as the pacer allows it, asked every millisecond.
std::vector<time_point> send_all(cold_pacer& pacer, time_point from, duration span) {
  std::vector<time_point> sent;
  for (auto now = from; now < from + span; now += milliseconds{1}) {
    if (!pacer.can_send(cold, true, now)) continue;
    REQUIRE(pacer.reserve(cold, now) == now);
    sent.push_back(now);
  }
  return sent;
}

/// @return the most that were sent within any second.
std::size_t most_in_one_second(std::vector<time_point> sent) {
  std::sort(sent.begin(), sent.end());
  std::size_t most = 0;
  for (auto it = sent.begin(); it != sent.end(); ++it) {
    const auto end = std::lower_bound(it, sent.end(), *it + seconds{1});
    most = std::max(most, static_cast<std::size_t>(end - it));
  }
  return most;
}

TEST_CASE("A target that reports no cold time is not limited") {
  auto pacer = pacer_with_cold_target();
  for (int i = 0; i < 1'000; ++i) CHECK(pacer.reserve(warm, start) == start);
  CHECK(pacer.can_send(warm, false, start));
}

TEST_CASE("Without an allowance no target is limited") {
  cold_pacer pacer{{}};
  pacer.on_report(cold, {1, 1}, seconds{10}, start);
  CHECK_FALSE(pacer.is_cold(cold, start));
  CHECK(pacer.can_send(cold, false, start));
}

// Guards against all that waits being sent to a target as soon as it has started.
TEST_CASE("Statements to a cold target are spaced from the first one on") {
  auto pacer = pacer_with_cold_target();
  CHECK_FALSE(pacer.can_send(cold, true, start));
  const auto sent = send_all(pacer, start, seconds{3});
  CHECK(sent.size() >= 40);
  for (std::size_t i = 1; i < sent.size(); ++i) CHECK(sent[i] - sent[i - 1] >= milliseconds{50});
}

// Guards against an excess while two VMs take themselves for the owner.
TEST_CASE("Two owners at the same time keep the allowance of all VMs") {
  auto former = pacer_with_cold_target();
  auto next = pacer_with_cold_target();
  auto sent = send_all(former, start, seconds{4});
  const auto more = send_all(next, start + milliseconds{7}, seconds{4});
  sent.insert(sent.end(), more.begin(), more.end());
  CHECK(static_cast<double>(most_in_one_second(sent)) <= limit);
}

// Guards against an excess by VMs that do not own the service.
TEST_CASE("A VM that does not own the service sends nothing to a cold target") {
  const auto pacer = pacer_with_cold_target();
  CHECK_FALSE(pacer.can_send(cold, false, start + seconds{5}));
  CHECK(pacer.can_send(cold, false, start + seconds{10}));
}

// Guards against statements of open transactions that count beside the others.
TEST_CASE("Statements of transactions are spaced together with all others") {
  auto pacer = pacer_with_cold_target();
  const auto one = pacer.reserve(cold, start);
  const auto two = pacer.reserve(cold, start);
  REQUIRE(one);
  REQUIRE(two);
  CHECK(*two - *one >= milliseconds{50});
  CHECK_FALSE(pacer.can_send(cold, true, *two));
}

// Guards against a burst that each report of the target allows.
TEST_CASE("A further report of a cold target keeps the spacing") {
  auto pacer = pacer_with_cold_target();
  const auto now = start + milliseconds{500};
  REQUIRE(pacer.reserve(cold, now));
  pacer.on_report(cold, {1, 2}, seconds{9}, now);
  CHECK_FALSE(pacer.can_send(cold, true, now));
  CHECK(pacer.can_send(cold, true, now + milliseconds{61}));
}

// Guards against a cold time that starts again because the same report is read twice.
TEST_CASE("The same report does not make the cold time longer") {
  auto pacer = pacer_with_cold_target();
  pacer.on_report(cold, {1, 1}, seconds{10}, start + seconds{8});
  CHECK_FALSE(pacer.is_cold(cold, start + seconds{10}));
}

TEST_CASE("A warm report, a removal and a restart change what is known") {
  auto pacer = pacer_with_cold_target();
  pacer.on_report(cold, {1, 2}, duration::zero(), start);
  CHECK_FALSE(pacer.is_cold(cold, start));
  pacer.on_report(cold, {2, 1}, seconds{10}, start);
  CHECK(pacer.is_cold(cold, start + seconds{9}));
  pacer.remove(cold);
  CHECK_FALSE(pacer.is_cold(cold, start));
}

// Guards against a division by zero and against a rate above what is allowed.
TEST_CASE("An allowance too small for two senders sends nothing") {
  cold_pacer pacer{{1, 1, 0}};
  CHECK(pacer.rate() == 0);
  pacer.on_report(cold, {1, 1}, seconds{10}, start);
  CHECK_FALSE(pacer.can_send(cold, true, start + seconds{9}));
  CHECK_FALSE(pacer.reserve(cold, start));
}

}  // namespace
}  // namespace bulrushlift::sql
