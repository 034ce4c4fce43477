#include "platform/object_store.h"

#include <catch2/catch.hpp>
#include <string>

#include "net/http_server.h"

namespace bulrushlift::platform {
namespace {

using std::chrono::seconds;

/// A store that answers every call with the same body.
struct fixed_store {
  fixed_store(event_loop& loop, std::string body)
      : server(loop, {}, [body = std::move(body)](const http_request&, const http_responder& respond) {
          respond(json_response(200, body));
        }) {
    const auto bound = server.listen({"127.0.0.1", 0});
    REQUIRE(bound);
    address = *bound;
  }

  http_server server;
  net_address address;
};

result<object_page> list_from(const std::string& body) {
  event_loop loop;
  fixed_store server{loop, body};
  object_store store{loop, server.address};
  result<object_page> page;
  store.list(object_kind::targets, "", seconds{20}, [&](result<object_page> answer) {
    page = std::move(answer);
    loop.stop();
  });
  loop.run_for(seconds{30});
  return page;
}

result<object_events> watch_from(const std::string& body) {
  event_loop loop;
  fixed_store server{loop, body};
  object_store store{loop, server.address};
  result<object_events> events;
  store.watch(object_kind::targets, object_version{3}, seconds{1}, seconds{20},
              [&](result<object_events> answer) {
                events = std::move(answer);
                loop.stop();
              });
  loop.run_for(seconds{30});
  return events;
}

// Guards against a process that ends with an exception because a field of an answer has another type.
TEST_CASE("Fields of an unexpected type in a listing are taken as missing") {
  const auto page = list_from(
      R"({"items": [7, "x", {"meta": 3}, {"meta": {"name": 4}}, {"meta": {"name": "i-1", "revision": "9"}}],
          "more": "yes", "at": "later"})");

  REQUIRE(page);
  REQUIRE(page->objects.size() == 1);
  CHECK(page->objects.front().name == "i-1");
  CHECK_FALSE(page->has_more);
  CHECK(page->position == object_version{});
  CHECK(list_from(R"({"items": {"a": 1}})")->objects.empty());
  CHECK(list_from(R"({"items": "none"})")->objects.empty());
}

TEST_CASE("Fields of an unexpected type in a watch are taken as missing") {
  const auto events = watch_from(
      R"({"events": [null, [], {"object": 1}, {"object": {"meta": {"name": "i-1"}}, "removed": "no"}], "at": 5})");

  REQUIRE(events);
  REQUIRE(events->events.size() == 1);
  CHECK_FALSE(events->events.front().is_removed);
  CHECK(events->position == object_version{5});
}

TEST_CASE("An answer that is no JSON object is an error") {
  CHECK_FALSE(list_from("[1, 2]"));
  CHECK_FALSE(list_from("{\"items\": ["));
}

}  // namespace
}  // namespace bulrushlift::platform
