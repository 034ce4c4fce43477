#include "base/log_limiter.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::seconds{100}};

// Guards against a VM that spends its processor on log lines when it refuses most of its load.
TEST_CASE("A storm of one event writes its burst and its rate, and counts the rest") {
  log_limiter limiter{10};
  int written = 0;
  for (int ms = 0; ms < 3'000; ++ms) {
    if (limiter.admit("statement_failed", start + milliseconds{ms})) ++written;
  }
  CHECK(written >= 20);
  CHECK(written <= 20 + 30);
  const auto omitted = limiter.take_omitted();
  REQUIRE(omitted.size() == 1);
  CHECK(omitted.front() == omitted_lines{"statement_failed", 3'000U - static_cast<unsigned>(written)});
  CHECK(limiter.take_omitted().empty());
}

TEST_CASE("Other events are written meanwhile") {
  log_limiter limiter{1};
  for (int i = 0; i < 100; ++i) static_cast<void>(limiter.admit("over_rate", start));
  CHECK(limiter.admit("primary_lost", start));
  CHECK_FALSE(limiter.admit("over_rate", start));
  CHECK(limiter.admit("over_rate", start + milliseconds{1'100}));
}

TEST_CASE("A rate of zero sets no bound") {
  log_limiter limiter{0};
  for (int i = 0; i < 1'000; ++i) CHECK(limiter.admit("over_rate", start));
}

}  // namespace
}  // namespace bulrushlift
