#include "standins/platform_server.h"

#include <catch2/catch.hpp>

#include "net/object_store_client.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class platform_fixture {
 public:
  platform_fixture() : server(loop), client(loop, server.listen({"127.0.0.1", 0}).value(), {}) {}

  /// Runs the event loop until the call is answered, for at most 20 seconds.
  template <class T, class Start>
  result<T> wait(Start start) {
    std::optional<result<T>> answer;
    start([&](result<T> value) {
      answer = std::move(value);
      loop.stop();
    });
    loop.run_for(seconds{20});
    REQUIRE(answer.has_value());
    return *answer;
  }

  result<object_version> put(const std::string& value, std::optional<object_version> if_version) {
    return wait<object_version>([&](auto done) { client.put("a/b", value, if_version, done); });
  }
  result<platform_object> get(const std::string& path) {
    return wait<platform_object>([&](auto done) { client.get(path, done); });
  }

  event_loop loop;
  platform_server server;
  object_store_client client;
};

// Guards against a client and a stand-in that interpret the object API differently, and against text that
// encoding or decoding changes.
TEST_CASE("objects, conditions and lists pass through HTTP unchanged") {
  platform_fixture it;
  const std::string value = "{\n// \"quoted\" \\ \xc3\xa9\n}";
  CHECK(it.get("a/b").error().kind == error_kind::not_found);
  CHECK(it.put(value, object_version{0}).value() == object_version{1});
  CHECK(it.put("other", object_version{0}).error().kind == error_kind::conflict);
  CHECK(it.get("a/b").value() == platform_object{"a/b", object_version{1}, value});
  const auto listed = it.wait<std::vector<platform_object>>([&](auto done) { it.client.list("a/", done); });
  CHECK(listed.value().size() == 1);
  it.server.model().set_vms({{"t1", "10.0.0.1:1", "thies", true}});
  const auto vms = it.wait<std::vector<platform_list_entry>>([&](auto done) { it.client.list_vms(done); });
  CHECK(vms.value() == std::vector<platform_list_entry>{{"t1", "10.0.0.1:1", "thies", true}});
}

// Guards against a watch that misses a change or never times out.
TEST_CASE("a watch returns a newer version, or nothing after its wait") {
  platform_fixture it;
  (void)it.put("1", object_version{0});
  using watched = std::optional<platform_object>;
  const auto watch = [&](object_version after) {
    return it.wait<watched>([&](auto done) { it.client.watch("a/b", after, milliseconds{20}, done); });
  };
  CHECK(watch(object_version{0}).value()->value == "1");
  CHECK_FALSE(watch(object_version{1}).value().has_value());
}

// Guards against a client that reports a write as not run although it took effect.
TEST_CASE("a write whose answer is lost has an unknown outcome") {
  platform_fixture it;
  it.server.model().set_faults({.lose_answers = 1});
  const auto lost = it.put("1", object_version{0});
  REQUIRE_FALSE(lost);
  CHECK(lost.error().kind == error_kind::platform_unavailable);
  CHECK(lost.error().request_outcome() == outcome::unknown);
  CHECK(it.get("a/b").value().value == "1");
}

// Guards against a client that repeats calls faster than its budget while the platform fails.
TEST_CASE("paced calls wait for the budget and the back-off") {
  platform_fixture it;
  object_store_client_options options;
  options.pacing = call_pacer::options{100, 1, milliseconds{40}, milliseconds{40}};
  object_store_client paced{it.loop, it.client.address(), options};
  it.server.model().set_faults({.down = true});
  const auto started = it.loop.now();
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(it.wait<platform_object>([&](auto done) { paced.get("a/b", done); }));
  }
  // Two back-offs of at least half the step lie between three calls.
  CHECK(it.loop.now() - started >= milliseconds{40});
}

}  // namespace
}  // namespace bulrushlift
