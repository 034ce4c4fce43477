#include "sql/connection_quota.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{1'000}};
constexpr quota_terms many_customers{70, 71};

/// A target that accepts connections up to its limit, and a VM that opens as many as it may.
class target_limit_fake {
 public:
  explicit target_limit_fake(std::size_t limit) : limit_(limit) {}

  /// Opens connections for a VM until its quota or the target ends it.
  void open_all(connection_quota& quota, std::size_t& held, const quota_terms& terms, time_point now) {
    while (held < quota.allowed(terms, now)) {
      if (total_ >= limit_) {
        quota.on_refused(held, now);
        ++refusals_;
        return;
      }
      ++total_;
      quota.on_opened(++held, terms, now);
    }
  }
  void close(std::size_t n) { total_ -= n; }
  [[nodiscard]] std::size_t refusals() const { return refusals_; }

 private:
  std::size_t limit_;
  std::size_t total_ = 0;
  std::size_t refusals_ = 0;
};

connection_quota owner_since(time_point since) {
  connection_quota quota;
  quota.set_role(service_role::owner, since);
  return quota;
}

// Guards against a change for deployments whose customers fit into half of the limit.
TEST_CASE("With few customers an owner holds the same share as its successor") {
  for (std::size_t limit = 0; limit <= 400; ++limit) {
    const auto half = connection_share(limit, service_role::owner);
    const quota_terms terms{limit, half};
    CAPTURE(limit);
    CHECK(settled_owner_quota(terms) == half);
    CHECK(owner_since(start).allowed(terms, start) == half);
  }
}

