#include "peer_protocol/frame.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

peer::envelope_t sample_message(std::int64_t id) {
  peer::document_request_t request;
  request.generation = 7;
  peer::envelope_t message;
  message.id = id;
  message.__set_document_request(request);
  return message;
}

// Guards against messages that are lost or merged when TCP delivers them in pieces.
TEST_CASE("frames are found whatever the size of the reads") {
  const auto stream = encode_frame(sample_message(1)) + encode_frame(sample_message(2));
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    frame_reader reader;
    std::vector<std::int64_t> ids;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      const auto messages = reader.feed(std::string_view{stream}.substr(at, step));
      REQUIRE(messages.has_value());
      for (const auto& message : *messages) ids.push_back(message.id);
    }
    CHECK(ids == std::vector<std::int64_t>{1, 2});
  }
}

// Guards against a proxy that buffers without limit because of a large length.
TEST_CASE("an oversize frame is refused by its length alone") {
  frame_reader reader{16};
  const auto messages = reader.feed(std::string_view{"\x00\x00\x00\x11", 4});
  REQUIRE_FALSE(messages.has_value());
  CHECK(messages.error().kind == error_kind::protocol_error);
}

// Guards against a truncated, empty or extended message that is accepted.
TEST_CASE("bytes that are no message are refused") {
  CHECK_FALSE(decode_envelope("\xff\xff\xff").has_value());
  CHECK_FALSE(decode_envelope("").has_value());
  CHECK_FALSE(decode_envelope(encode_envelope(sample_message(1)) + "x").has_value());
}

}  // namespace
}  // namespace bulrushlift
