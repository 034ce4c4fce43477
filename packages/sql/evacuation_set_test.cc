#include "sql/evacuation_set.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

const data_centre_id north{"north"};
const data_centre_id south{"south"};

store_version at(std::uint64_t epoch, std::uint64_t position) {
  return {store_epoch{epoch}, object_version{position}};
}

TEST_CASE("The set at the highest position is in force, wherever it came from") {
  evacuation_set set;
  CHECK_FALSE(set.is_known());
  CHECK_FALSE(set.apply(at(1, 5), {}));
  CHECK(set.is_known());
  CHECK(set.apply(at(1, 9), {north}));
  CHECK(set.in_force() == data_centre_set{north});
}

// Guards against a late heartbeat that ends an evacuation or brings one back.
TEST_CASE("A set at an older position has no effect") {
  evacuation_set set;
  static_cast<void>(set.apply(at(1, 9), {north}));
  CHECK_FALSE(set.apply(at(1, 8), {}));
  CHECK_FALSE(set.apply(at(1, 9), {south}));
  CHECK(set.in_force() == data_centre_set{north});
  CHECK(set.apply(at(1, 10), {}));
  CHECK_FALSE(set.apply(at(1, 9), {north}));
  CHECK(set.in_force().empty());
}

TEST_CASE("Two data centres one after the other, the first taken back") {
  evacuation_set set;
  CHECK(set.apply(at(1, 1), {north}));
  CHECK(set.apply(at(1, 2), {north, south}));
  CHECK(set.apply(at(1, 3), {south}));
  CHECK(set.in_force() == data_centre_set{south});
}

// Guards against statements in an evacuated data centre because the store lost the entry.
TEST_CASE("An entry that the store lost with its newest changes stays in force") {
  evacuation_set set;
  static_cast<void>(set.apply(at(1, 90), {north}));
  CHECK_FALSE(set.apply(at(2, 40), {}));
  CHECK(set.in_force() == data_centre_set{north});
  CHECK(set.kept() == data_centre_set{north});
  CHECK(set.stored().empty());
  CHECK(set.apply(at(2, 41), {south}));
  CHECK(set.in_force() == data_centre_set{north, south});
}

// Guards against an evacuation that nobody can end after the store lost its entry.
TEST_CASE("A kept entry ends when the operators write and remove it") {
  evacuation_set set;
  static_cast<void>(set.apply(at(1, 90), {north}));
  static_cast<void>(set.apply(at(2, 40), {}));
  CHECK_FALSE(set.apply(at(2, 41), {north}));
  CHECK(set.kept().empty());
  CHECK(set.apply(at(2, 42), {}));
  CHECK(set.in_force().empty());
}

// Guards against a peer that has not noticed the restore and sends positions of the lost history.
TEST_CASE("A set of the lost history has no effect") {
  evacuation_set set;
  static_cast<void>(set.apply(at(2, 40), {}));
  CHECK_FALSE(set.apply(at(1, 900), {north}));
  CHECK(set.in_force().empty());
}

}  // namespace
}  // namespace bulrushlift::sql
