#include "sql/freshness.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::seconds{100}};

log_point point(std::uint64_t term, std::uint64_t position) {
  return {term_id{term}, log_position{position}};
}

database_route make_route(consistency level) {
  database_route route;
  route.level = level;
  route.max_staleness = milliseconds{1'500};
  return route;
}

TEST_CASE("The oldest sample that is young enough gives the point") {
  freshness_log samples;
  samples.add({start, point(1, 10)});
  samples.add({start + milliseconds{500}, point(1, 20)});
  samples.add({start + milliseconds{1'000}, point(1, 30)});

  CHECK(samples.point_for(milliseconds{1'500}, start + milliseconds{1'200}) == point(1, 10));
  CHECK(samples.point_for(milliseconds{1'500}, start + milliseconds{1'800}) == point(1, 20));
}

// Guards against reads that miss commits older than the age bound.
TEST_CASE("Without a sample that is young enough no point is given") {
  freshness_log samples;
  samples.add({start, point(1, 10)});

  CHECK_FALSE(samples.point_for(milliseconds{1'500}, start + milliseconds{1'600}));
}

// Guards against a late answer of a superseded primary.
TEST_CASE("A sample of an older term is dropped") {
  freshness_log samples;
  samples.add({start, point(2, 10)});
  samples.add({start + milliseconds{100}, point(1, 50)});

  CHECK(samples.newest_point() == point(2, 10));
}

TEST_CASE("A primary route has no point: only the primary serves it") {
  freshness_log samples;
  samples.add({start, point(1, 10)});

  CHECK_FALSE(required_point(make_route(consistency::primary), std::nullopt, samples, start));
}

TEST_CASE("A session's own commit raises the point of read-your-writes only") {
  freshness_log samples;
  samples.add({start, point(1, 10)});

  CHECK(required_point(make_route(consistency::read_your_writes), point(1, 15), samples, start) ==
        point(1, 15));
  CHECK(required_point(make_route(consistency::read_your_writes), point(1, 5), samples, start) ==
        point(1, 10));
  CHECK(required_point(make_route(consistency::bounded_staleness), point(1, 15), samples, start) ==
        point(1, 10));
}

TEST_CASE("Old samples are forgotten but for the newest") {
  freshness_log samples;
  samples.add({start, point(1, 10)});
  samples.add({start + milliseconds{500}, point(1, 20)});

  samples.drop_before(start + std::chrono::seconds{60});

  CHECK(samples.newest_point() == point(1, 20));
  CHECK(samples.newest() == start + milliseconds{500});
}

}  // namespace
}  // namespace bulrushlift::sql
