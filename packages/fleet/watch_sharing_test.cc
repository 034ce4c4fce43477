#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "fleet/object_merge.h"
#include "fleet/published_objects.h"

// Tests of what followers know, with a store, watching VMs and followers without network.

namespace bulrushlift {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1'000s};
constexpr std::size_t batch_bytes = 200;

store_version at(std::uint64_t epoch, std::uint64_t version) {
  return {store_epoch{epoch}, object_version{version}};
}

/// The objects of the store with their versions.
class store_fake {
 public:
  void put(const std::string& name) { objects_[name] = step(); }
  void remove(const std::string& name) {
    if (objects_.erase(name) > 0) step();
  }
  void save() { copy_ = *this_state(); }
  void restore() {
    objects_ = copy_.first;
    position_ = at(position_.epoch.value() + 1, copy_.second.version.value());
    for (auto& [name, version] : objects_) version.epoch = position_.epoch;
  }

  [[nodiscard]] const std::map<std::string, store_version>& objects() const { return objects_; }
  [[nodiscard]] const store_version& position() const { return position_; }

 private:
  using state = std::pair<std::map<std::string, store_version>, store_version>;

  store_version step() {
    position_.version = position_.version.next();
    return position_;
  }
  [[nodiscard]] std::unique_ptr<state> this_state() const {
    return std::make_unique<state>(objects_, position_);
  }

  std::map<std::string, store_version> objects_;
  store_version position_ = at(1, 10);
  state copy_;
};

/// A VM that knows objects, from the store or from another VM.
struct vm_fake {
  explicit vm_fake(std::uint64_t instance, duration grace = 0s) : merge(grace), published(instance) {}

  void put(const std::string& name, const store_version& version, object_origin origin) {
    if (merge.put(name, version, origin) != object_verdict::applied) return;
    objects[name] = version;
    published.put(name, version, "{}");
  }
  void remove(const std::string& name, const store_version& position) {
    objects.erase(name);
    published.remove(name, std::max(position, merge.position()));
  }
  void end_grace() {
    for (const auto& name : merge.end_grace()) remove(name, merge.position());
  }

  void list(const store_fake& store, time_point now = start) {
    if (merge.is_restored(store.position())) merge.start_grace(now);
    merge.begin_listing();
    for (const auto& [name, version] : store.objects()) {
      merge.on_listed(name);
      put(name, version, object_origin::store);
    }
    for (const auto& name : merge.end_listing(store.position(), object_origin::store, now)) {
      remove(name, store.position());
    }
  }

  void list(const vm_fake& watcher, time_point now = start) {
    const auto position = watcher.merge.position();
    if (position.epoch < merge.position().epoch) return;
    cursor = watcher.published.cursor();
    merge.begin_listing();
    published_batch page;
    std::string after;
    do {
      page = watcher.published.list(after, merge.position(), batch_bytes);
      for (const auto& each : page.objects) {
        merge.on_listed(each.name);
        if (each.content) put(each.name, each.version, object_origin::peer);
        after = each.name;
      }
    } while (page.has_more);
    if (merge.is_restored(position)) merge.start_grace(now);
    for (const auto& name : merge.end_listing(position, object_origin::peer, now)) remove(name, position);
  }

  /// @return whether the changes since the last call were known to the other VM.
  bool follow(const vm_fake& watcher, time_point now = start) {
    if (watcher.merge.position().epoch != merge.position().epoch) return false;
    while (true) {
      const auto batch = watcher.published.changes_after(cursor, batch_bytes);
      if (!batch) return false;
      for (const auto& each : batch->objects) {
        if (!each.is_removed) {
          put(each.name, each.version, object_origin::peer);
        } else if (merge.remove(each.name, each.version, object_origin::peer, now)) {
          remove(each.name, each.version);
        }
      }
      cursor = batch->cursor;
      if (batch->has_more) continue;
      merge.advance(watcher.merge.position());
      return !merge.needs_listing(watcher.merge.position());
    }
  }

  object_merge merge;
  published_objects published;
  publish_cursor cursor;
  std::map<std::string, store_version> objects;
};

struct sharing_fixture {
  sharing_fixture() {
    for (int i = 0; i < 20; ++i) store.put("t" + std::to_string(i));
    for (auto* each : {&first, &second, &follower}) each->list(store);
    follower.list(first);
  }

