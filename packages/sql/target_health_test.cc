#include "sql/target_health.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "sql/target_directory.h"

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const target_id primary{"t1"};
const target_id second{"t2"};
const target_id third{"t3"};
constexpr duration objective = milliseconds{100};
constexpr duration fast = milliseconds{4};
constexpr duration slow = milliseconds{80};

/// A service with a primary and two replicas, and reads that end on them.
class health_test {
 public:
  health_test() {
    for (const auto& target : {primary, second, third}) announce(target, 4);
  }

  void announce(const target_id& target, std::uint32_t slots) {
    target_announcement info;
    info.target = target;
    info.slots = slots;
    info.is_primary = target == primary;
    info.number.start = 1;
    directory_.announce(info, now_);
  }

  void run(const target_id& target, attempt_end end, duration latency, work_kind kind = work_kind::read) {
    directory_.on_started(target, kind, objective, now_);
    now_ += milliseconds{1};
    directory_.on_finished(target);
    if (end == attempt_end::unanswered) {
      directory_.on_failure(target, now_);
    } else {
      directory_.on_answer(target, std::nullopt, now_);
      directory_.on_attempt(target, {kind, end, latency, objective}, now_);
    }
    for (const auto& change : directory_.take_health_changes()) changes_.push_back(change);
  }
  void read(const target_id& target, duration latency) { run(target, attempt_end::answered, latency); }
  void read_everywhere(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      for (const auto& target : {primary, second, third}) read(target, fast);
    }
  }

  [[nodiscard]] std::vector<target_id> readers() const {
    return directory_.candidates({log_point{}, data_centre_id{}}, now_);
  }
  [[nodiscard]] bool is_reader(const target_id& target) const {
    const auto all = readers();
    return std::find(all.begin(), all.end(), target) != all.end();
  }
  [[nodiscard]] std::vector<target_id> writers() const { return directory_.candidates({}, now_); }
  [[nodiscard]] auto count(health_event event) const {
    return std::count_if(changes_.begin(), changes_.end(),
                         [event](const health_change& each) { return each.event == event; });
  }
  void wait(duration span) { now_ += span; }
  [[nodiscard]] const health_change& last_change() const { return changes_.back(); }
  [[nodiscard]] target_directory& directory() { return directory_; }
  [[nodiscard]] time_point now() const { return now_; }

 private:
  target_directory directory_;
  time_point now_{seconds{100}};
  std::vector<health_change> changes_;
};

// Guards against a gateway, which runs statements on the targets of one data centre only, that goes on
// sending reads to a failing one because it has nothing to compare it with.
TEST_CASE("A failing target is ejected although nothing is known of the others, a slow one is not") {
  health_test failing;
  for (int i = 0; i < 40; ++i) {
    failing.run(second, i % 2 == 0 ? attempt_end::failed : attempt_end::answered, fast);
  }
  CHECK(failing.count(health_event::ejected) == 1);
  CHECK_FALSE(failing.is_reader(second));

  health_test loaded;
  for (int i = 0; i < 40; ++i) loaded.read(second, slow);
  CHECK(loaded.count(health_event::ejected) == 0);
  CHECK(loaded.is_reader(second));
}

TEST_CASE_METHOD(health_test, "Targets with equal answers stay in the order of their load") {
  const auto before = readers();
  read_everywhere(50);
  CHECK(readers() == before);
  CHECK(count(health_event::ejected) == 0);
}

TEST_CASE_METHOD(health_test, "A slow or failed first read ejects nobody") {
  for (int i = 0; i < 10; ++i) {
    read(primary, fast);
    read(third, fast);
  }
  read(second, seconds{2});
  run(second, attempt_end::failed, fast);
  run(second, attempt_end::unanswered, {});
  CHECK(count(health_event::ejected) == 0);
}

// Guards against a replica that answers late while the others are in time.
TEST_CASE_METHOD(health_test, "A slow replica is ejected, a lone slow statement ejects nobody") {
  read_everywhere(10);
  read(second, seconds{2});
  CHECK(is_reader(second));
  for (int i = 0; i < 40; ++i) read(second, slow);
  CHECK_FALSE(is_reader(second));
  CHECK(last_change().reason == ejection_reason::slow);
  CHECK(last_change().share > last_change().others_share);
}

// Guards against a replica that is announced as ready and fails 40 % of its reads.
TEST_CASE_METHOD(health_test, "A replica that fails a part of its reads is ejected") {
  read_everywhere(20);
  for (int i = 0; i < 100 && is_reader(second); ++i)
    run(second, i % 5 < 2 ? attempt_end::failed : attempt_end::answered, fast);
  CHECK_FALSE(is_reader(second));
  CHECK(last_change().reason == ejection_reason::failing);
}

// Guards against a target that accepts statements and never answers: those that follow must not wait for the
// timeouts of the first ones.
TEST_CASE_METHOD(health_test, "A hanging replica gets no further reads") {
  read_everywhere(10);
  for (int i = 0; i < 2; ++i) directory().on_started(second, work_kind::read, objective, now());
  wait(milliseconds{60});
  read(third, fast);
  CHECK_FALSE(is_reader(second));
  for (int i = 0; i < 20; ++i) run(second, attempt_end::unanswered, {});
  CHECK(count(health_event::ejected) == 1);
  CHECK(last_change().reason == ejection_reason::unresponsive);
  directory().on_answer(second, std::nullopt, now());  // A new connection is no proof of health.
  CHECK_FALSE(is_reader(second));
}

