#include "base/digest.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

// Vectors from FIPS 180-4 and RFC 4231 (test case 2).
TEST_CASE("digests match the published vectors") {
  CHECK(to_hex(as_bytes(sha256("abc"))) ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(to_hex(as_bytes(hmac_sha256("Jefe", "what do ya want for nothing?"))) ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("text encodings return what they were given") {
  for (std::size_t size = 0; size < 70; ++size) {
    const auto bytes = random_bytes(size);
    CHECK(from_hex(to_hex(bytes)) == bytes);
    CHECK(from_base64url(to_base64url(bytes)) == bytes);
  }
}

// Guards against two texts for one token, which would defeat comparison by text.
TEST_CASE("encodings that are not canonical are refused") {
  CHECK_FALSE(from_hex("abc").has_value());
  CHECK_FALSE(from_hex("zz").has_value());
  CHECK_FALSE(from_base64url("AA=").has_value());
  CHECK_FALSE(from_base64url("A").has_value());
  CHECK_FALSE(from_base64url("AB").has_value());
}

TEST_CASE("constant-time comparison agrees with equality") {
  CHECK(is_equal_constant_time("abc", "abc"));
  CHECK_FALSE(is_equal_constant_time("abc", "abd"));
  CHECK_FALSE(is_equal_constant_time("abc", "ab"));
}

}  // namespace
}  // namespace bulrushlift
