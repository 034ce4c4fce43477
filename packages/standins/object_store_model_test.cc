#include "standins/object_store_model.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using kind = store_call_kind;

class store_fixture {
 public:
  std::vector<store_reply> call(store_request request) { return store.handle(clock.now(), request); }
  store_reply put(const std::string& value, std::optional<object_version> if_version = std::nullopt) {
    return call({.id = 1, .call = kind::put, .path = "a", .value = value, .if_version = if_version}).at(0);
  }
  store_reply get() { return call({.id = 2, .call = kind::get, .path = "a"}).at(0); }

  object_store_model store;
  manual_clock clock;
};

// Guards against a stand-in that accepts two conditional writes against the same version.
TEST_CASE("a conditional update succeeds for one writer of a version") {
  store_fixture it;
  CHECK(it.put("1", object_version{0}).status == 200);
  CHECK(it.put("2", object_version{0}).status == 409);
  const auto second = it.put("2", object_version{1});
  CHECK(second.version == object_version{2});
  const auto third = it.put("3", object_version{1});
  CHECK(third.status == 409);
  CHECK(third.version == object_version{2});
  CHECK(it.get().objects.at(0).value == "2");
  CHECK(it.call({.id = 3, .call = kind::remove, .path = "a", .if_version = object_version{2}}).at(0).status ==
        200);
  CHECK(it.get().status == 404);
  // A reused version would let an outdated condition match again.
  CHECK(it.put("4", object_version{0}).version == object_version{4});
}

// Guards against watches that miss a change, are answered early without one, or never time out.
TEST_CASE("a watch ends with a newer version or at its timeout") {
  store_fixture it;
  (void)it.put("1");
  const store_request watch{
      .id = 7, .call = kind::watch, .path = "a", .watch_after = object_version{1}, .wait = milliseconds{100}};
  CHECK(it.call(watch).empty());
  const auto answers = it.call({.id = 8, .call = kind::put, .path = "a", .value = "2"});
  REQUIRE(answers.size() == 2);
  CHECK(answers[1].id == 7);
  CHECK(answers[1].objects.at(0).value == "2");
  CHECK(it.call(watch).at(0).status == 200);

  auto later = watch;
  later.watch_after = object_version{2};
  CHECK(it.call(later).empty());
  it.clock.advance(milliseconds{100});
  CHECK(it.store.next_due() == it.clock.now());
  CHECK(it.store.advance(it.clock.now()).at(0).status == 304);
}

// Guards against a stand-in that cannot show what a store that comes back from an older copy does to its
// users.
TEST_CASE("a store that comes back from a copy gives lost versions out again") {
  store_fixture it;
  (void)it.put("1");
  it.store.save_copy();
  CHECK(it.put("2").version == object_version{2});
  const store_request watch{
      .id = 7, .call = kind::watch, .path = "a", .watch_after = object_version{2}, .wait = milliseconds{100}};
  CHECK(it.call(watch).empty());
  const auto cut = it.store.restore_copy();
  REQUIRE(cut.size() == 1);
  CHECK(cut[0].id == 7);
  CHECK(cut[0].status == 0);
  CHECK(it.get().objects.at(0).value == "1");
  CHECK(it.put("3").version == object_version{2});
}

// Guards against fault injection that has no effect, so that tests of faults pass without one.
TEST_CASE("each fault shows what it names") {
  store_fixture it;
  (void)it.put("1");
  (void)it.put("2");
  it.store.set_faults({.down = true});
  CHECK(it.put("3").status == 0);
  it.store.set_faults({.lose_answers = 1});
  CHECK(it.get().objects.at(0).value == "2");
  CHECK(it.put("3").status == 0);
  CHECK(it.get().objects.at(0).value == "3");
  CHECK(it.put("4").status == 200);
  it.store.set_faults({.serve_old = true});
  CHECK(it.get().objects.at(0).value == "3");
  it.store.set_faults({.delay = milliseconds{50}});
  CHECK(it.call({.id = 9, .call = kind::get, .path = "a"}).empty());
  it.clock.advance(milliseconds{50});
  CHECK(it.store.advance(it.clock.now()).at(0).id == 9);
  it.store.set_faults({.silent_watch = true});
  CHECK(it.call({.id = 10, .call = kind::watch, .path = "a"}).empty());
  it.clock.advance(milliseconds{5'000});
  CHECK(it.store.advance(it.clock.now()).empty());
  CHECK(it.get().status == 200);
  CHECK(it.store.counts().at(kind::put) == 5);
}

}  // namespace
}  // namespace bulrushlift