TEST_CASE_METHOD(health_test, "After an ejection a target gets one read at a time until several were good") {
  read_everywhere(10);
  for (int i = 0; i < 40; ++i) read(second, slow);
  wait(milliseconds{500});
  CHECK(is_reader(second));
  directory().on_started(second, work_kind::read, objective, now());
  CHECK_FALSE(is_reader(second));
  directory().on_finished(second);
  for (int i = 0; i < 4; ++i) read(second, fast);
  CHECK(count(health_event::probing) == 1);
  CHECK(count(health_event::returned) == 0);
  read(second, fast);
  CHECK(count(health_event::returned) == 1);
  directory().on_started(second);
  CHECK(is_reader(second));
}

// Guards against a target that is good just long enough to be taken back.
TEST_CASE_METHOD(health_test, "A flapping target is ejected for longer each time") {
  duration last{};
  for (int round = 0; round < 4; ++round) {
    read_everywhere(10);
    for (int i = 0; i < 40; ++i) run(second, attempt_end::failed, fast);
    CHECK(count(health_event::ejected) == round + 1);
    CHECK(last_change().ejection > last);
    last = last_change().ejection;
    wait(last);
    for (int i = 0; i < 5; ++i) read(second, fast);
    CHECK(count(health_event::returned) == round + 1);
  }
}

TEST_CASE_METHOD(health_test, "Nobody is ejected when all are slow or fail alike") {
  for (int i = 0; i < 50; ++i) {
    for (const auto& target : {primary, second, third}) read(target, slow);
  }
  for (int i = 0; i < 50; ++i) {
    for (const auto& target : {primary, second, third}) run(target, attempt_end::failed, fast);
  }
  CHECK(count(health_event::ejected) == 0);
  CHECK(readers().size() == 3);
}

TEST_CASE_METHOD(health_test, "At most half of the targets are ejected, and the last one never") {
  read_everywhere(10);
  for (int i = 0; i < 40; ++i) run(second, attempt_end::failed, fast);
  for (int i = 0; i < 40; ++i) run(third, attempt_end::failed, fast);
  CHECK(count(health_event::ejected) == 1);
  directory().remove(third, now());
  directory().remove(primary, now());
  CHECK(readers() == std::vector<target_id>{second});
}

// Guards against a primary that loses the work that only it can run.
TEST_CASE_METHOD(health_test, "A slow primary loses reads but no writes") {
  read_everywhere(10);
  for (int i = 0; i < 40; ++i) run(primary, attempt_end::answered, slow, work_kind::primary_work);
  CHECK(is_reader(primary));
  for (int i = 0; i < 40; ++i) read(primary, slow);
  CHECK_FALSE(is_reader(primary));
  CHECK(writers() == std::vector<target_id>{primary});
  CHECK(directory().has_room(1));
}

// Guards against reads that stay with a slow target because nothing is known of the others.
TEST_CASE_METHOD(health_test, "A slow target without a comparison comes after the others") {
  for (int i = 0; i < 20; ++i) read(second, slow);
  CHECK(count(health_event::ejected) == 0);
  CHECK(readers().back() == second);
}

TEST_CASE_METHOD(health_test,
                 "A target that others use too gets fewer statements, and its slots again later") {
  for (int i = 0; i < 4; ++i) directory().on_started(second, work_kind::read, objective, now());
  run(second, attempt_end::busy, fast);
  CHECK(directory().has_room(second, 1));
  // More statements than slots explain a refusal; fewer do not.
  directory().on_finished(second);
  run(second, attempt_end::busy, fast);
  CHECK(directory().has_room(second, 1));
  run(second, attempt_end::busy, fast);
  CHECK_FALSE(directory().has_room(second, 1));
  CHECK(count(health_event::limit_lowered) == 1);
  for (int i = 0; i < 100; ++i) read(second, fast);
  CHECK(directory().has_room(second, 1));
  CHECK(count(health_event::limit_lifted) == 1);
}

// Guards against reads that go first to a target that looks idle because it refuses them.
TEST_CASE_METHOD(health_test, "A replica whose slots are all used by others is ejected") {
  read_everywhere(10);
  for (int i = 0; i < 40; ++i) run(second, attempt_end::busy, fast);
  CHECK_FALSE(is_reader(second));
  CHECK(last_change().reason == ejection_reason::refusing);
}

TEST_CASE_METHOD(health_test, "Latency that grows with the own load lowers the limit") {
  for (int i = 0; i < 20; ++i) read(second, fast);
  for (int i = 0; i < 3; ++i) directory().on_started(second, work_kind::read, objective, now());
  for (int i = 0; i < 20; ++i) read(second, milliseconds{40});
  CHECK_FALSE(directory().has_room(second, 1));
}

// Bad input: slots of 0 or absurdly many.
TEST_CASE_METHOD(health_test, "A target runs at least one statement, whatever it announces") {
  for (const auto slots : {0U, ~0U}) {
    announce(second, slots);
    CHECK(directory().has_room(second, 1));
    CHECK(directory().has_room(second, ~0U));
  }
}

}  // namespace
}  // namespace bulrushlift::sql
