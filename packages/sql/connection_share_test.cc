#include "sql/connection_share.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

// The least limit at which two owners and two watchers get one connection each. The targets of
// the platform accept 16 connections or more.
constexpr std::size_t min_limit = 4;
constexpr std::size_t max_limit = 400;

// Guards against targets that refuse every connection after a restart of all VMs, because they
// still keep those of the previous processes.
TEST_CASE("A new owner finds room while a target keeps the connections of the lost one") {
  for (std::size_t limit = min_limit; limit <= max_limit; ++limit) {
    const auto owner = connection_share(limit, true);
    const auto other = connection_share(limit, false);
    CAPTURE(limit, owner, other);
    CHECK(2 * owner + non_owner_watchers * other <= limit);
  }
}

TEST_CASE("Every VM may hold one connection, and the owner holds the most") {
  CHECK(connection_share(0, true) == 0);
  CHECK(connection_share(1, false) == 1);
  CHECK(connection_share(16, false) == 1);
  CHECK(connection_share(16, true) == 7);
  CHECK(connection_share(54, true) == 24);
  CHECK(connection_share(308, false) == 18);
}

}  // namespace
}  // namespace bulrushlift::sql
