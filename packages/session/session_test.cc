#include <catch2/catch.hpp>
#include <string>

#include "session/session_token.h"
#include "session/transaction_id.h"

namespace bulrushlift {
namespace {

token_signer make_signer(std::vector<std::string> secrets) {
  return token_signer::create(std::move(secrets)).value();
}

const std::string old_secret(32, 'o');
const std::string new_secret(32, 'n');

session_token sample_token() {
  session_token token{customer_id{"acme"}};
  REQUIRE(token.merge(service_id{"orders"}, {term_id{3}, log_position{17}}));
  REQUIRE(token.merge(service_id{"stock"}, {term_id{1}, log_position{1'000'000}}));
  return token;
}

transaction_id sample_transaction() {
  return {vm_id{"entry-1.0"},   incarnation_id{1'700'000'000'000},
          service_id{"orders"}, term_id{4},
          customer_id{"acme"},  9};
}

// Guards against a session that loses a required log point between two requests.
TEST_CASE("a token keeps its requirements") {
  const auto signer = make_signer({old_secret});
  const auto token = sample_token();
  const auto decoded = decode_session_token(encode_session_token(token, signer), customer_id{"acme"}, signer);
  REQUIRE(decoded);
  CHECK(*decoded == token);
  CHECK(decoded->required_point(service_id{"orders"}) == log_point{term_id{3}, log_position{17}});
  CHECK_FALSE(decoded->required_point(service_id{"other"}));
}

// Guards against an older answer that lowers the log point that the session requires.
TEST_CASE("merging only raises a requirement, by term first") {
  auto token = sample_token();
  const service_id orders{"orders"};
  REQUIRE(token.merge(orders, {term_id{2}, log_position{99}}));
  CHECK(token.required_point(orders) == log_point{term_id{3}, log_position{17}});
  REQUIRE(token.merge(orders, {term_id{4}, log_position{5}}));
  CHECK(token.required_point(orders) == log_point{term_id{4}, log_position{5}});
}

// Guards against a customer that runs requests with another customer's session.
TEST_CASE("a token of another customer or without authenticity is refused as not run") {
  const auto signer = make_signer({old_secret});
  const auto text = encode_session_token(sample_token(), signer);
  for (const auto& decoded : {decode_session_token(text, customer_id{"other"}, signer),
                              decode_session_token(text, customer_id{"acme"}, make_signer({new_secret})),
                              decode_session_token(text + "A", customer_id{"acme"}, signer),
                              decode_session_token("not/base64", customer_id{"acme"}, signer),
                              decode_session_token(std::string(5'000, 'A'), customer_id{"acme"}, signer)}) {
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().kind == error_kind::token_invalid);
    CHECK(decoded.error().request_outcome() == outcome::not_run);
  }
}

// Guards against sessions that end when the secrets are rotated.
TEST_CASE("tokens of the old secret are valid until it is removed") {
  const auto before = make_signer({old_secret});
  const auto during = make_signer({new_secret, old_secret});
  const auto after = make_signer({new_secret});
  const customer_id acme{"acme"};
  const auto text = encode_session_token(sample_token(), before);
  CHECK(decode_session_token(text, acme, during));
  CHECK_FALSE(decode_session_token(text, acme, after));
  CHECK(decode_session_token(encode_session_token(sample_token(), during), acme, after));
}

// Guards against headers of unlimited size, and against a refusal after the request has run.
TEST_CASE("a 33rd service is refused and known services still merge") {
  session_token token{customer_id{std::string(64, 'c')}};
  for (int i = 0; i < 32; ++i) {
    auto name = std::to_string(i);
    name.resize(64, 's');
    REQUIRE(token.merge(service_id{name}, {term_id{~0ULL}, log_position{~0ULL}}));
  }
  const auto room = token.check_room(service_id{"one more"});
  REQUIRE_FALSE(room);
  CHECK(room.error().kind == error_kind::token_full);
  CHECK_FALSE(token.merge(service_id{"one more"}, {}));
  CHECK(token.merge(token.entries().front().service, {}));
  const auto signer = make_signer({old_secret});
  const auto text = encode_session_token(token, signer);
  CHECK(text.size() <= session_token::max_text_size);
  CHECK(decode_session_token(text, token.customer(), signer) == token);
}

// Guards against secrets that can be guessed.
TEST_CASE("missing and short secrets are refused") {
  CHECK_FALSE(token_signer::create({}));
  CHECK_FALSE(token_signer::create({old_secret, "short"}));
}

// Guards against a transaction that is continued on the wrong VM, in the wrong term or by another customer.
TEST_CASE("a transaction id keeps its fields and its customer") {
  const auto signer = make_signer({old_secret});
  const auto id = sample_transaction();
  const auto text = encode_transaction_id(id, signer);
  CHECK(decode_transaction_id(text, id.customer, signer) == id);
  CHECK(decode_transaction_id(text, customer_id{"other"}, signer).error().kind ==
        error_kind::transaction_unknown);
  CHECK_FALSE(decode_transaction_id(text.substr(1), id.customer, signer));
}

// Guards against a session token that is accepted as a transaction id, or the reverse.
TEST_CASE("texts of one purpose are not authentic for the other") {
  const auto signer = make_signer({old_secret});
  const customer_id acme{"acme"};
  CHECK_FALSE(decode_transaction_id(encode_session_token(sample_token(), signer), acme, signer));
  CHECK_FALSE(decode_session_token(encode_transaction_id(sample_transaction(), signer), acme, signer));
}

}  // namespace
}  // namespace bulrushlift
