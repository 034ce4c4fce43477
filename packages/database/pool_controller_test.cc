#include "database/pool_controller.h"

#include <catch2/catch.hpp>

#include "database/action_query_fake.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{1'000}};
constexpr time_point deadline = start + seconds{1};

/// A pool with 16 connections and 2 slots whose first connections are open.
pool_controller make_open_pool(pool_options options = {}) {
  pool_controller pool{options};
  for (auto opening = actions_of<open_connection>(pool.start(start, 0)); !opening.empty();) {
    std::vector<open_connection> next;
    for (const auto& it : opening) {
      const auto more = actions_of<open_connection>(pool.on_opened(it.connection, start, 0));
      next.insert(next.end(), more.begin(), more.end());
    }
    opening = next;
  }
  return pool;
}

send_request start_single(pool_controller& pool, std::uint64_t ticket) {
  const auto actions = pool.start_request(ticket_id{ticket}, pool_use::single, deadline, start);
  return actions_of<send_request>(actions.value()).at(0);
}

connection_id begin(pool_controller& pool, std::uint64_t ticket) {
  const auto actions = pool.start_request(ticket_id{ticket}, pool_use::bind, deadline, start);
  const auto sent = actions_of<send_request>(actions.value()).at(0);
  (void)pool.on_answer(sent.connection, sent.correlation, start, 0);
  return sent.connection;
}

void open_all(pool_controller& pool, time_point now) {
  for (std::uint64_t id = 1; id < 100; ++id) (void)pool.on_opened(connection_id{id}, now, 0);
}

// Guards against a burst of new connections to a target that accepts few.
TEST_CASE("connections are opened four at a time, one more than the slots") {
  pool_controller pool{{.connection_limit = 34, .slots = 6}};
  const auto first = actions_of<open_connection>(pool.start(start, 0));
  CHECK(first.size() == 4);
  CHECK(count_of<open_connection>(pool.on_opened(first[0].connection, start, 0)) == 1);
  open_all(pool, start);
  CHECK(pool.view().idle == 7);
  CHECK(pool.view().opening == 0);
}

// Guards against two VMs that act as owners and together exceed the connection limit of a target.
TEST_CASE("transactions never take more than half of the target's connections, nor the last for the slots") {
  auto pool = make_open_pool();
  for (std::uint64_t i = 1; i <= 6; ++i) {
    begin(pool, i);
    open_all(pool, start);
  }
  CHECK(pool.size_limit() == 8);
  CHECK(pool.view().bound == 6);
  const auto more = pool.start_request(ticket_id{7}, pool_use::bind, deadline, start);
  REQUIRE_FALSE(more);
  CHECK(more.error().kind == error_kind::overloaded);
  CHECK(more.error().request_outcome() == outcome::not_run);
  start_single(pool, 8);
  start_single(pool, 9);
}

// Guards against more concurrent statements on a target than it has slots.
TEST_CASE("a third statement waits while two run") {
  auto pool = make_open_pool();
  const auto sent = start_single(pool, 1);
  start_single(pool, 2);
  CHECK_FALSE(pool.start_request(ticket_id{3}, pool_use::single, deadline, start));
  CHECK(count_of<capacity_free>(pool.on_answer(sent.connection, sent.correlation, start, 0)) == 1);
  start_single(pool, 3);
}

// Guards against an idle transaction that occupies a slot.
TEST_CASE("a transaction holds a connection but no slot") {
  auto pool = make_open_pool();
  begin(pool, 1);
  begin(pool, 2);
  CHECK(pool.view().free_slots() == 2);
}

// Guards against the reuse of a connection that stopped responding.
TEST_CASE("a connection without an answer at the deadline is closed and replaced") {
  auto pool = make_open_pool();
  const auto sent = start_single(pool, 1);
  CHECK(pool.next_timer() == deadline);
  const auto actions = pool.on_timer(deadline, 0);
  CHECK(actions_of<fail_request>(actions).at(0).ticket == ticket_id{1});
  CHECK(actions_of<close_connection>(actions).at(0).connection == sent.connection);
  CHECK(count_of<open_connection>(actions) == 1);
  const auto late = pool.on_answer(sent.connection, sent.correlation, deadline, 0);
  CHECK(count_of<discard_answer>(late) == 1);
  CHECK(count_of<deliver_answer>(late) == 0);
}

