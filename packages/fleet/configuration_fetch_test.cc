#include "fleet/configuration_fetch.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr generation_id newer{7};
constexpr store_access working{true, false, false};
constexpr store_access listing{true, true, false};
constexpr store_access receiving{true, false, true};
constexpr store_access lost{};

TEST_CASE("a newer configuration is fetched from the store, else from a peer") {
  configuration_fetch fetch;
  CHECK(fetch.choose(newer, working, start) == fetch_source::store);
  CHECK(configuration_fetch{}.choose(newer, lost, start) == fetch_source::peer);
}

// Guards against a large document that never arrives over a slow link, because each heartbeat starts its
// transfer again.
TEST_CASE("a transfer from the store that is under way is not started again") {
  configuration_fetch fetch;
  for (int i = 0; i < 50; ++i) {
    CHECK(fetch.choose(newer, receiving, start + i * milliseconds{100}) == fetch_source::none);
  }
  CHECK(fetch.choose(newer, working, start) == fetch_source::store);
  CHECK(fetch.choose(newer, listing, start + milliseconds{400}) == fetch_source::none);
}

// Guards against transfers from several peers that fill a slow link, so that none arrives in time.
TEST_CASE("few transfers from peers run at a time") {
  configuration_fetch fetch;
  int requests = 0;
  for (int i = 0; i < 50; ++i) {
    if (fetch.choose(newer, lost, start + i * milliseconds{100}) == fetch_source::peer) ++requests;
  }
  CHECK(requests == 4);
}

TEST_CASE("after a peer has failed another one is asked soon") {
  configuration_fetch fetch;
  CHECK(fetch.choose(newer, lost, start) == fetch_source::peer);
  CHECK(fetch.choose(newer, lost, start + milliseconds{600}) == fetch_source::peer);
  CHECK(fetch.choose(newer, lost, start + milliseconds{1'200}) == fetch_source::none);
  fetch.on_peer_failed();
  CHECK(fetch.choose(newer, lost, start + milliseconds{1'200}) == fetch_source::peer);
}

TEST_CASE("the next configuration is requested at once") {
  configuration_fetch fetch;
  CHECK(fetch.choose(newer, lost, start) == fetch_source::peer);
  fetch.on_applied();
  CHECK(fetch.choose(generation_id{8}, lost, start + milliseconds{10}) == fetch_source::peer);
}

// Guards against a store that came back older and is asked again for what it has lost.
TEST_CASE("a generation that a listing did not bring is requested from a peer") {
  configuration_fetch fetch;
  CHECK(fetch.choose(newer, working, start) == fetch_source::store);
  CHECK(fetch.choose(newer, working, start + milliseconds{100}) == fetch_source::peer);
}

// Guards against a VM that waits for a listing that the store does not answer.
TEST_CASE("a listing without an answer does not delay a request to a peer for long") {
  configuration_fetch fetch;
  CHECK(fetch.choose(newer, working, start) == fetch_source::store);
  CHECK(fetch.choose(newer, listing, start + milliseconds{500}) == fetch_source::peer);
}

}  // namespace
}  // namespace bulrushlift
