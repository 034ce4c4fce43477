#include "sql/home_filter.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

const region_id west{"west"};
const region_id delta{"delta"};
const region_id coast{"coast"};

TEST_CASE("Without homes every region may be used") {
  const home_filter filter{{}, {}};
  CHECK(filter.is_open());
  CHECK(filter.allows_target(west));
  CHECK(filter.allows_vm(delta, west, false));
}

// Guards against rows that leave the home regions of the route or of the customer.
TEST_CASE("Homes of the route or of the customer bind targets") {
  for (const auto& filter : {home_filter{{west, coast}, {}}, home_filter{{}, {west, coast}}}) {
    CHECK_FALSE(filter.is_open());
    CHECK(filter.allows_target(west));
    CHECK(filter.allows_target(coast));
    CHECK_FALSE(filter.allows_target(delta));
  }
}

// Guards against a filter that takes either bound for enough.
TEST_CASE("Where route and customer have homes, both bind") {
  const home_filter filter{{west, coast}, {coast, delta}};
  CHECK(filter.allows_target(coast));
  CHECK_FALSE(filter.allows_target(west));
  CHECK_FALSE(filter.allows_target(delta));
}

// Guards against homes without a common region that are read as "anywhere".
TEST_CASE("Homes without a common region allow no target") {
  const home_filter filter{{west}, {delta}};
  CHECK_FALSE(filter.is_open());
  for (const auto& region : {west, delta, coast}) CHECK_FALSE(filter.allows_target(region));
}

// The VM that accepted the connection has the statement before any decision is made.
TEST_CASE("A statement may be at the caller's VM and in the caller's region, and else only at home") {
  const home_filter filter{{west}, {}};
  CHECK(filter.allows_vm(delta, coast, true));
  CHECK(filter.allows_vm(coast, coast, false));
  CHECK(filter.allows_vm(west, coast, false));
  CHECK_FALSE(filter.allows_vm(delta, coast, false));
  CHECK_FALSE(filter.allows_target(coast));
}

}  // namespace
}  // namespace bulrushlift::sql
