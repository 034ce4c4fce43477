#include "sql/connection_share.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

// The targets of the platform take 16 connections or more; below that, two owners and two
// watchers cannot share them usefully.
constexpr std::size_t least_limit = 4;
constexpr std::size_t greatest_limit = 400;

// Guards against a restart of all VMs after which the targets refuse every connection until
// they have dropped those of the processes before.
TEST_CASE("A new owner finds room while a target keeps the connections of the lost one") {
  for (std::size_t limit = least_limit; limit <= greatest_limit; ++limit) {
    const auto owner = connection_share(limit, true);
    const auto other = connection_share(limit, false);
    CAPTURE(limit, owner, other);
    CHECK(2 * owner + watchers_beside_owner * other <= limit);
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
