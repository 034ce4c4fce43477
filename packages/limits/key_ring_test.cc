#include "limits/key_ring.h"

#include <catch2/catch.hpp>
#include <string>

namespace bulrushlift {
namespace {

const std::string secret(43, 'S');
const std::string text = "blk_k1_" + secret;

key_ring ring_of(key_state state) {
  return key_ring{{{customer_id{"shop"}, {{key_id{"k1"}, digest_of_key(text), state}}}}};
}

// Guards against a parser that splits a key at the wrong "_": both the id and the secret
// may contain that character.
TEST_CASE("the secret is taken from the end of the key") {
  const std::string odd_secret = "_" + std::string(41, 'a') + "_";
  CHECK(parse_key("blk_a_b_" + odd_secret) == key_text{"a_b", odd_secret});
  CHECK_FALSE(parse_key("blk__" + secret));
  CHECK_FALSE(parse_key("blk_k1-" + secret));
  CHECK_FALSE(parse_key("blx_k1_" + secret));
  CHECK_FALSE(parse_key("blk_k1_" + secret.substr(1)));
  CHECK_FALSE(parse_key("blk_k 1_" + secret));
  CHECK_FALSE(parse_key("blk_" + std::string(65, 'k') + "_" + secret));
  CHECK_FALSE(parse_key(""));
}

// Guards against open routes on which a request with a wrong key runs as the anonymous customer.
TEST_CASE("open routes need no key but refuse a wrong one") {
  const auto ring = ring_of(key_state::revoked);
  CHECK(ring.authenticate(std::nullopt, route_access::open_to_all) == anonymous_customer());
  CHECK(ring.authenticate(text, route_access::open_to_all).error().kind == error_kind::key_revoked);
  CHECK(ring.authenticate(std::nullopt, route_access::customers_only).error().kind ==
        error_kind::unauthenticated);
}

// Guards against error messages that reveal keys to logs and callers.
TEST_CASE("no message contains any part of a key") {
  for (const auto& ring : {ring_of(key_state::revoked), key_ring{}}) {
    const auto answer = ring.authenticate(text);
    CHECK(answer.error().message.find("k1") == std::string::npos);
    CHECK(answer.error().message.find("SSS") == std::string::npos);
  }
}

}  // namespace
}  // namespace bulrushlift