  store_fake store;
  vm_fake first{1, 2s};
  vm_fake second{2, 2s};
  vm_fake follower{3, 2s};
};

TEST_CASE_METHOD(sharing_fixture, "A follower learns of changes and removals") {
  store.put("t1");
  store.put("new");
  store.remove("t2");
  first.list(store);
  REQUIRE(follower.follow(first));
  CHECK(follower.objects == store.objects());
  CHECK(follower.merge.position() == store.position());
}

// Guards against a listing of contents that the follower has.
TEST_CASE_METHOD(sharing_fixture, "A listing carries the contents that are new only") {
  store.put("t1");
  first.list(store);
  std::size_t contents = 0;
  for (const auto& each : first.published.list("", follower.merge.position(), 1U << 20U).objects) {
    if (each.content) ++contents;
  }
  CHECK(contents == 1);
}

// Guards against changes that are lost between two answers.
TEST_CASE_METHOD(sharing_fixture, "A follower that missed a push gets the same changes again") {
  const auto before = follower.cursor;
  store.put("t1");
  first.list(store);
  static_cast<void>(first.published.changes_after(before, batch_bytes));  // This answer is lost.
  store.remove("t3");
  first.list(store);
  REQUIRE(follower.follow(first));
  CHECK(follower.objects == store.objects());
}

// Guards against removals that were forgotten while the follower was away.
TEST_CASE_METHOD(sharing_fixture, "A follower that missed too many removals is told to list") {
  for (int i = 0; i < 1'100; ++i) {
    store.put("x");
    first.put("x" + std::to_string(i), store.position(), object_origin::store);
    first.remove("x" + std::to_string(i), store.position());
  }
  CHECK_FALSE(follower.follow(first));
  first.list(store);
  follower.list(first);
  CHECK(follower.objects == store.objects());
}

TEST_CASE_METHOD(sharing_fixture, "The cursor of a watching VM is not valid at its successor") {
  first = vm_fake{9};
  first.list(store);
  CHECK_FALSE(follower.follow(first));
}

// Guards against a removed target, or an older state, that comes back from a VM that is behind.
TEST_CASE_METHOD(sharing_fixture, "Nothing comes back from a watching VM that is behind") {
  store.remove("t1");
  store.put("t2");
  store.put("new");
  first.list(store);
  REQUIRE(follower.follow(first));
  // The second VM was paused and knows the state of before.
  follower.list(second);
  CHECK(follower.objects == store.objects());
  CHECK(follower.merge.position() == store.position());
  REQUIRE(follower.follow(second));
  CHECK(follower.objects == store.objects());
  store.put("t4");
  second.list(store);
  if (!follower.follow(second)) follower.list(second);
  CHECK(follower.objects == store.objects());
}

// Guards against an object that stays for ever: the VM followed now never heard of it, so it tells of no
// removal.
TEST_CASE_METHOD(sharing_fixture, "A VM that was behind is listed again when it has caught up") {
  store.put("short-lived");
  first.list(store);
  REQUIRE(follower.follow(first));
  follower.list(second);
  store.remove("short-lived");
  second.list(store);
  if (!follower.follow(second)) follower.list(second);
  CHECK(follower.objects == store.objects());
}

// Guards against followers that keep a lost history, or drop targets that need time to report again.
TEST_CASE_METHOD(sharing_fixture, "A follower takes the whole state of a store that came back older") {
  store.put("kept");
  first.list(store);
  REQUIRE(follower.follow(first));
  store.save();
  store.put("lost");
  first.list(store);
  REQUIRE(follower.follow(first));
  store.restore();
  store.put("t1");
  first.list(store);
  CHECK_FALSE(follower.follow(first));
  follower.list(first, start + 1s);
  CHECK(follower.objects.contains("lost"));
  CHECK(follower.merge.position().epoch == store_epoch{2});
  first.end_grace();
  REQUIRE(follower.follow(first, start + 5s));
  CHECK(follower.objects == store.objects());
  // The second VM has not noticed yet.
  CHECK_FALSE(follower.follow(second));
  follower.list(second);
  CHECK(follower.objects == store.objects());
}

// Guards against targets that a follower drops while the watching VM still waits for their reports.
TEST_CASE_METHOD(sharing_fixture, "The removal grace of the watching VM holds for its followers") {
  store.remove("t1");
  first.merge.start_grace(start);
  first.list(store, start + 1s);
  REQUIRE(follower.follow(first));
  CHECK(follower.objects.contains("t1"));
  first.end_grace();
  REQUIRE(follower.follow(first));
  CHECK_FALSE(follower.objects.contains("t1"));
}

// Guards against a follower that falls back after an outage and drops what the store dropped meanwhile.
TEST_CASE_METHOD(sharing_fixture, "A follower that falls back keeps missing objects for the grace") {
  store.remove("t1");
  follower.merge.start_grace(start);
  follower.list(store, start + 1s);
  CHECK(follower.objects.contains("t1"));
  follower.end_grace();
  CHECK_FALSE(follower.objects.contains("t1"));
}

// Guards against views that stay different in some order of changes, listings and switches of the followed
// VM.
TEST_CASE("Followers agree with the store after any sequence of events") {
  rc::prop("", [](const std::vector<std::uint8_t>& steps) {
    store_fake store;
    store.save();
    std::array<vm_fake, 2> watchers{vm_fake{1}, vm_fake{2}};
    vm_fake follower{3};
    for (auto& each : watchers) each.list(store);
    follower.list(store);
    std::size_t followed = 0;
    follower.list(watchers.at(0));
    store_version last;
    for (const auto step : steps) {
      const auto name = "t" + std::to_string(step / 16 % 4);
      switch (step % 8) {
        case 0:
        case 1:
          store.put(name);
          break;
        case 2:
          store.remove(name);
          break;
        case 3:
        case 4:
          watchers.at(step / 8 % 2).list(store);
          break;
        case 5:
          followed = 1 - followed;
          follower.list(watchers.at(followed));
          break;
        case 6:
          if (step >= 224) store.restore();
          break;
        default:
          if (!follower.follow(watchers.at(followed))) follower.list(watchers.at(followed));
      }
      RC_ASSERT(follower.merge.position() >= last);
      last = follower.merge.position();
      for (const auto& [object, version] : follower.objects) RC_ASSERT(version <= store.position());
    }
    store.put("end");
    watchers.at(followed).list(store);
    if (!follower.follow(watchers.at(followed))) follower.list(watchers.at(followed));
    RC_ASSERT(follower.objects == store.objects());
  });
}

}  // namespace
}  // namespace bulrushlift
