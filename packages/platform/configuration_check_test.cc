#include "platform/configuration_check.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace bulrushlift::platform {
namespace {

using nlohmann::json;

json valid_document() {
  return json::parse(R"({"version": 7,
    "routes": [{"name": "orders", "host": "orders", "service": "ledger", "kind": "bounded",
                "maxStalenessMs": 500, "timeoutMs": 1000, "targetLatencyMs": 300, "priority": 1},
               {"name": "stock", "host": "stock", "service": "ledger", "kind": "primary",
                "timeoutMs": 1000, "targetLatencyMs": 300, "public": true}],
    "services": [{"name": "ledger", "connectionLimit": 40, "syncReplicas": 1}],
    "tenants": [{"name": "shop", "ratePerS": 10, "burst": 20, "accessKeys": ["secret-1", "secret-2"]},
                {"name": "bank", "ratePerS": 2.5, "burst": 5, "accessKeys": ["secret-3"]}],
    "limits": {"transactionIdleMs": 3000}})");
}

/// @return the findings of a document, each as "severity kind path".
std::vector<std::string> found(const json& content) {
  std::vector<std::string> lines;
  for (const auto& each : check_configuration(content)) {
    lines.push_back(std::string{name_of(each.severity)} + " " + std::string{name_of(each.kind)} + " " +
                    each.path);
  }
  return lines;
}

std::vector<std::string> list(std::initializer_list<std::string> lines) { return lines; }

TEST_CASE("A valid configuration has no finding") { CHECK(found(valid_document()).empty()); }

// Guards against a check that stops at the first error.
TEST_CASE("All errors of fields are found with their paths") {
  auto content = valid_document();
  content.erase("version");
  content["routes"][0]["timeoutMs"] = "soon";
  content["routes"][0]["kind"] = "fast";
  content["routes"][1].erase("service");
  content["routes"].push_back(3);
  content["services"][0]["connectionLimit"] = -1;
  content["tenants"][1]["accessKeys"] = {1};
  content["limits"]["transactionIdleMs"] = 1.5;
  const auto lines = found(content);
  for (const auto* path :
       {"version", "routes[0].timeoutMs", "routes[0].kind", "routes[1].service", "routes[2]",
        "services[0].connectionLimit", "tenants[1].accessKeys", "limits.transactionIdleMs"}) {
    INFO(path);
    CHECK(std::count(lines.begin(), lines.end(), std::string{"error field "} + path) == 1);
  }
}

// Guards against numbers that a daemon would cut off.
TEST_CASE("Numbers that are too large are errors") {
  auto content = valid_document();
  content["services"][0]["connectionLimit"] = 5'000'000'000U;
  CHECK(found(content) == list({"error field services[0].connectionLimit"}));
}

TEST_CASE("Lists that are missing are errors") {
  CHECK(found(json{{"version", 1U}}) ==
        list({"error field routes", "error field services", "error field tenants"}));
  CHECK(found(json::array()) == list({"error field "}));
}

// Guards against entries that seem to be in effect and are not.
TEST_CASE("Entries that can never match are found") {
  auto content = valid_document();
  SECTION("a route to a service that is not there") {
    content["routes"][0]["service"] = "ledgr";
    CHECK(found(content) == list({"error never_matches routes[0].service"}));
  }
  SECTION("a route that is hidden by another") {
    content["routes"][1]["host"] = "orders";
    CHECK(found(content) == list({"warning never_matches routes[0].host"}));
  }
  SECTION("a host that no line can name") {
    content["routes"][1]["host"] = "or ders";
    CHECK(found(content) == list({"warning never_matches routes[1].host"}));
  }
  SECTION("a service without a route") {
    content["services"].push_back({{"name", "idle"}, {"connectionLimit", 10U}});
    CHECK(found(content) == list({"warning never_matches services[1].name"}));
  }
  SECTION("a customer without keys") {
    content["tenants"][1]["accessKeys"] = json::array();
    CHECK(found(content) == list({"warning never_matches tenants[1].accessKeys"}));
  }
  SECTION("a customer with rate 0") {
    content["tenants"][1]["ratePerS"] = 0;
    CHECK(found(content) == list({"warning never_matches tenants[1].ratePerS"}));
  }
}

