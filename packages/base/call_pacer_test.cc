#include "base/call_pacer.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a fleet that calls the store more often than its share allows.
TEST_CASE("calls over ten seconds stay within the burst and the rate") {
  call_pacer pacer{{}, 1};
  manual_clock clock;
  int calls = 0;
  for (int i = 0; i < 1'000; ++i) {
    while (pacer.try_call(clock.now())) ++calls;
    clock.advance(milliseconds{10});
  }
  CHECK(calls <= 60);
  CHECK(calls >= 58);
}

// Guards against callers that hammer a store that is down, and against one that returns too late.
TEST_CASE("the back-off doubles up to its limit and ends with an answer") {
  call_pacer pacer{{}, 1};
  manual_clock clock;
  duration longest{};
  for (int i = 0; i < 12; ++i) {
    pacer.failed(clock.now());
    const auto wait = pacer.next_call(clock.now()) - clock.now();
    CHECK(wait >= std::min<duration>(milliseconds{50} * (1 << std::min(i, 6)), milliseconds{2'500}));
    CHECK(wait <= seconds{5});
    CHECK_FALSE(pacer.try_call(clock.now()));
    longest = std::max(longest, wait);
    clock.advance(seconds{10});
  }
  CHECK(longest > milliseconds{2'500});
  pacer.succeeded();
  CHECK(pacer.next_call(clock.now()) == clock.now());
}

}  // namespace
}  // namespace bulrushlift
