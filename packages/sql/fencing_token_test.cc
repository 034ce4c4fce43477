#include "sql/fencing_token.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

constexpr store_version claim(std::uint64_t epoch, std::uint64_t version) {
  return {store_epoch{epoch}, object_version{version}};
}

// Guards against a token that two VMs have, or that is below one that the platform has seen, because the
// store gave a version out again.
TEST_CASE("Fencing tokens rise with the version and with the epoch of the store") {
  CHECK(fencing_token(claim(1, 8)) > fencing_token(claim(1, 7)));
  CHECK(fencing_token(claim(2, 1)) > fencing_token(claim(1, 1'000'000'000'000)));
  CHECK(fencing_token(claim(0, 7)) == 7);
}

}  // namespace
}  // namespace bulrushlift::sql
