#include "sql/report_filter.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

const target_id target{"t1"};
constexpr store_epoch before{1};
constexpr store_epoch after{2};
constexpr time_point now{std::chrono::hours{1}};

// Guards against a leaving target that gets work again, and against a former primary that is taken for the
// primary, because the store came back with their older reports.
TEST_CASE("After a restore of the store older reports of a target are dropped") {
  report_filter filter;
  CHECK(filter.accept(target, before, {1, 40}));
  CHECK_FALSE(filter.accept(target, after, {1, 20}));
  CHECK_FALSE(filter.accept(target, after, {0, 90}));
  CHECK(filter.accept(target, after, {1, 40}));
  CHECK(filter.accept(target, after, {1, 41}));
  CHECK(filter.accept(target, after, {2, 1}));
}

// Guards against a target that left and is in use again.
TEST_CASE("After a restore of the store a removed target is listed again only by a newer report") {
  report_filter filter;
  CHECK(filter.accept(target, before, {1, 40}));
  filter.on_removed(target, now);
  CHECK_FALSE(filter.accept(target, after, {1, 40}));
  CHECK(filter.accept(target, after, {1, 41}));
}

// Guards against a writer with a foreign numbering that hides a target for good.
TEST_CASE("Within an epoch the order of the store decides") {
  report_filter filter;
  CHECK(filter.accept(target, before, {1, 1'000'000}));
  CHECK(filter.accept(target, before, {1, 41}));
  filter.on_removed(target, now);
  CHECK(filter.accept(target, before, {1, 2}));
}

TEST_CASE("Reports of removed targets are forgotten after some minutes") {
  report_filter filter;
  CHECK(filter.accept(target, before, {1, 40}));
  filter.on_removed(target, now);
  filter.on_removed(target_id{"t2"}, now + std::chrono::minutes{11});
  CHECK(filter.size() == 0);
}

}  // namespace
}  // namespace bulrushlift::sql
