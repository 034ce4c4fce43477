#include "fleet/drain_controller.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{1'000}};
constexpr drain_counts busy{.requests = 2, .transactions = 1};

template <class Action>
bool has(const drain_actions& actions) {
  for (const auto& it : actions) {
    if (std::holds_alternative<Action>(it)) return true;
  }
  return false;
}

// Guards against closing the listener while the load balancer still sends callers to this VM.
TEST_CASE("the listener stays open until the load balancer has noticed") {
  drain_controller drain;
  CHECK_FALSE(drain.next_timer());
  const auto first = drain.start(start);
  CHECK(has<become_unready>(first));
  CHECK(has<announce_leave>(first));
  CHECK(drain.start(start + seconds{1}).empty());
  CHECK(drain.on_counts({}, start + milliseconds{1'999}).empty());
  CHECK(drain.next_timer() == start + seconds{2});
  CHECK(has<stop_accepting>(drain.on_timer(start + seconds{2})));
  CHECK(has<exit_process>(drain.on_counts({}, start + seconds{2})));
  CHECK(drain.state() == drain_state::drained);
}

// Guards against an exit that resets a connection which the listener accepted while it closed.
TEST_CASE("the process counts its work again after the listener has closed") {
  drain_controller drain;
  (void)drain.start(start);
  const auto closed = drain.on_counts({}, start + seconds{2});
  CHECK(has<stop_accepting>(closed));
  CHECK_FALSE(has<exit_process>(closed));
  CHECK_FALSE(has<exit_process>(drain.on_timer(start + seconds{2})));
  CHECK_FALSE(has<exit_process>(drain.on_counts({.requests = 1}, start + milliseconds{2'020})));
  CHECK(has<exit_process>(drain.on_counts({}, start + milliseconds{2'040})));
}

// Guards against a shutdown that breaks off requests, transactions or answers that are being sent.
TEST_CASE("the process stays until all work is done and written") {
  drain_controller drain;
  (void)drain.start(start);
  CHECK(drain.on_counts(busy, start + seconds{1}).empty());
  CHECK_FALSE(has<exit_process>(drain.on_timer(start + seconds{3})));
  CHECK_FALSE(has<exit_process>(drain.on_counts({.unsent_bytes = 1}, start + seconds{4})));
  const auto done = drain.on_counts({}, start + seconds{5});
  CHECK(std::get<exit_process>(done.at(0)).remaining.is_empty());
  CHECK_FALSE(drain.next_timer());
}

// Guards against a process that never exits, and against an exit without answers to all requests.
TEST_CASE("at the end of the drain time the rest is ended and answered") {
  drain_controller drain;
  (void)drain.start(start);
  (void)drain.on_counts(busy, start);
  (void)drain.on_timer(start + seconds{2});
  CHECK(drain.next_timer() == start + seconds{20});
  const auto ended = drain.on_timer(start + seconds{20});
  CHECK(has<end_remaining>(ended));
  CHECK_FALSE(has<exit_process>(ended));
  CHECK(drain.next_timer() == start + seconds{21});
  const auto last = drain.on_timer(start + seconds{21});
  CHECK(std::get<exit_process>(last.at(0)).remaining == busy);
}

// Guards against repeated actions, for various orders of counts and timers.
TEST_CASE("each action happens at most once") {
  for (int pattern = 0; pattern < 64; ++pattern) {
    drain_controller drain;
    auto actions = drain.start(start);
    for (int i = 0; i < 24; ++i) {
      const bool is_busy = (pattern >> (i % 6) & 1) != 0;
      for (auto more : {drain.on_counts(is_busy ? busy : drain_counts{}, start + seconds{i}),
                        drain.on_timer(start + seconds{i})}) {
        actions.insert(actions.end(), more.begin(), more.end());
      }
    }
    std::array<int, std::variant_size_v<drain_action>> counts{};
    for (const auto& it : actions) ++counts.at(it.index());
    for (const auto n : counts) CHECK(n <= 1);
    CHECK(has<exit_process>(actions));
  }
}

}  // namespace
}  // namespace bulrushlift
