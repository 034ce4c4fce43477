#include "database/read_router.h"

#include <catch2/catch.hpp>

#include "database/read_candidates.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{1'000}};

log_point at(std::uint64_t position, std::uint64_t term = 2) {
  return {term_id{term}, log_position{position}};
}

read_candidate make_replica(const char* name, std::uint64_t position) {
  read_candidate it;
  it.target = target_id{name};
  it.data_centre = data_centre_id{"tanta"};
  it.is_reachable = it.is_consistent = true;
  it.point = at(position);
  it.free_slots = 2;
  return it;
}

/// A group with the primary at position 100, one replica at 100 and one at 50.
std::vector<read_candidate> make_group() {
  std::vector<read_candidate> group{make_replica("primary", 100), make_replica("near", 100),
                                    make_replica("far", 50)};
  group[0].is_primary = true;
  return group;
}

read_requirements make_read(std::optional<log_point> point = std::nullopt) {
  read_requirements read;
  read.required_point = point;
  read.data_centre = data_centre_id{"tanta"};
  read.deadline = start + seconds{1};
  read.first_routed = start;
  return read;
}

std::string target_of(const read_decision& decision) {
  const auto* it = std::get_if<run_read>(&decision);
  return it == nullptr ? "" : it->target.str();
}

std::string route(const read_requirements& read, const std::vector<read_candidate>& group,
                  time_point now = start) {
  return target_of(route_read(read, group, {}, now, 0));
}

// Guards against a session that does not see its own write.
TEST_CASE("only replicas at the required point serve a session") {
  CHECK(route(make_read(at(80)), make_group()) == "near");
  CHECK(route(make_read(at(101)), make_group()) == "primary");
  CHECK(route(make_read(at(1, 3)), make_group()) == "primary");
  CHECK_FALSE(is_point_satisfied(make_read(at(1, 3)), at(500)));
  CHECK(is_point_satisfied(make_read(at(500)), at(1, 3)));
}

// Guards against reads on a target whose log will be truncated, that is leaving or that does not answer.
TEST_CASE("inconsistent, leaving and unreachable replicas serve nothing") {
  for (auto flag : {&read_candidate::is_reachable, &read_candidate::is_consistent}) {
    auto group = make_group();
    group[1].*flag = group[2].*flag = false;
    CHECK(route(make_read(), group) == "primary");
  }
  auto group = make_group();
  group[1].is_leaving = group[2].is_leaving = true;
  CHECK(route(make_read(), group) == "primary");
}

// Guards against data that is older than the caller allows.
TEST_CASE("a maximum age excludes replicas whose age is greater or unknown") {
  auto group = make_group();
  group[1].data_age = milliseconds{200};
  auto read = make_read();
  read.maximum_age = milliseconds{200};
  CHECK(route(read, group) == "near");
  read.maximum_age = milliseconds{199};
  CHECK(route(read, group) == "primary");
  CHECK_FALSE(is_answer_sufficient(read, at(100), std::nullopt));
  CHECK(is_answer_sufficient(read, at(100), milliseconds{199}));
}

// Guards against one replica serving all reads while others are idle, and against reads in another data
// centre without need.
TEST_CASE("a free slot comes first, then the data centre, then the load") {
  auto group = make_group();
  group[1].load = 1;
  CHECK(route(make_read(), group) == "far");
  group[2].data_centre = data_centre_id{"banha"};
  CHECK(route(make_read(), group) == "near");
  group[1].free_slots = 0;
  CHECK(route(make_read(), group) == "far");
}

// Guards against reads on the primary that a replica could serve a few milliseconds later.
TEST_CASE("a read waits for a busy replica, then takes the primary") {
  auto group = make_group();
  group[1].free_slots = group[2].free_slots = 0;
  group[1].load = group[2].load = 2;
  const auto decision = route_read(make_read(), group, {}, start, 0);
  CHECK(std::get<wait_for_target>(decision).until == start + milliseconds{5});
  CHECK(route(make_read(), group, start + milliseconds{5}) == "primary");
}

// Guards against a wait after which the read runs on the primary anyway.
TEST_CASE("a read does not wait behind three rounds of reads") {
  auto group = make_group();
  group[1].free_slots = group[2].free_slots = 0;
  group[1].load = group[2].load = 2;
  auto read = make_read();
  read.queued_reads = 11;
  CHECK(route(read, group).empty());
  read.queued_reads = 12;
  CHECK(route(read, group) == "primary");
}

// Guards against a wait for a replica that cannot reach the point in time.
TEST_CASE("with a busy primary a read waits for a replica that is about to reach the point") {
  auto group = make_group();
  group[0].free_slots = 0;
  group[1].entries_per_second = 1'000;
  const auto soon = route_read(make_read(at(102)), group, {}, start, 0);
  CHECK(std::get<wait_for_target>(soon).until == start + milliseconds{2});
  CHECK(route(make_read(at(200)), group) == "primary");
}

// Guards against a read that is repeatedly sent to replicas that are behind.
TEST_CASE("after an insufficient answer only the primary is left") {
  auto read = make_read(at(80));
  read.is_primary_only = true;
  CHECK(route(read, make_group()) == "primary");
}

// Guards against an error before the deadline, and against an error with the wrong kind or outcome.
TEST_CASE("without a member that satisfies the read it waits until the deadline and is not run") {
  auto group = make_group();
  group[0].is_reachable = false;
  const auto read = make_read(at(101));
  CHECK(std::holds_alternative<wait_for_target>(route_read(read, group, {}, start, 0)));
  const auto refused = std::get<refuse_read>(route_read(read, group, {}, read.deadline, 0));
  CHECK(refused.cause.kind == error_kind::position_unavailable);
  CHECK(refused.cause.request_outcome() == outcome::not_run);
  for (auto& it : group) it.is_reachable = false;
  CHECK(std::get<refuse_read>(route_read(read, group, {}, read.deadline, 0)).cause.kind ==
        error_kind::target_unavailable);
}

// Guards against a former primary or an entry of a former term being treated as current.
TEST_CASE("candidates follow the group's view and the pools") {
  group_view group;
  group.term = term_id{2};
  group.primary = target_id{"t1"};
  group.samples.push_back({start - milliseconds{100}, at(90)});
  for (const auto* name : {"t1", "t2"}) {
    target_view target;
    target.target = target_id{name};
    target.term = term_id{2};
    target.is_reachable = true;
    target.point = at(95);
    group.targets.push_back(target);
  }
  group.targets[1].point = at(500, 1);
  pool_view pool;
  pool.slots = 2;
  pool.slots_in_use = 1;
  const auto candidates = make_read_candidates(group, {{target_id{"t1"}, pool}}, start);
  CHECK(candidates[0].is_primary);
  CHECK(candidates[0].is_consistent);
  CHECK(candidates[0].free_slots == 1);
  CHECK(candidates[0].data_age >= milliseconds{100});
  CHECK_FALSE(candidates[1].is_consistent);
  CHECK_FALSE(candidates[1].data_age);
  CHECK(candidates[1].free_slots == 0);
  group.promotion = promotion_step::fencing;
  CHECK_FALSE(make_read_candidates(group, {}, start)[0].is_primary);
}

}  // namespace
}  // namespace bulrushlift
