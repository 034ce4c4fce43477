#include "net/address.h"

#include <catch2/catch.hpp>

using namespace bulrushlift;

// Guards against addresses that are accepted and then bound to something else.
TEST_CASE("addresses are IP numbers with a port") {
  CHECK(parse_address("127.0.0.1:80") == net_address{"127.0.0.1", 80});
  CHECK(parse_address("[::1]:0") == net_address{"::1", 0});
  CHECK(parse_address("[::1]:7")->str() == "[::1]:7");
  for (const auto* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x", "localhost:80",
                           "::1:80", "[127.0.0.1]:80", ":80", "127.0.0.1:-1"}) {
    CAPTURE(text);
    CHECK_FALSE(parse_address(text));
  }
}
