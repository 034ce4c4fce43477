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

/// Starts with a full bucket and asks once each millisecond, far above the limit.
admissions simulate_sustained_demand(const rate_limit& bucket, seconds length) {
  double tokens = bucket.burst;
  std::deque<milliseconds> recent;
  admissions result;
  for (milliseconds now{0}; now < length; now += milliseconds{1}) {
    tokens = std::min(bucket.burst, tokens + bucket.rate_per_second / 1'000);
    while (!recent.empty() && now - recent.front() >= window) recent.pop_front();
    if (tokens < 1) continue;
    tokens -= 1;
    recent.push_back(now);
    ++result.total;
    result.most_in_window = std::max(result.most_in_window, recent.size());
  }
  return result;
}

// Guards against a bucket that refuses operations within the grant or admits more than the grant.
TEST_CASE("A sustained demand gets most of its grant in each window and never more") {
  const auto limit = static_cast<std::size_t>(5 * granted.rate_per_second + granted.burst);
  const auto plain = simulate_sustained_demand(granted, seconds{60});
  const auto windowed = simulate_sustained_demand(bucket_within_window(granted, window), seconds{60});
  CHECK(plain.most_in_window <= limit);
  CHECK(windowed.most_in_window <= limit);
  // The grant over 60 s is 12 windows. A bucket of the granted rate and burst admits 85 % of it.
  CHECK(plain.total < 12 * limit * 86 / 100);
  CHECK(windowed.total > 12 * limit * 92 / 100);
}

TEST_CASE("Without a window the limit stays as it is") {
  CHECK(bucket_within_window(granted, duration::zero()) == granted);
}

}  // namespace
}  // namespace bulrushlift
