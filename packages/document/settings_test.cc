#include "document/settings.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

constexpr const char* valid_text = R"({
  "vm": "entry-1.0", "data_centre": "thies", "environment": "teranga",
  "caller_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:9100",
  "platform": "127.0.0.1:7000",
  "token_secrets": ["000102030405060708090a0b0c0d0e0f"],
  "limits": {"customer_queue": 32},
  "timing": {"drain_time_ms": 1500},
  "log": {"level": "debug", "decision_sampling": 0}
})";

std::string replaced(const std::string& old_part, const std::string& new_part) {
  std::string text = valid_text;
  return text.replace(text.find(old_part), old_part.size(), new_part);
}

// Guards against values that are read into another field, and against defaults that are lost.
TEST_CASE("settings are read, and what is absent keeps its default") {
  const auto parsed = parse_settings(valid_text);
  REQUIRE(parsed);
  settings expected;
  expected.vm = vm_id{"entry-1.0"};
  expected.data_centre = data_centre_id{"thies"};
  expected.environment = "teranga";
  expected.caller_listen = network_address{"127.0.0.1:0"};
  expected.peer_listen = network_address{"127.0.0.1:0"};
  expected.admin_listen = network_address{"127.0.0.1:9100"};
  expected.platform = network_address{"127.0.0.1:7000"};
  expected.token_secrets = {std::string("\0\1\2\3\4\5\6\7\10\11\12\13\14\15\16\17", 16)};
  expected.limits.customer_queue = 32;
  expected.timing.drain_time = std::chrono::milliseconds{1'500};
  expected.log = {log_level::debug, 0};
  CHECK(*parsed == expected);
}

// Guards against settings that start a daemon which cannot work.
TEST_CASE("wrong settings are found") {
  const std::pair<std::string, finding> examples[] = {
      {replaced("\"drain_time_ms\": 1500", "\"drain_time\": \"20s\""),
       {7, "timing.drain_time", "unknown field; the nearest field is drain_time_ms"}},
      {replaced("1500", "\"20s\""),
       {7, "timing.drain_time_ms", "must be a whole number of milliseconds, is a text"}},
      {replaced("1500", "1500, \"watch_timeout_ms\": 5000"),
       {7, "timing.watch_timeout_ms", "must be below freshness_limit_ms (5000), is 5000"}},
      {replaced("127.0.0.1:7000", "127.0.0.1:0"),
       {4, "platform", "must be an IP number and a port from 1 to 65535, is \"127.0.0.1:0\""}},
      {replaced("\"caller_listen\": \"127.0.0.1:0\"", "\"caller_listen\": \"127.0.0.1:9100\""),
       {3, "admin_listen", "the address is also that of caller_listen"}},
      {replaced("0001", "01"), {5, "token_secrets[0]", "must be 32 to 128 hexadecimal digits"}},
      {replaced("\"000102030405060708090a0b0c0d0e0f\"", ""),
       {5, "token_secrets", "has 0 items, needs at least 1"}},
      {replaced("debug", "verbose"),
       {8, "log.level", "must be one of debug, info, warning, error, is \"verbose\""}},
  };
  for (const auto& [text, expected] : examples) {
    const auto found = check_settings(text);
    REQUIRE(found.size() == 1);
    CHECK(format_findings(found) == format_findings({expected}));
  }
  CHECK(parse_settings("{}").error().kind == error_kind::invalid_settings);
}

// Guards against a secret in a message that ends in a log.
TEST_CASE("messages do not repeat a secret") {
  const auto found = check_settings(replaced("000102", "zz0102"));
  CHECK(format_findings(found).find("030405") == std::string::npos);
}

}  // namespace
}  // namespace bulrushlift
