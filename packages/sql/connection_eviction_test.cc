#include "sql/connection_eviction.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "sql/connection_quota.h"

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{1'000}};
constexpr auto opening_time = milliseconds{12};

/// Which connection the pool under test closes.
enum class rule : std::uint8_t { least_recently_used, lowest_demand };

/// Serves one statement after the other over connections to one target, and counts the openings.
class pool_fake {
 public:
  pool_fake(std::size_t quota, rule chosen) : quota_(quota), rule_(chosen) {}

  void serve(const customer_id& customer, time_point now) {
    demand_.on_used(customer, now);
    const auto it = std::find_if(idle_.begin(), idle_.end(),
                                 [&](const idle_connection& each) { return each.customer == customer; });
    if (it != idle_.end()) {
      it->last_use = now;
      return;
    }
    if (idle_.size() >= quota_) evict(now);
    idle_.push_back({customer, now, 1, 0});
    ++openings_;
  }
  [[nodiscard]] std::size_t openings() const { return openings_; }

 private:
  void evict(time_point now) {
    auto candidates = idle_;
    if (rule_ == rule::lowest_demand) {
      for (auto& each : candidates) each.demand = demand_.of(each.customer, now);
    }
    const auto index = choose_eviction(candidates, {0, false, {}, opening_time}, now);
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(index.value()));
  }

  std::size_t quota_;
  rule rule_;
  connection_demand demand_;
  std::vector<idle_connection> idle_;
  std::size_t openings_ = 0;
};

// Guards against connections that are closed and opened all day. 71 customers, of which a few send most of
// the statements, use a target that accepts 70 connections.
TEST_CASE("An owner with many customers opens few connections") {
  constexpr std::size_t customers = 71;
  constexpr std::size_t limit = 70;
  constexpr int statements = 20'000;
  constexpr auto interval = milliseconds{20};
  std::vector<double> weights;
  for (std::size_t i = 1; i <= customers; ++i) weights.push_back(1.0 / static_cast<double>(i));
  std::discrete_distribution<std::size_t> pick{weights.begin(), weights.end()};
  std::mt19937_64 random{20261206};

  pool_fake half{connection_share(limit, service_role::owner), rule::least_recently_used};
  pool_fake quota{settled_owner_quota({limit, customers}), rule::lowest_demand};
  pool_fake quota_only{settled_owner_quota({limit, customers}), rule::least_recently_used};
  auto now = start;
  for (int i = 0; i < statements; ++i, now += interval) {
    const customer_id customer{"c" + std::to_string(pick(random))};
    half.serve(customer, now);
    quota.serve(customer, now);
    quota_only.serve(customer, now);
  }
  CAPTURE(half.openings(), quota_only.openings(), quota.openings());
  CHECK(quota.openings() * 2 < half.openings());
  CHECK(quota.openings() < quota_only.openings());
}

// Guards against two customers that close each other's connections in turn.
TEST_CASE("A connection that was just used is kept while the statement can wait") {
  const std::vector<idle_connection> idle{{customer_id{"a"}, start, 1, 1}};
  eviction_request request{0, false, milliseconds{300}, opening_time};
  CHECK_FALSE(choose_eviction(idle, request, start + opening_time * 3));
  CHECK(choose_eviction(idle, request, start + opening_time * 4) == 0U);
  request.can_wait = milliseconds{40};
  CHECK(choose_eviction(idle, request, start) == 0U);
}

// Guards against an urgent statement that waits as long as the others for a connection.
TEST_CASE("An urgent statement may have a connection closed when others may not") {
  const std::vector<idle_connection> idle{{customer_id{"a"}, start, 1, 1}};
  const eviction_request urgent{0, true, milliseconds{300}, opening_time};
  CHECK(choose_eviction(idle, urgent, start + opening_time) == 0U);
  // The connection was opened for a statement that has not got it yet.
  CHECK_FALSE(choose_eviction(idle, urgent, start));
}

// Guards against a customer that takes the connections of those with fewer.
TEST_CASE("A customer with connections takes only those of customers with more") {
  const std::vector<idle_connection> idle{
      {customer_id{"a"}, start, 1, 9}, {customer_id{"b"}, start, 3, 9}, {customer_id{"c"}, start, 2, 1}};
  const auto now = start + std::chrono::seconds{1};
  CHECK(choose_eviction(idle, {0, false, {}, opening_time}, now) == 1U);
  CHECK(choose_eviction(idle, {1, false, {}, opening_time}, now) == 1U);
  CHECK_FALSE(choose_eviction(idle, {2, false, {}, opening_time}, now));
  CHECK_FALSE(choose_eviction({}, {0, false, {}, opening_time}, now));
}

}  // namespace
}  // namespace bulrushlift::sql
