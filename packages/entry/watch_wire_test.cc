#include "entry/watch_wire.h"

#include <catch2/catch.hpp>

#include "peer_protocol/frame.h"

namespace bulrushlift::entry {
namespace {

using namespace std::chrono_literals;

peer::envelope_t transfer(const peer::envelope_t& message) {
  return decode_envelope(encode_envelope(message)).value();
}

store_version at(std::uint64_t epoch, std::uint64_t version) {
  return {store_epoch{epoch}, object_version{version}};
}

TEST_CASE("A question of a follower keeps its place and its position") {
  const watch_question question{"kind", at(2, 30), publish_cursor{1'796'526'041'234, 7}, "", 4s, false};
  const auto decoded = decode(transfer(encode(question)).watch_request);
  CHECK(decoded.kind == "kind");
  CHECK(decoded.position == at(2, 30));
  CHECK(decoded.cursor == question.cursor);
  CHECK(decoded.wait == 4s);
  CHECK_FALSE(decoded.is_probe);
}

// Guards against questions that a faulty peer has held for ever.
TEST_CASE("The wait of a question is bounded") {
  peer::watch_request_t wire;
  wire.__set_wait_ms(std::int64_t{1} << 60U);
  CHECK(decode(wire).wait == 30s);
  wire.__set_wait_ms(-5);
  CHECK(decode(wire).wait == 0s);
}

TEST_CASE("An answer keeps its objects and its age") {
  watch_answer answer;
  answer.batch.objects = {{"a", at(1, 5), "{}", false}, {"b", at(1, 6), std::nullopt, true}};
  answer.batch.cursor = {9, 12};
  answer.batch.has_more = true;
  answer.position = at(1, 6);
  answer.age = -700ms;  // The confirmation came while the question was held.
  const auto decoded = decode_answer(transfer(encode(answer)));
  REQUIRE(decoded);
  CHECK(decoded->position == answer.position);
  CHECK(decoded->age == answer.age);
  CHECK(decoded->batch.cursor == answer.batch.cursor);
  CHECK(decoded->batch.has_more);
  REQUIRE(decoded->batch.objects.size() == 2);
  CHECK(decoded->batch.objects[0].content == "{}");
  CHECK(decoded->batch.objects[1].is_removed);
  CHECK_FALSE(decoded->batch.objects[1].content);
}

// Guards against trust in a VM that says nothing about the store. An older build answers without content.
TEST_CASE("Answers without a position or an age are none") {
  CHECK_FALSE(decode_answer(peer::envelope_t{}));
  CHECK_FALSE(decode_answer(transfer(encode_not_watching())));
  auto message = encode(watch_answer{});
  REQUIRE(decode_answer(message));
  message.watch_reply.__isset.confirmed_age_ms = false;
  CHECK_FALSE(decode_answer(message));
  message = encode(watch_answer{});
  message.watch_reply.__set_confirmed_age_ms(-40'000);
  CHECK_FALSE(decode_answer(message));
  message = encode(watch_answer{});
  message.watch_reply.__set_objects({peer::watched_object_t{}});
  CHECK_FALSE(decode_answer(message));
}

}  // namespace
}  // namespace bulrushlift::entry
