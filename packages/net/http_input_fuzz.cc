#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "net/http_codec.h"

using namespace bulrushlift;

namespace {

constexpr std::uint32_t head_bytes = 512;
constexpr std::uint64_t body_bytes = 256;

/// Feeds `input` in pieces and returns all whole requests before the first error.
std::vector<http_request> parse_all(const std::string& input, const std::vector<std::size_t>& cuts) {
  http_request_parser parser{head_bytes, body_bytes};
  std::vector<http_request> requests;
  std::string pending;
  std::size_t start = 0;
  for (std::size_t i = 0; i <= cuts.size(); ++i) {
    const auto end = i < cuts.size() ? std::max(start, cuts[i] % (input.size() + 1)) : input.size();
    pending += input.substr(start, end - start);
    start = end;
    while (!pending.empty()) {
      const auto used = parser.feed(pending);
      if (!used) return requests;
      RC_ASSERT(*used <= pending.size());
      pending.erase(0, *used);
      // Bytes that are neither used nor refused are at most one head.
      if (!parser.is_done()) {
        RC_ASSERT(pending.size() <= head_bytes);
        break;
      }
      requests.push_back(parser.release());
      RC_ASSERT(requests.back().body.size() <= body_bytes);
    }
  }
  return requests;
}

rc::Gen<std::string> gen_fragment() {
  return rc::gen::element<std::string>(
      "GET / HTTP/1.1\r\n", "POST /v1/execute HTTP/1.1\r\n", "GET / HTTP/1.0\r\n", "\r\n", "\n", "\r",
      "Content-Length: 5\r\n", "Content-Length: 99999999999999999999\r\n", "Content-Length: -1\r\n",
      "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip\r\n", "5\r\nhello\r\n", "0\r\n\r\n",
      "ffffffffffffffffff\r\n", "hello", "Host: a\r\n", "X: \x01\x80\r\n", ": \r\n", " folded\r\n",
      std::string(1, '\0'), std::string(600, 'x'), "Connection: close\r\n", "Authorization: Bearer k\r\n");
}

rc::Gen<std::string> gen_input() {
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(gen_fragment()),
                      [](const auto& fragments) {
                        std::string input;
                        for (const auto& fragment : fragments) input += fragment;
                        return input;
                      });
}

void check_split(const std::string& input) {
  const auto cuts = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 1'000));
  const auto whole = parse_all(input, {});
  const auto split = parse_all(input, cuts);
  RC_ASSERT(whole.size() == split.size());
  for (std::size_t i = 0; i < whole.size(); ++i) {
    RC_ASSERT(whole[i].target == split[i].target);
    RC_ASSERT(whole[i].body == split[i].body);
    RC_ASSERT(whole[i].headers == split[i].headers);
  }
}

}  // namespace

// Guards against requests whose meaning depends on how the network cuts the bytes.
TEST_CASE("the split of the input does not change the requests") {
  CHECK(rc::check("grammar fragments", [] { check_split(*gen_input()); }));
  CHECK(rc::check("any bytes", [] { check_split(*rc::gen::arbitrary<std::string>()); }));
}

// Guards against header values that end the head early when they are serialized.
TEST_CASE("what is serialized is parsed back") {
  CHECK(rc::check("round trip", [] {
    http_request request;
    request.method = "POST";
    request.target = "/v1/execute";
    request.headers.add("X-Field", *rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    request.body = *rc::gen::resize(100, rc::gen::arbitrary<std::string>());
    RC_PRE(request.body.size() <= body_bytes);
    const auto parsed = parse_all(serialize(request, "127.0.0.1:1"), {});
    RC_ASSERT(parsed.size() == 1U);
    RC_ASSERT(parsed[0].body == request.body);
    RC_ASSERT(parsed[0].headers.find("x-field") == request.headers.find("X-Field"));
  }));
}
