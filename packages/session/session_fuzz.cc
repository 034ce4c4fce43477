#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>

#include "base/digest.h"
#include "session/session_token.h"
#include "session/transaction_id.h"

namespace bulrushlift {
namespace {

const token_signer& signer() {
  static const auto value = token_signer::create({std::string(32, 's')}).value();
  return value;
}

session_token arbitrary_token() {
  const auto name = *rc::gen::resize(20, rc::gen::arbitrary<std::string>());
  session_token token{customer_id{name}};
  const auto count = *rc::gen::inRange(0, 33);
  for (int i = 0; i < count; ++i) {
    const service_id service{*rc::gen::resize(20, rc::gen::arbitrary<std::string>())};
    const term_id term{*rc::gen::arbitrary<std::uint64_t>()};
    const log_position position{*rc::gen::arbitrary<std::uint64_t>()};
    RC_ASSERT(token.merge(service, {term, position}));
  }
  return token;
}

/// Checks with random tokens that a token is accepted for its own customer only.
bool is_foreign_token_refused(session_token_test_faults faults) {
  return rc::check("a token serves only its own customer", [faults] {
    const auto token = arbitrary_token();
    const customer_id other{*rc::gen::resize(3, rc::gen::arbitrary<std::string>())};
    const auto decoded = decode_session_token(encode_session_token(token, signer()), other, signer(), faults);
    RC_ASSERT(decoded.has_value() == (other == token.customer()));
  });
}

// Guards against a crash or an accepted token when a caller sends arbitrary bytes.
TEST_CASE("arbitrary bytes are refused") {
  CHECK(rc::check("session token", [] {
    const auto text = *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
    const auto encoded = *rc::gen::arbitrary<bool>() ? to_base64url(text) : text;
    RC_ASSERT_FALSE(decode_session_token(encoded, customer_id{"acme"}, signer()));
    RC_ASSERT_FALSE(decode_transaction_id(encoded, customer_id{"acme"}, signer()));
  }));
}

// Guards against a decoder that reads beyond its input. The content is signed, as that of
// another version of the program may be.
TEST_CASE("arbitrary authentic content is decoded or refused within its bounds") {
  CHECK(rc::check("sealed content", [] {
    const auto content =
        "\x01\x01"
        "a" +
        *rc::gen::arbitrary<std::string>();
    const auto token = decode_session_token(signer().sign("session", content), customer_id{"a"}, signer());
    if (token) RC_ASSERT(token->entries().size() <= session_token::max_entries);
    const auto id = decode_transaction_id(signer().sign("transaction", content), customer_id{"a"}, signer());
    if (id) RC_ASSERT(id->customer == customer_id{"a"});
  }));
}

// Guards against a token that is accepted after its caller changed one bit, for example of the customer.
TEST_CASE("a changed bit is noticed and an unchanged token is equal") {
  CHECK(rc::check("bit flips", [] {
    const auto token = arbitrary_token();
    const auto text = encode_session_token(token, signer());
    RC_ASSERT(decode_session_token(text, token.customer(), signer()) == token);
    auto bytes = *from_base64url(text);
    const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    RC_ASSERT_FALSE(decode_session_token(to_base64url(bytes), token.customer(), signer()));
  }));
}

// Guards against one customer's session used by another customer.
TEST_CASE("tokens serve their own customer only") { CHECK(is_foreign_token_refused({})); }

// Guards against a check of foreign tokens that cannot fail.
TEST_CASE("the check finds a decoder that accepts foreign tokens") {
  CHECK_FALSE(is_foreign_token_refused({.skips_customer_check = true}));
}

}  // namespace
}  // namespace bulrushlift