// Guards against an owner that cannot hold a connection for most of its customers, and against one
// that leaves its successor none.
TEST_CASE("A settled owner uses most of the limit and leaves room for its successor") {
  CHECK(settled_owner_quota(many_customers) == 50);
  CHECK(initial_owner_quota(many_customers) == 12);
  for (std::size_t limit = 4; limit <= 400; ++limit) {
    const quota_terms terms{limit, 1'000};
    const auto watchers = non_owner_watchers * connection_share(limit, service_role::monitor);
    CAPTURE(limit);
    CHECK(initial_owner_quota(terms) >= 1);
    CHECK(settled_owner_quota(terms) >= connection_share(limit, service_role::owner));
    CHECK(settled_owner_quota(terms) + initial_owner_quota(terms) + watchers <= limit);
  }
}

// Guards against limits that are a mistake.
TEST_CASE("Quotas of limits of 0, 1 and the largest numbers are safe") {
  constexpr auto huge = std::numeric_limits<std::size_t>::max();
  for (const auto role : {service_role::owner, service_role::monitor, service_role::other}) {
    connection_quota quota;
    quota.set_role(role, start);
    CHECK(quota.allowed({0, huge}, start) == 0);
    CHECK(quota.allowed_idle({0, huge}, start) == 0);
    CHECK(quota.allowed({1, huge}, start) == 1);
    CHECK(quota.allowed({2, huge}, start) == 1);
    CHECK(quota.allowed({huge, huge}, start + connection_linger_time) <= 1'000'000);
    quota.on_refused(0, start);
    quota.on_reported(huge, 0, {1, huge}, start);
    CHECK(quota.allowed({1, huge}, start) == 1);
  }
}

// Guards against a successor that is refused while the target keeps the connections of the lost owner.
TEST_CASE("After the owner loses power the successor grows without a refusal") {
  target_limit_fake target{many_customers.limit};
  auto lost = owner_since(start - connection_linger_time);
  std::size_t held_by_lost = 0;
  target.open_all(lost, held_by_lost, many_customers, start);
  REQUIRE(held_by_lost == settled_owner_quota(many_customers));

  auto successor = owner_since(start);
  std::size_t held = 0;
  // The watchers hold their shares too.
  auto watcher_room = non_owner_watchers * connection_share(many_customers.limit, service_role::monitor);
  CHECK(held_by_lost + initial_owner_quota(many_customers) + watcher_room <= many_customers.limit);
  while (held < initial_owner_quota(many_customers)) successor.on_opened(++held, many_customers, start);
  CHECK(held >= initial_owner_quota(many_customers));

  target.close(held_by_lost);
  const auto later = start + connection_linger_time;
  CHECK(successor.allowed(many_customers, later) == settled_owner_quota(many_customers));
}

// Guards against a pause after refusals that outlasts the predecessor's connections.
TEST_CASE("A successor that was refused all the time grows when the linger time is over") {
  auto successor = owner_since(start);
  for (auto now = start; now < start + connection_linger_time; now += milliseconds{150}) {
    successor.on_refused(2, now);
    CHECK(successor.allowed(many_customers, now) == 2);
  }
  const auto later = start + connection_linger_time;
  CHECK(successor.allowed(many_customers, later) == settled_owner_quota(many_customers));
}

// Guards against a restarted VM that works with the reserve for the whole linger time, though the
// target freed the connections of its previous process at once.
TEST_CASE("A new owner reaches its quota at once if the target accepts its connections") {
  target_limit_fake target{many_customers.limit};
  auto quota = owner_since(start);
  std::size_t held = 0;
  target.open_all(quota, held, many_customers, start);
  CHECK(held == settled_owner_quota(many_customers));
  CHECK(target.refusals() == 0);
}

// Guards against two VMs that both take themselves for the owner and have each other refused all the time.
TEST_CASE("Two owners share a full target with few refusals") {
  target_limit_fake target{many_customers.limit};
  auto first = owner_since(start - connection_linger_time);
  auto second = owner_since(start);
  std::size_t held_by_first = 0;
  std::size_t held_by_second = 0;
  constexpr auto step = milliseconds{20};
  constexpr auto span = std::chrono::seconds{10};
  for (auto now = start; now < start + span; now += step) {
    target.open_all(first, held_by_first, many_customers, now);
    target.open_all(second, held_by_second, many_customers, now);
  }
  CHECK(held_by_first + held_by_second == many_customers.limit);
  CHECK(held_by_second >= initial_owner_quota(many_customers));
  // Once per linger time, and a few while the pause grows to it.
  CHECK(target.refusals() <= 8);

  // The first one learns that it does not own the service, and closes what it holds.
  first.set_role(service_role::other, start + span);
  CHECK(first.allowed_idle(many_customers, start + span) == 0);
  CHECK(first.surplus_idle_time(start + span) == duration::zero());
  target.close(held_by_first);
  target.open_all(second, held_by_second, many_customers, start + span + connection_linger_time);
  CHECK(held_by_second == settled_owner_quota(many_customers));
}

// Guards against a new owner that waits for the linger time though the target reports free room.
TEST_CASE("The count that a target reports ends the wait for the predecessor's connections") {
  auto quota = owner_since(start);
  quota.on_reported(10, 10, many_customers, start);
  CHECK(quota.allowed(many_customers, start) == settled_owner_quota(many_customers));

  auto cautious = owner_since(start);
  cautious.on_reported(60, 10, many_customers, start);
  CHECK(cautious.allowed(many_customers, start) <= 20);
}

// Guards against customers that begin transactions and pause until no connection is left for others.
TEST_CASE("Resting transactions of one customer leave the others their room") {
  constexpr std::size_t quota = 50;
  CHECK(may_begin_transaction({40, 40, 40}, quota - 1, quota));
  CHECK(may_begin_transaction({0, 25, 40}, quota, quota));
  CHECK(may_begin_transaction({11, 12, 20}, quota, quota));
  CHECK_FALSE(may_begin_transaction({12, 12, 20}, quota, quota));
  CHECK_FALSE(may_begin_transaction({8, 8, 25}, quota, quota));
  CHECK(may_begin_transaction({7, 8, 25}, quota, quota));
  CHECK(may_begin_transaction({0, 1, 1}, 1, 1));
  CHECK_FALSE(may_begin_transaction({1, 1, 1}, 1, 1));
}

}  // namespace
}  // namespace bulrushlift::sql
