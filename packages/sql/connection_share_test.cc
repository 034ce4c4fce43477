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
    const auto owner = connection_share(limit, service_role::owner);
    const auto other = connection_share(limit, service_role::monitor);
    CAPTURE(limit, owner, other);
    CHECK(2 * owner + non_owner_watchers * other <= limit);
  }
}

TEST_CASE("Every VM may hold one connection, and the owner holds the most") {
  CHECK(connection_share(0, service_role::owner) == 0);
  CHECK(connection_share(1, service_role::other) == 1);
  CHECK(connection_share(16, service_role::other) == 1);
  CHECK(connection_share(16, service_role::owner) == 7);
  CHECK(connection_share(54, service_role::owner) == 24);
  CHECK(connection_share(308, service_role::other) == 18);
}

// Guards against 38 VMs that keep two idle connections each to a target that accepts 44, after they
// all restarted and took themselves for owners.
TEST_CASE("The idle connections of any number of VMs leave the owner its share") {
  constexpr std::size_t vms = 38;
  for (std::size_t limit = min_limit; limit <= max_limit; ++limit) {
    const auto owner = connection_share(limit, service_role::owner);
    const auto monitors = non_owner_watchers * idle_connection_share(limit, service_role::monitor);
    const auto others = (vms - 1 - non_owner_watchers) * idle_connection_share(limit, service_role::other);
    CAPTURE(limit, owner, monitors, others);
    CHECK(owner + monitors + others <= limit);
  }
}

}  // namespace
}  // namespace bulrushlift::sql
