#include "limits/rate_window.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr rate_limit granted{121, 121};
constexpr duration window = seconds{5};

struct admissions {
  std::size_t most_in_window = 0;
  std::size_t total = 0;
};

/// Asks once each millisecond, far beyond the limit, after a rest.
admissions play_lasting_demand(const rate_limit& bucket, seconds length) {
  double tokens = bucket.burst;
  std::deque<milliseconds> recent;
  admissions seen;
  for (milliseconds now{0}; now < length; now += milliseconds{1}) {
    tokens = std::min(bucket.burst, tokens + bucket.rate_per_second / 1'000);
    while (!recent.empty() && now - recent.front() >= window) recent.pop_front();
    if (tokens < 1) continue;
    tokens -= 1;
    recent.push_back(now);
    ++seen.total;
    seen.most_in_window = std::max(seen.most_in_window, recent.size());
  }
  return seen;
}

// Guards against refusals of what the operators grant, and against more than they grant.
TEST_CASE("A lasting demand gets most of its grant in each window and never more") {
  const auto most = static_cast<std::size_t>(5 * granted.rate_per_second + granted.burst);
  const auto plain = play_lasting_demand(granted, seconds{60});
  const auto windowed = play_lasting_demand(bucket_within_window(granted, window), seconds{60});
  CHECK(plain.most_in_window <= most);
  CHECK(windowed.most_in_window <= most);
  // Of a grant of 12 windows: a bucket of rate and burst admits 85 %.
  CHECK(plain.total < 12 * most * 86 / 100);
  CHECK(windowed.total > 12 * most * 92 / 100);
}

TEST_CASE("Without a window the limit stays as it is") {
  CHECK(bucket_within_window(granted, duration::zero()) == granted);
}

}  // namespace
}  // namespace bulrushlift
