#include "net/event_loop.h"

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <vector>

using namespace bulrushlift;
using namespace std::chrono_literals;

// Guards against timers that run early, twice, or in the wrong order.
TEST_CASE("timers run once, in the order of their times") {
  event_loop loop;
  std::vector<int> order;
  const auto start = loop.now();
  loop.schedule(20ms, [&] {
    order.push_back(2);
    CHECK(loop.now() - start >= 20ms);
    loop.stop();
  });
  loop.schedule(5ms, [&] { order.push_back(1); });
  loop.post([&] { order.push_back(0); });
  loop.run_for(10s);
  CHECK(order == std::vector{0, 1, 2});
}

// Guards against a timer that runs up to a microsecond early: run_for then waits on without any timer, and a
// test sleeps until its connections are closed.
TEST_CASE("a timer never runs before its time") {
  event_loop loop;
  int early = 0;
  for (int i = 0; i < 2'000; ++i) {
    const auto due = loop.now() + 50us;
    loop.schedule(50us, [&] {
      if (loop.now() < due) ++early;
      loop.stop();
    });
    loop.run();
  }
  CHECK(early == 0);
}

// Guards against a cancelled timer that still runs, also when its turn has come.
TEST_CASE("a timer can be cancelled by a timer of the same time") {
  event_loop loop;
  int calls = 0;
  timer_id second;
  loop.schedule(1ms, [&] { loop.cancel(second); });
  second = loop.schedule(1ms, [&] { ++calls; });
  loop.cancel(timer_id{});
  loop.run_for(20ms);
  CHECK(calls <= 1);
  loop.schedule(5ms, [&] { loop.stop(); });
  loop.run_for(10s);
  CHECK(calls <= 1);
}

// Guards against a timer that uses its destroyed owner.
TEST_CASE("a scoped timer ends with its owner and can set itself again") {
  event_loop loop;
  int calls = 0;
  {
    scoped_timer dropped{loop};
    dropped.set(1ms, [&] { calls += 100; });
  }
  scoped_timer timer{loop};
  timer.set(1ms, [&] {
    ++calls;
    timer.set(1ms, [&] {
      ++calls;
      loop.stop();
    });
  });
  loop.run_for(10s);
  CHECK(calls == 2);
}

// Guards against a small loop that takes descriptors from the rest of the process.
TEST_CASE("a loop does not lower the limit of descriptors") {
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  {
    const event_loop loop{64};
    rlimit during{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &during) == 0);
    CHECK(during.rlim_cur >= before.rlim_cur);
  }
  rlimit after{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &after) == 0);
  CHECK(after.rlim_cur >= before.rlim_cur);
}

// Guards against a termination signal that is lost or handled in the signal context.
TEST_CASE("signals arrive in the loop") {
  event_loop loop;
  bool arrived = false;
  REQUIRE(loop.on_signal(SIGUSR1, [&] {
    arrived = true;
    loop.stop();
  }));
  loop.post([] { std::raise(SIGUSR1); });
  loop.run_for(10s);
  CHECK(arrived);
}
// Guards against a crash at the end of a process: the timer queue called a dispatcher that
// was destroyed before it.
TEST_CASE("a loop is destroyed while timers are pending") {
  bool has_run = false;
  {
    event_loop loop;
    loop.schedule(std::chrono::hours{1}, [&] { has_run = true; });
  }
  CHECK_FALSE(has_run);
}
