#include "platform/documents.h"

#include <catch2/catch.hpp>

namespace bulrushlift::platform {
namespace {

using nlohmann::json;

json environment() {
  return json::parse(R"({"version":7,"routes":[
      {"name":"r-1","host":"orders","kind":"bounded","timeoutMs":1500,"targetLatencyMs":400,"priority":2,
       "service":"s1","attempts":2,"maxStalenessMs":1500,"public":false}],
    "services":[{"name":"s1","connectionLimit":16,"syncReplicas":0}],
    "limits":{"headerBytes":16384,"transactionIdleMs":2500},
    "tenants":[{"name":"c1","accessKeys":["k1","k2"],"priority":1,"ratePerS":121,"burst":60.5}]})");
}

stored_object target(const char* text) {
  return {"i-1", store_version{{}, object_version{3}}, json::parse(text)};
}

TEST_CASE("A configuration becomes an environment") {
  const auto decoded = decode_environment(environment());
  REQUIRE(decoded);
  CHECK(decoded->generation == generation_id{7});
  const auto* route = decoded->find_database("orders");
  REQUIRE(route != nullptr);
  CHECK(route->service == service_id{"s1"});
  CHECK(route->level == sql::consistency::bounded_staleness);
  CHECK(route->max_staleness == std::chrono::milliseconds{1'500});
  CHECK(decoded->customer_of_key("k2") == customer_id{"c1"});
  CHECK_FALSE(decoded->customer_of_key("k3"));
  CHECK(decoded->services.at(service_id{"s1"}).connection_limit == 16);
  CHECK(decoded->transaction_idle_limit == std::chrono::milliseconds{2'500});
}

TEST_CASE("The error for a missing field of a configuration names the field") {
  auto content = environment();
  content["routes"][0].erase("timeoutMs");
  const auto decoded = decode_environment(content);
  REQUIRE_FALSE(decoded);
  CHECK(decoded.error().message == "routes[].timeoutMs is missing or malformed");
}

TEST_CASE("A target's announcement is decoded") {
  const auto decoded = decode_target(target(
      R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1","slots":2,"state":"draining",
          "coldRemainingMs":2500,"databaseRole":"primary","sequence":4,"born":17})"));
  REQUIRE(decoded);
  CHECK(decoded->target == target_id{"i-1"});
  CHECK(decoded->is_leaving);
  CHECK(decoded->is_primary);
  CHECK(decoded->cold_remaining == std::chrono::milliseconds{2'500});
  CHECK(decoded->number == sql::report_number{17, 4});
}

// Other programs may write objects of the same kind. Guards against using them as targets.
TEST_CASE("An invalid announcement of a target is refused") {
  for (const auto* text :
       {"null", "[]", "{}", R"({"service":1,"address":"a","zone":"z","state":"ready"})",
        R"({"service":"s","address":"a","zone":"z","state":"resting"})",
        R"({"service":"s","address":"a","zone":"z","state":"ready","databaseRole":"judge"})",
        R"({"service":"s","address":"a","zone":"z","state":"ready","slots":-1})"}) {
    CAPTURE(text);
    CHECK_FALSE(decode_target(target(text)));
  }
}

// Guards against a target that takes statements although no connection to it can be opened, and against a
// number of slots that is cut to its lower bits.
TEST_CASE("An announcement with a number out of range is refused") {
  auto content =
      json::parse(R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","slots":2})");
  REQUIRE(decode_target({"i-1", {}, content}));
  for (const auto* address :
       {"10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9", "10.0.0.999:80", ""}) {
    CAPTURE(address);
    auto odd = content;
    odd["address"] = address;
    CHECK_FALSE(decode_target({"i-1", {}, odd}));
  }
  for (const auto slots : {std::uint64_t{0}, std::uint64_t{1} << 32U, ~std::uint64_t{0}}) {
    CAPTURE(slots);
    auto odd = content;
    odd["slots"] = slots;
    CHECK_FALSE(decode_target({"i-1", {}, odd}));
  }
  for (const auto* cold : {"-1", "1e300", "\"soon\"", "[]"}) {
    CAPTURE(cold);
    auto odd = content;
    odd["coldRemainingMs"] = json::parse(cold);
    CHECK_FALSE(decode_target({"i-1", {}, odd}));
  }
}

// Guards against a name that ends the first line on a connection to a target and begins another one.
TEST_CASE("An announcement whose names can't be fields of a line is refused") {
  auto content =
      json::parse(R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","slots":2})");
  for (const auto* name : {"", "i 1", "i-1\r\nQUERY - RESET", "i-1\n", "i-\xff"}) {
    CAPTURE(name);
    CHECK_FALSE(decode_target({name, {}, content}));
    auto odd = content;
    odd["service"] = name;
    CHECK_FALSE(decode_target({"i-1", {}, odd}));
  }
}

TEST_CASE("A record of a VM with a number out of range is refused") {
  const vm_record valid{vm_id{"entry-1"}, "10.0.0.1:7", data_centre_id{"north"}, incarnation_id{5}};
  auto far_future = valid;
  far_future.incarnation = incarnation_id{~std::uint64_t{0}};
  CHECK_FALSE(decode_vm({"entry-1", {}, encode_vm(far_future)}));
  auto unreachable = valid;
  unreachable.peer_address = "10.0.0.1:70000";
  CHECK_FALSE(decode_vm({"entry-1", {}, encode_vm(unreachable)}));
}

TEST_CASE("A claim of an older version is one to order its target") {
  const auto content = json::parse(R"({"target":"i-1","claimedBy":"entry-1"})");
  const auto record = decode_promotion({"s1", {}, content});
  REQUIRE(record);
  CHECK(record->claim == sql::promotion_claim{target_id{"i-1"}, sql::promotion_phase::ordering, 0, {}});
}

// Guards against a damaged claim that is taken for one with nothing under way.
TEST_CASE("A malformed claim is refused") {
  const promotion_record valid{service_id{"s1"}, vm_id{"entry-1"}, {target_id{"i-1"}}};
  const std::vector<std::pair<const char*, const char*>> odd{
      {"phase", "\"sleeping\""},
      {"phase", "7"},
      {"attempt", "18446744073709551615"},
      {"attempt", "-1"},
      {"attempt", "\"many\""},
      {"unresolved", "[1]"},
      {"unresolved", "\"i-1\""},
      {"resumed", "[{}]"},
      {"resumed", "7"},
      {"resumed", R"([{"target":"i-1","remainingMs":-1}])"},
      {"resumed", R"([{"target":"i-1","remainingMs":18446744073709551615}])"},
      {"lostHistoryMs", "-1"},
      {"lostHistoryMs", "18446744073709551615"},
      {"storeEpoch", "\"2\""},
      {"claimedBy", "null"},
      {"target", "{}"}};
  for (const auto& [field, text] : odd) {
    CAPTURE(field, text);
    auto content = encode_promotion(valid);
    content[field] = json::parse(text);
    CHECK_FALSE(decode_promotion({"s1", {}, content}));
  }
}

TEST_CASE("Records of the proxy are decoded as they were encoded") {
  const vm_record vm{vm_id{"entry-1"}, "10.0.0.1:7", data_centre_id{"north"}, incarnation_id{5}};
  CHECK(*decode_vm({"entry-1", store_version{{}, object_version{1}}, encode_vm(vm)}) == vm);
  sql::promotion_claim claim{target_id{"i-1"}, sql::promotion_phase::fencing, 3};
  claim.unresolved = {{target_id{"i-2"}, std::chrono::milliseconds{900}}};
  claim.resumed = {{target_id{"i-3"}, std::chrono::seconds{15}}, {target_id{"i-4"}, duration{}}};
  claim.epoch = 2;
  claim.lost_history = std::chrono::seconds{4};
  const promotion_record promotion{service_id{"s1"}, vm_id{"entry-1"}, claim};
  CHECK(*decode_promotion({"s1", store_version{{}, object_version{1}}, encode_promotion(promotion)}) ==
        promotion);
}

}  // namespace
}  // namespace bulrushlift::platform
