#include "base/error.h"

#include <catch2/catch.hpp>
#include <set>

namespace bulrushlift {
namespace {

// Guards against two kinds that share a name on the wire.
TEST_CASE("every error kind has its own name and is found by it") {
  std::set<std::string_view> names;
  for (int i = 0; i <= static_cast<int>(error_kind::internal_error); ++i) {
    const auto kind = static_cast<error_kind>(i);
    CHECK(names.insert(name_of(kind)).second);
    CHECK(error_kind_from_name(name_of(kind)) == kind);
  }
  CHECK_FALSE(error_kind_from_name("no_such_kind").has_value());
}

// Guards against advice to repeat a request that may have run.
TEST_CASE("an unknown outcome is never answered with advice to repeat at once") {
  for (int i = 0; i <= static_cast<int>(error_kind::internal_error); ++i) {
    const auto& row = traits_of(static_cast<error_kind>(i));
    if (row.result == outcome::unknown) CHECK(row.retry != retry_advice::now);
  }
}

TEST_CASE("a stated outcome overrides the table") {
  error failure{error_kind::deadline_exceeded, "no answer from target t1"};
  CHECK(failure.request_outcome() == outcome::not_run);
  failure.stated_outcome = outcome::unknown;
  CHECK(failure.request_outcome() == outcome::unknown);
}

}  // namespace
}  // namespace bulrushlift
