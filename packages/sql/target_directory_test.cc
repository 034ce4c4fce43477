#include "sql/target_directory.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::seconds{100}};
const target_id first{"t1"};
const target_id second{"t2"};
const target_id third{"t3"};

log_point point(std::uint64_t term, std::uint64_t position) {
  return {term_id{term}, log_position{position}};
}

target_announcement announcement(const target_id& target, const char* data_centre, bool is_primary) {
  target_announcement info;
  info.target = target;
  info.service = service_id{"orders"};
  info.address = "10.0.0.1:1";
  info.data_centre = data_centre_id{data_centre};
  info.slots = 2;
  info.is_primary = is_primary;
  info.number.start = 1;
  return info;
}

target_directory directory_of_three() {
  target_directory directory;
  directory.announce(announcement(first, "north", true), start);
  directory.announce(announcement(second, "south", false), start);
  directory.announce(announcement(third, "east", false), start);
  return directory;
}

target_requirements read_at(std::uint64_t position, const char* near) {
  return {point(1, position), data_centre_id{near}};
}

TEST_CASE("A statement for the primary has the primary as its only candidate") {
  const auto directory = directory_of_three();

  CHECK(directory.candidates({std::nullopt, data_centre_id{"south"}}, start) ==
        std::vector<target_id>{first});
}

// Load pattern: many small reads over few slots.
TEST_CASE("Reads prefer the replica of their data centre and spare the primary") {
  const auto directory = directory_of_three();

  CHECK(directory.candidates(read_at(1, "south"), start) == std::vector<target_id>{second, third, first});
}

TEST_CASE("A loaded replica comes after an idle one elsewhere") {
  auto directory = directory_of_three();
  directory.on_started(second);

  CHECK(directory.candidates(read_at(1, "south"), start).front() == third);
  directory.on_finished(second);
  CHECK(directory.candidates(read_at(1, "south"), start).front() == second);
}

TEST_CASE("A replica that was behind is left alone for a moment") {
  auto directory = directory_of_three();
  directory.on_behind(second, start);

  CHECK(directory.candidates(read_at(5, "south"), start) == std::vector<target_id>{third, first});
  CHECK(directory.candidates(read_at(5, "south"), start + milliseconds{80}).front() == second);
}

// Guards against sending new work to a target that is shutting down.
TEST_CASE("A leaving target gets no reads") {
  auto directory = directory_of_three();
  auto leaving = announcement(second, "south", false);
  leaving.is_leaving = true;
  directory.announce(leaving, start);

  CHECK(directory.candidates(read_at(1, "south"), start) == std::vector<target_id>{third, first});
}

// Guards against a leaving primary that gets statements until another target leads, however long that takes.
TEST_CASE("A leaving primary gets work for its drain time only") {
  auto directory = directory_of_three();
  auto leaving = announcement(first, "north", true);
  leaving.is_leaving = true;
  const auto is_used = [&](duration age) {
    return !directory.candidates({std::nullopt, data_centre_id{"north"}, milliseconds{5'000}}, start + age)
                .empty();
  };

  SECTION("from the report on") {
    directory.announce(leaving, start);
    directory.announce(leaving, start + milliseconds{3'000});
    CHECK(is_used(milliseconds{4'999}));
    CHECK_FALSE(is_used(milliseconds{5'000}));
    CHECK_FALSE(
        directory.candidates({std::nullopt, data_centre_id{"north"}}, start + milliseconds{9'000}).empty());
  }
  SECTION("after a start of this VM it may have been leaving for some time") {
    directory.remove(first, start);
    directory.announce(leaving, start);
    CHECK(is_used(milliseconds{1'999}));
    CHECK_FALSE(is_used(milliseconds{2'000}));
  }
  SECTION("until it stays") {
    directory.announce(leaving, start);
    directory.announce(announcement(first, "north", true), start + milliseconds{100});
    CHECK(is_used(milliseconds{9'000}));
  }
}

TEST_CASE("A failed target is blocked and comes back with its first answer") {
  auto directory = directory_of_three();
  directory.on_failure(first, start);
  CHECK(directory.candidates({std::nullopt, data_centre_id{}}, start).empty());

  directory.on_answer(first, std::nullopt, start);
  CHECK_FALSE(directory.candidates({std::nullopt, data_centre_id{}}, start).empty());
}

// Guards against a healthy primary that is replaced because probes use connections that died in a partition.
TEST_CASE("Connections from before repeated failures are doubtful until the target answers") {
  auto directory = directory_of_three();
  const auto failed = start + milliseconds{100};
  directory.on_failure(first, failed);
  CHECK_FALSE(directory.is_connection_doubtful(first, start));

  directory.on_failure(first, failed + milliseconds{200});
  CHECK(directory.is_connection_doubtful(first, start));
  CHECK_FALSE(directory.is_connection_doubtful(first, failed + milliseconds{1}));
  CHECK_FALSE(directory.is_connection_doubtful(second, start));

  directory.on_answer(first, std::nullopt, failed + milliseconds{300});
  CHECK_FALSE(directory.is_connection_doubtful(first, start));
}

TEST_CASE("A target that refuses writes is not the primary any more") {
  auto directory = directory_of_three();
  directory.on_read_only(first, start);

  CHECK(directory.primary() == nullptr);
  CHECK(directory.leaderless_since() == start);
  directory.on_primary_answer(second, point(2, 1), start, start);
  CHECK(directory.primary()->info.target == second);
  CHECK_FALSE(directory.leaderless_since());
}

// Guards against applying the history of a process to its successor.
TEST_CASE("Another process with the same id starts without history") {
  auto directory = directory_of_three();
  directory.on_answer(second, point(1, 90), start);
  auto successor = announcement(second, "south", false);
  successor.number.start = 2;
  directory.announce(successor, start + milliseconds{1});

  CHECK_FALSE(directory.find(second)->point);
}

TEST_CASE("A primary that disappears leaves the service without one") {
  auto directory = directory_of_three();
  directory.remove(first, start + milliseconds{5});

  CHECK(directory.primary() == nullptr);
  CHECK(directory.leaderless_since() == start + milliseconds{5});
}

// Guards against repeated scans of the whole queue while every slot is taken.
TEST_CASE("A service has room until each target runs its slots and the statements sent ahead") {
  auto directory = directory_of_three();
  for (const auto& target : {first, second, third}) {
    for (int i = 0; i < 3; ++i) {
      CHECK(directory.has_room(1));
      directory.on_started(target);
    }
  }
  CHECK_FALSE(directory.has_room(1));
  directory.on_finished(second);
  CHECK(directory.has_room(1));
}

}  // namespace
}  // namespace bulrushlift::sql
