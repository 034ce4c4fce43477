#include "limits/fair_queue.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{1'000}};

queued_statement read_of(const char* customer, std::uint64_t ticket, time_point deadline) {
  return {queue_ticket{ticket}, customer_id{customer}, request_class::read, deadline};
}

// Guards against queueing a statement that can only time out.
TEST_CASE("a statement that cannot finish in time is refused at once with a retry time") {
  fair_queue queue{{.initial_service_time = milliseconds{10}}};
  for (std::uint64_t i = 1; i <= 4; ++i) REQUIRE(queue.push(read_of("a", i, start + seconds{1}), start));
  const auto refused = queue.push(read_of("a", 5, start + milliseconds{30}), start);
  REQUIRE_FALSE(refused);
  CHECK(refused.error().kind == error_kind::overloaded);
  CHECK(refused.error().request_outcome() == outcome::not_run);
  CHECK(refused.error().retry_after == milliseconds{20});
  // A statement of another customer does not wait behind all statements of the first customer.
  CHECK(queue.push(read_of("b", 6, start + milliseconds{30}), start));
}

// Guards against refusals by estimated time while no target can run statements.
TEST_CASE("without slots a statement waits for recovery until its deadline") {
  fair_queue queue{{.initial_service_time = seconds{1}}};
  queue.set_slots(request_class::read, 0);
  REQUIRE(queue.push(read_of("a", 1, start + milliseconds{30}), start));
  CHECK(queue.next_deadline() == start + milliseconds{30});
  CHECK(queue.expire(start + milliseconds{29}).empty());
  CHECK(queue.expire(start + milliseconds{30}) == std::vector{queue_ticket{1}});
  CHECK(queue.size() == 0);
}

// Guards against running a statement whose caller was told that it did not run.
TEST_CASE("a statement past its deadline is never taken") {
  fair_queue queue{{}};
  REQUIRE(queue.push(read_of("a", 1, start + milliseconds{30}), start));
  CHECK_FALSE(queue.pop(request_class::read, pop_from::all, start + milliseconds{30}));
  CHECK(queue.expire(start + milliseconds{30}).size() == 1);
}

// Guards against writes that wait behind reads.
TEST_CASE("classes are independent") {
  fair_queue queue{{}};
  REQUIRE(queue.push(read_of("a", 1, start + seconds{1}), start));
  CHECK_FALSE(queue.pop(request_class::write, pop_from::all, start));
  auto write = read_of("a", 2, start + seconds{1});
  write.kind = request_class::write;
  REQUIRE(queue.push(write, start));
  CHECK(queue.pop(request_class::write, pop_from::all, start) == queue_ticket{2});
}

}  // namespace
}  // namespace bulrushlift
