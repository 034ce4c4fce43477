#include "entry/entry_settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace bulrushlift::entry {
namespace {

std::string settings_text(const std::string& vm = R"("vm": "entry-1")") {
  return "{\n  // one proxy\n  " + vm + R"(, "data_centre": "thies", "caller_listen": "10.0.0.1:1",
    "readiness_listen": "10.0.0.1:2", "peer_listen": "10.0.0.1:3", "metrics_listen": "10.0.0.1:4",
    "store": "10.0.0.9:5", "promotions": "10.0.0.9:6", "drain_seconds": 6, "log_level": "warning",
    "rate_window_seconds": 5, "rate_overage": 0.1, "rate_slack": 20,
    "configuration_bound_ms": 6000, "evacuation_bound_ms": 4000, "target_drain_ms": 7000,
    "cold_statements_per_second": 30, "cold_overage": 1.5, "cold_slack": 5, "target_report_interval_ms": 800,
    "log_lines_per_second": 20})";
}

TEST_CASE("Settings with comments are read") {
  const auto parsed = parse_entry_settings(settings_text());
  REQUIRE(parsed);
  CHECK(parsed->vm == vm_id{"entry-1"});
  CHECK(parsed->store == net_address{"10.0.0.9", 5});
  CHECK(parsed->drain_time == std::chrono::seconds{6});
  CHECK(parsed->level == log_level::warning);
  CHECK(parsed->log_lines_per_second == 20);
  CHECK(parsed->rate_window == std::chrono::seconds{5});
  CHECK(parsed->rate_overage == 0.1);
  CHECK(parsed->rate_slack == 20);
  CHECK(parsed->configuration_bound == std::chrono::seconds{6});
  CHECK(parsed->cold == sql::cold_allowance{30, 1.5, 5});
  CHECK(parsed->evacuation_bound == std::chrono::seconds{4});
  CHECK(parsed->target_drain_time() == std::chrono::milliseconds{5'500});
  CHECK(parsed->target_report_interval == std::chrono::milliseconds{800});
}

// Guards against a VM whose limits are taken for those of another: the units differ by field.
TEST_CASE("The capacity of the VM is read in cores, bytes and Mbit/s") {
  CHECK(parse_entry_settings(settings_text())->capacity == vm_capacity{});
  const auto parsed = parse_entry_settings(settings_text(
      R"("capacity": {"core_share": 0.25, "cores": 2, "memory_mb": 112, "descriptors": 3080, "link_mbps": 10},
         "vm": "entry-1")"));
  REQUIRE(parsed);
  CHECK(parsed->capacity.cores == 0.5);
  CHECK(parsed->capacity.memory_bytes == std::uint64_t{112} * 1024 * 1024);
  CHECK(parsed->capacity.descriptors == 3080);
  CHECK(parsed->capacity.link_mbps == 10);
  const auto negative =
      parse_entry_settings(settings_text(R"("capacity": {"link_mbps": -1}, "vm": "entry-1")"));
  REQUIRE_FALSE(negative);
  CHECK(negative.error().message == "link_mbps: is not a number of at least 0");
}

// Guards against reads that leave their data centre without settings that say what this costs.
TEST_CASE("The cost of a crossing is optional and checked") {
  CHECK_FALSE(parse_entry_settings(settings_text())->crossing);
  const auto parsed =
      parse_entry_settings(settings_text(R"("crossing": {"cost_ms": 12, "delay_ms": 2}, "vm": "entry-1")"));
  REQUIRE(parsed);
  REQUIRE(parsed->crossing);
  CHECK(parsed->crossing->crossing_cost == std::chrono::milliseconds{12});
  CHECK(parsed->crossing->crossing_delay == std::chrono::milliseconds{2});
  CHECK_FALSE(parse_entry_settings(settings_text(R"("crossing": {"cost_ms": -1}, "vm": "entry-1")")));
  CHECK_FALSE(parse_entry_settings(settings_text(R"("crossing": 5, "vm": "entry-1")")));
}

// Guards against time limits that close a caller at once.
TEST_CASE("Time limits of callers are positive and have defaults") {
  CHECK(parse_entry_settings(settings_text())->caller_times == caller_time_limits{});
  const auto parsed = parse_entry_settings(
      settings_text(R"("caller_limits": {"message_pause_seconds": 5}, "vm": "entry-1")"));
  REQUIRE(parsed);
  CHECK(parsed->caller_times.message_pause == std::chrono::seconds{5});
  CHECK(parsed->caller_times.answer_pause == caller_time_limits{}.answer_pause);
  const auto zero = parse_entry_settings(
      settings_text(R"("caller_limits": {"first_message_seconds": 0}, "vm": "entry-1")"));
  REQUIRE_FALSE(zero);
  CHECK(zero.error().message == "first_message_seconds: is not a positive number");
}

TEST_CASE("Wrong settings name the field") {
  const auto missing = parse_entry_settings(settings_text(R"("other": 1)"));
  REQUIRE_FALSE(missing);
  CHECK(missing.error().message == "vm: is missing");
  const auto empty = parse_entry_settings(settings_text(R"("vm": "")"));
  REQUIRE_FALSE(empty);
  CHECK(empty.error().message == "vm: is not a non-empty string");
  CHECK_FALSE(parse_entry_settings("{"));
  auto text = settings_text();
  text.replace(text.find(": 6"), 3, ": -6");
  const auto negative = parse_entry_settings(text);
  REQUIRE_FALSE(negative);
  CHECK(negative.error().message == "drain_seconds: is not a positive number");
  text = settings_text();
  text.replace(text.find(": 0.1"), 5, ": -1 ");
  const auto overage = parse_entry_settings(text);
  REQUIRE_FALSE(overage);
  CHECK(overage.error().message == "rate_overage: is not a number of at least 0");
}

}  // namespace
}  // namespace bulrushlift::entry