// Guards against a customer whose operations are counted as another's.
TEST_CASE("Keys and names that occur twice are found") {
  auto content = valid_document();
  SECTION("a key of two customers") {
    content["tenants"][1]["accessKeys"].push_back("secret-1");
    CHECK(found(content) == list({"error duplicate tenants[1].accessKeys[1]"}));
  }
  SECTION("a key twice at one customer") {
    content["tenants"][0]["accessKeys"].push_back("secret-1");
    CHECK(found(content) == list({"warning duplicate tenants[0].accessKeys[2]"}));
  }
  SECTION("a name of two services") {
    content["services"].push_back({{"name", "ledger"}, {"connectionLimit", 10U}});
    CHECK(found(content) == list({"error duplicate services[1].name"}));
  }
}

TEST_CASE("Limits that contradict each other are found") {
  auto content = valid_document();
  SECTION("an objective above the time-out") {
    content["routes"][0]["targetLatencyMs"] = 1001U;
    CHECK(found(content) == list({"warning contradiction routes[0].targetLatencyMs"}));
  }
  SECTION("no time for a statement") {
    content["routes"][1]["timeoutMs"] = 0U;
    const auto lines = found(content);
    CHECK(lines.front() == "error contradiction routes[1].timeoutMs");
  }
  SECTION("a bounded route without staleness") {
    content["routes"][0].erase("maxStalenessMs");
    CHECK(found(content) == list({"warning contradiction routes[0].maxStalenessMs"}));
  }
  SECTION("fewer connections than customers") {
    content["services"][0]["connectionLimit"] = 1U;
    CHECK(found(content) == list({"warning contradiction services[0].connectionLimit"}));
  }
  SECTION("no connections") {
    content["services"][0]["connectionLimit"] = 0U;
    CHECK(found(content) == list({"error contradiction services[0].connectionLimit"}));
  }
  SECTION("a rate without burst") {
    content["tenants"][0]["burst"] = 0;
    CHECK(found(content) == list({"warning contradiction tenants[0].burst"}));
  }
  SECTION("an idle limit without effect") {
    content["limits"]["transactionIdleMs"] = 0U;
    CHECK(found(content) == list({"warning contradiction limits.transactionIdleMs"}));
  }
}

TEST_CASE("A version that is not above the one in force is an error") {
  auto next = valid_document();
  CHECK(check_version(next, valid_document()).size() == 1);
  next["version"] = 6U;
  CHECK(check_version(next, valid_document()).size() == 1);
  next["version"] = 8U;
  CHECK(check_version(next, valid_document()).empty());
}

// Guards against changes that were not meant, and against keys in the output of a tool.
TEST_CASE("Differences name the entries and fields, and no keys") {
  auto next = valid_document();
  next["version"] = 9U;
  next["routes"][0]["timeoutMs"] = 900U;
  next["routes"].erase(1);
  next["services"].push_back({{"name", "new"}, {"connectionLimit", 10U}});
  next["tenants"][0]["accessKeys"] = {"secret-2", "secret-9"};
  next["limits"]["transactionIdleMs"] = 2000U;
  const auto changes = compare_configurations(next, valid_document());
  const std::vector<configuration_difference> expected{
      {difference_kind::changed, "routes/orders", {{"timeoutMs", "1000", "900"}}},
      {difference_kind::removed, "routes/stock", {}},
      {difference_kind::added, "services/new", {}},
      {difference_kind::changed, "tenants/shop", {{"accessKeys", "2 keys", "2 keys, 1 of them new"}}},
      {difference_kind::changed,
       "limits",
       {{"limits", R"({"transactionIdleMs":3000})", R"({"transactionIdleMs":2000})"}}},
      {difference_kind::changed, "version", {{"version", "7", "9"}}}};
  CHECK(changes == expected);
  CHECK(compare_configurations(next, next).empty());
}

// Guards against a half check of a file that was cut off, whatever the place.
TEST_CASE("A text that is cut off has its end as the place") {
  const auto text = valid_document().dump(1);
  CHECK(read_configuration(text));
  for (std::size_t size = 0; size < text.size(); ++size) {
    const auto content = read_configuration(std::string_view{text}.substr(0, size));
    REQUIRE_FALSE(content);
    INFO(size);
    CHECK(content.error().byte <= size);
    CHECK(content.error().line >= 1);
  }
  CHECK(read_configuration(std::string_view{text}.substr(0, 40)).error().byte == 40);
}

TEST_CASE("A fault in a text has its line and byte") {
  const auto content = read_configuration("{\n \"version\": 1,\n \"routes\": oops\n}");
  REQUIRE_FALSE(content);
  CHECK(content.error().line == 3);
  CHECK(content.error().byte == 28);
}

TEST_CASE("The content of an object of the store is taken") {
  const json object{{"meta", {{"name", "main"}}}, {"spec", valid_document()}};
  CHECK(read_configuration(object.dump()).value() == valid_document());
}

}  // namespace
}  // namespace bulrushlift::platform
