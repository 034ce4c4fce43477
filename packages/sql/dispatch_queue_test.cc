#include "sql/dispatch_queue.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{1'000}};
constexpr auto max_wait = milliseconds{100};

/// A queue of numbered statements.
class queue_fake {
 public:
  /// @return the number of the statement.
  int add(int priority, std::string_view customer, time_point arrived = start) {
    queue.push({customer_id{customer}, priority, false, 0, arrived, arrived + max_wait}, ++newest_);
    return newest_;
  }
  /// Starts one statement. @return its number, or 0 if none was started.
  int start_one(time_point now) {
    int started = 0;
    queue.serve(
        now, [&] { return started == 0; }, [&](int number) { return (started = number) != 0; });
    return started;
  }

  dispatch_queue<int> queue;

 private:
  int newest_ = 0;
};

// Guards against another order than the one of the previous queue while nothing is overdue.
TEST_CASE("Statements are started by priority, then in turns of the customers") {
  queue_fake fake;
  const auto bulk_a1 = fake.add(1, "a");
  const auto bulk_a2 = fake.add(1, "a");
  const auto bulk_b1 = fake.add(1, "b");
  const auto urgent = fake.add(0, "a");
  CHECK(fake.start_one(start) == urgent);
  CHECK(fake.start_one(start) == bulk_a1);
  CHECK(fake.start_one(start) == bulk_b1);
  CHECK(fake.start_one(start) == bulk_a2);
  CHECK(fake.start_one(start) == 0);
}

// Guards against a route that gets no slot at all while more urgent ones use all of them.
TEST_CASE("An overdue statement is started after a few urgent ones") {
  queue_fake fake;
  const auto bulk = fake.add(2, "bulk");
  auto now = start;
  for (int i = 0; i < 4; ++i, now += milliseconds{10}) {
    fake.add(0, "urgent", now);
    CHECK(fake.start_one(now) != bulk);
  }
  now = start + max_wait / 2;
  int urgent_starts = 0;
  for (; now < start + max_wait; now += milliseconds{5}) {
    fake.add(0, "urgent", now);
    if (fake.start_one(now) == bulk) break;
    ++urgent_starts;
  }
  CHECK(now < start + max_wait);
  CHECK(urgent_starts == 4);
}

// Guards against urgent statements behind a long queue of overdue ones.
TEST_CASE("Between two overdue statements several urgent ones are started") {
  queue_fake fake;
  for (int i = 0; i < 20; ++i) fake.add(1, "bulk");
  const auto now = start + max_wait / 2;
  std::vector<int> urgent;
  for (int i = 0; i < 20; ++i) urgent.push_back(fake.add(0, "urgent", now));
  int overdue_in_row = 0;
  for (int i = 0; i < 24; ++i) {
    const bool is_urgent = fake.start_one(now) >= urgent.front();
    overdue_in_row = is_urgent ? 0 : overdue_in_row + 1;
    CHECK(overdue_in_row <= 1);
  }
}

// Guards against an overdue statement without a connection that blocks the more urgent ones.
TEST_CASE("An overdue statement that cannot be started is passed by") {
  queue_fake fake;
  const auto bulk = fake.add(1, "bulk");
  const auto now = start + max_wait / 2;
  for (int i = 0; i < 10; ++i) fake.add(0, "urgent", now);
  int starts = 0;
  fake.queue.serve(
      now, [] { return true; }, [&](int number) { return number != bulk && ++starts > 0; });
  CHECK(starts == 10);
  CHECK(fake.queue.size() == 1);
}

// Guards against a customer that fills the queue, and against a limit in a short queue or for a
// customer that is alone.
TEST_CASE("A customer may have half of a long queue while others wait") {
  CHECK_FALSE(exceeds_queue_share(100, 100));
  CHECK_FALSE(exceeds_queue_share(15, 14));
  CHECK_FALSE(exceeds_queue_share(40, 20));
  CHECK(exceeds_queue_share(40, 21));
  CHECK_FALSE(exceeds_queue_share(0, 0));
}

// Guards against statements that wait for ever, and against refused ones that count as a turn.
TEST_CASE("Expired statements are removed, and a refused one costs its customer no turn") {
  queue_fake fake;
  const auto first = fake.add(0, "a");
  CHECK(fake.queue.take_expired(start + max_wait - milliseconds{1}).empty());
  const waiting_statement refused{customer_id{"b"}, 0, false, 0, start, start + max_wait};
  for (int i = 0; i < 10; ++i) CHECK(fake.queue.ahead_of(refused).at(0) == 1);
  const auto second = fake.add(0, "b", start);
  const auto third = fake.add(0, "a", start);
  CHECK(fake.start_one(start) == first);
  CHECK(fake.start_one(start) == second);
  CHECK(fake.queue.take_expired(start + max_wait) == std::vector{third});
  CHECK(fake.queue.empty());
}

// Guards against a customer with few statements that is refused for the backlog of another one.
TEST_CASE("Only statements that are served before a new one are ahead of it") {
  queue_fake fake;
  for (int i = 0; i < 30; ++i) fake.add(1, "flood");
  fake.add(2, "other");
  const auto ahead_of = [&](std::string_view customer, int priority, bool is_for_primary) {
    return fake.queue.ahead_of(
        {customer_id{customer}, priority, is_for_primary, 0, start + milliseconds{1}, start + max_wait});
  };
  CHECK(ahead_of("flood", 1, false) == statements_ahead{{1, 30}});
  CHECK(ahead_of("calm", 1, false) == statements_ahead{{1, 1}});
  CHECK(ahead_of("calm", 0, false).empty());
  CHECK(ahead_of("calm", 1, true).empty());
}

}  // namespace
}  // namespace bulrushlift::sql