// Guards against the answer of one request being given to another.
TEST_CASE("a crossed answer is discarded and its connection is not reused") {
  auto pool = make_open_pool();
  const auto sent = start_single(pool, 1);
  const auto crossed = pool.on_answer(sent.connection, correlation_id{999}, start, 0);
  CHECK(count_of<discard_answer>(crossed) == 1);
  CHECK(count_of<deliver_answer>(crossed) == 0);
  const auto own = pool.on_answer(sent.connection, sent.correlation, start, 0);
  CHECK(actions_of<deliver_answer>(own).at(0).ticket == ticket_id{1});
  CHECK(actions_of<close_connection>(own).at(0).reason == pool_failure::crossed_answer);
}

// Guards against unresponsive idle connections that are detected only when a request times out on them.
TEST_CASE("idle connections are probed and closed without an answer") {
  auto pool = make_open_pool();
  const auto probes = actions_of<send_probe>(pool.on_timer(start + seconds{1}, 0));
  CHECK(probes.size() == 2);
  CHECK(pool.view().idle == 3);
  (void)pool.on_answer(probes[0].connection, probes[0].correlation, start + seconds{1}, 0);
  const auto actions = pool.on_timer(start + milliseconds{1'500}, 0);
  CHECK(actions_of<close_connection>(actions).at(0).connection == probes[1].connection);
  CHECK(actions_of<close_connection>(actions).at(0).reason == pool_failure::probe_unanswered);
}

// Guards against a pool that opens connections to an unavailable target without a pause.
TEST_CASE("failed openings are repeated with a growing pause") {
  pool_controller pool{{}};
  (void)pool.start(start, 0);
  auto now = start;
  duration last{};
  for (std::uint64_t id = 1; id <= 3; ++id) CHECK(pool.on_open_failed(connection_id{id}, now, 0).empty());
  for (std::uint64_t id = 4; id <= 30; ++id) {
    const auto due = pool.next_timer().value();
    CHECK(due > now);
    last = due - now;
    now = due;
    for (const auto& it : actions_of<open_connection>(pool.on_timer(now, 0))) {
      (void)pool.on_open_failed(it.connection, now, 0);
    }
  }
  CHECK(last >= milliseconds{500});
  CHECK(last <= seconds{1});
}

// Guards against connections that stay open after a load peak.
TEST_CASE("surplus connections are closed when they have been idle") {
  auto pool = make_open_pool();
  const auto bound = begin(pool, 1);
  open_all(pool, start);
  CHECK(pool.view().idle == 3);
  (void)pool.release(bound, start, 0);
  CHECK(pool.view().idle == 4);
  const auto actions = pool.on_timer(start + seconds{5}, 0);
  CHECK(actions_of<close_connection>(actions).size() == 1);
  CHECK(actions_of<close_connection>(actions).at(0).reason == pool_failure::surplus);
}

// Guards against new requests to a leaving target, and against aborting its running request.
TEST_CASE("a leaving target gets no new request and ends its transactions after the grace time") {
  auto pool = make_open_pool();
  const auto bound = begin(pool, 1);
  const auto sent = start_single(pool, 2);
  const auto closed = actions_of<close_connection>(pool.set_leaving(true, start, 0));
  CHECK_FALSE(closed.empty());
  CHECK(pool.start_request(ticket_id{3}, pool_use::single, deadline, start).error().kind ==
        error_kind::target_unavailable);
  const auto done = pool.on_answer(sent.connection, sent.correlation, start, 0);
  CHECK(count_of<deliver_answer>(done) == 1);
  CHECK(actions_of<close_connection>(done).at(0).reason == pool_failure::leaving);
  CHECK(pool.start_bound_request(bound, ticket_id{4}, deadline, start));
}

// Guards against an idle transaction that keeps a leaving target in use forever.
TEST_CASE("an idle transaction on a leaving target is lost after the grace time") {
  auto pool = make_open_pool();
  const auto bound = begin(pool, 1);
  (void)pool.set_leaving(true, start, 0);
  CHECK(pool.next_timer() == start + seconds{3});
  CHECK(actions_of<binding_lost>(pool.on_timer(start + seconds{3}, 0)).at(0).connection == bound);
}

// Guards against a timer that stays due and makes the event loop spin.
TEST_CASE("handling a timer moves the next one into the future") {
  auto pool = make_open_pool();
  auto now = start;
  for (int i = 0; i < 50; ++i) {
    const auto due = pool.next_timer();
    if (!due) break;
    now = std::max(now, *due);
    const auto actions = pool.on_timer(now, 0);
    CHECK(pool.next_timer().value_or(now + seconds{1}) > now);
    for (const auto& it : actions_of<open_connection>(actions)) (void)pool.on_opened(it.connection, now, 0);
  }
}

}  // namespace
}  // namespace bulrushlift
