#include "cli/request_timeline.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace bulrushlift {
namespace {

std::string line(const std::string& time, const std::string& vm, const std::string& event,
                 const std::string& fields) {
  return R"({"time":"2026-12-04T10:21:)" + time + R"(Z","level":"info","vm":")" + vm + R"(","event":")" +
         event + '"' + (fields.empty() ? "" : "," + fields) + "}";
}

std::vector<std::string> events(const std::vector<timeline_entry>& timeline) {
  std::vector<std::string> names;
  for (const auto& each : timeline) names.push_back(each.event);
  return names;
}

// The logs of three VMs about a statement that was refused during a failover.
std::vector<std::string> failover_log() {
  return {
      line("17.900", "entry-2", "statement_failed",
           R"("request_id":"q7","service":"ledger","error":"busy","reason":"no free slot in time")"),
      line("16.100", "entry-2", "primary_lost", R"("service":"ledger","reason":"unreachable")"),
      line("16.400", "entry-1", "promotion_claimed", R"("service":"ledger","target":"i-b")"),
      line("16.500", "entry-1", "primary_lost", R"("service":"stock","reason":"leaving")"),
      line("16.600", "entry-0", "store_lost", R"("kind":"config")"),
      line("17.000", "entry-2", "statement_failed", R"("request_id":"q8","service":"ledger","error":"busy")"),
      line("02.000", "entry-2", "primary_changed", R"("service":"ledger","to":"i-a")"),
      "  16.6 entry-2 not a log line",
  };
}

// Guards against a timeline that shows a refusal without its cause, which other VMs logged.
TEST_CASE("The timeline of a refused request includes the failover of its service on other VMs") {
  const auto timeline = build_request_timeline("q7", failover_log());
  REQUIRE(timeline);
  CHECK(events(*timeline) ==
        std::vector<std::string>{"primary_lost", "promotion_claimed", "store_lost", "statement_failed"});
  CHECK(timeline->front().details == "reason=unreachable service=ledger");
  CHECK(timeline->back().names_request);
  CHECK_FALSE(timeline->front().names_request);
}

TEST_CASE("The timeline of a statement with an unknown outcome includes the VM that it was relayed to") {
  const auto timeline = build_request_timeline(
      "q3", {line("17.150", "entry-0", "relay_failed",
                  R"("request_id":"q3","owner":"entry-1","service":"ledger","outcome":"unknown")"),
             line("16.900", "entry-0", "member_changed", R"("member":"entry-1","state":"suspect")"),
             line("17.300", "entry-2", "primary_changed", R"("service":"ledger","to":"i-b")")});
  REQUIRE(timeline);
  CHECK(events(*timeline) == std::vector<std::string>{"member_changed", "relay_failed", "primary_changed"});
}

TEST_CASE(
    "The timeline of a read on a promoted target includes the promotion, whatever prefix a collector adds") {
  auto lines = failover_log();
  for (auto& each : lines) each = "  17.3 entry-2 " + each;
  lines.push_back(line("17.950", "entry-1", "statement_failed",
                       R"("request_id":"q9","service":"ledger","target":"i-b","error":"aborted")"));
  const auto timeline = build_request_timeline("q9", lines);
  REQUIRE(timeline);
  CHECK(events(*timeline).back() == "statement_failed");
  CHECK(events(*timeline)[1] == "promotion_claimed");
}

TEST_CASE("A request whose id is in no log line is not found") {
  const auto timeline = build_request_timeline("q0", failover_log());
  REQUIRE_FALSE(timeline);
  CHECK(timeline.error().kind == error_kind::not_found);
}

}  // namespace
}  // namespace bulrushlift
