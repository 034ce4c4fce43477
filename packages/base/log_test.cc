#include "base/log.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

// Guards against text from callers that breaks out of its JSON string.
TEST_CASE("a log line stays one JSON object whatever its values hold") {
  const auto line = internal::format_line(log_level::info, "t", "entry-1", "route",
                                          {{"target", "a\"b\\c\nd"}, {"term", 3}, {"fresh", true}});
  CHECK(
      line ==
      R"({"time":"t","level":"info","vm":"entry-1","event":"route","target":"a\"b\\c\u000ad","term":3,"fresh":true})");
}

TEST_CASE("durations are written in milliseconds") {
  const auto line = internal::format_line(log_level::warning, "t", "", "slow",
                                          {{"took_ms", std::chrono::nanoseconds{1'500'000}}});
  CHECK(line == R"({"time":"t","level":"warning","event":"slow","took_ms":1.500})");
}

TEST_CASE("log levels are parsed by name") {
  auto level = log_level::info;
  CHECK(parse_log_level("error", level));
  CHECK(level == log_level::error);
  CHECK_FALSE(parse_log_level("loud", level));
}

}  // namespace
}  // namespace bulrushlift
