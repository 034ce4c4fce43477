#include "sql/report_filter.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

const target_id target{"t1"};
constexpr store_epoch before{1};
constexpr store_epoch after{2};
constexpr time_point now{std::chrono::hours{1}};
constexpr duration removal_time = std::chrono::seconds{4};
constexpr duration step = std::chrono::milliseconds{1};

// Guards against a leaving target that gets work again, and against a former primary that is taken for the
// primary, because the store came back with their older reports.
TEST_CASE("After a restore of the store older reports of a target are dropped") {
  report_filter filter{removal_time};
  CHECK(filter.accept(target, before, {1, 40}, now));
  CHECK_FALSE(filter.accept(target, after, {1, 20}, now));
  CHECK_FALSE(filter.accept(target, after, {0, 90}, now));
  CHECK(filter.accept(target, after, {1, 40}, now));
  CHECK(filter.accept(target, after, {1, 41}, now));
  CHECK(filter.accept(target, after, {2, 1}, now));
}

// Guards against a target that left and is in use again.
TEST_CASE("After a restore of the store a removed target is listed again only by a newer report") {
  report_filter filter{removal_time};
  CHECK(filter.accept(target, before, {1, 40}, now));
  filter.on_removed(target, now);
  CHECK_FALSE(filter.accept(target, after, {1, 40}, now));
  CHECK(filter.accept(target, after, {1, 41}, now));
}

// Guards against a live target that gets no more work: it reports nothing new while its description is the
// same.
TEST_CASE("A removed target that a restored store lists for the removal time is accepted") {
  report_filter filter{removal_time};
  CHECK(filter.accept(target, before, {1, 40}, now));
  filter.on_removed(target, now);
  CHECK_FALSE(filter.accept(target, after, {1, 20}, now));
  CHECK_FALSE(filter.accept(target, after, {1, 20}, now + removal_time - step));
  SECTION("it is still listed then") { CHECK(filter.accept(target, after, {1, 20}, now + removal_time)); }
  SECTION("it was removed in between") {
    filter.on_removed(target, now + removal_time - step);
    CHECK_FALSE(filter.accept(target, after, {1, 20}, now + removal_time));
  }
}

// Guards against a writer with a foreign numbering that hides a target for good.
TEST_CASE("Within an epoch the order of the store decides") {
  report_filter filter{removal_time};
  CHECK(filter.accept(target, before, {1, 1'000'000}, now));
  CHECK(filter.accept(target, before, {1, 41}, now));
  filter.on_removed(target, now);
  CHECK(filter.accept(target, before, {1, 2}, now));
}

TEST_CASE("Reports of removed targets are forgotten after some minutes") {
  report_filter filter{removal_time};
  CHECK(filter.accept(target, before, {1, 40}, now));
  filter.on_removed(target, now);
  filter.on_removed(target_id{"t2"}, now + std::chrono::minutes{11});
  CHECK(filter.size() == 0);
}

}  // namespace
}  // namespace bulrushlift::sql
