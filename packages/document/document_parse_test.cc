#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "document/document.h"

namespace bulrushlift {
namespace {

constexpr const char* valid_text = R"({
  "environment": "teranga", // comment
  "regions": [{"name": "sn-ouest", "data_centres": ["thies", "mbour"]}],
  "vms": [{"name": "entry-1.0", "data_centre": "thies", "peer_address": "10.0.0.1:7100"}],
  "services": [{"name": "orders", "connect_cost_ms": 12, "targets": [
    {"name": "orders-1", "address": "10.0.1.1:7000", "data_centre": "thies", "slots": 2, "connections": 16},
    {"name": "orders-2", "address": "10.0.1.2:7000", "data_centre": "mbour", "slots": 2, "connections": 16}
  ]}],
  "customers": [{"name": "baobab", "rate_per_second": 2.5, "burst": 1,
    "keys": [{"id": "k1", "digest": "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}]}],
  "routes": [{"name": "orders", "service": "orders", "customers": ["baobab"]}]
})";

std::string replaced(const std::string& old_part, const std::string& new_part) {
  std::string text = valid_text;
  const auto at = text.find(old_part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, old_part.size(), new_part);
}

std::string read_file(const std::string& path) {
  std::ifstream file{path};
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Guards against a field that the table names and the parser does not set.
TEST_CASE("a valid document is read with all its fields") {
  const auto parsed = parse_document(valid_text, generation_id{3});
  REQUIRE(parsed);
  const auto expected = document_builder{"teranga"}
                            .add_region("sn-ouest", {"thies", "mbour"})
                            .add_vm("entry-1.0", "thies", "10.0.0.1:7100")
                            .add_service("orders", std::chrono::milliseconds{12})
                            .add_target("orders-1", "10.0.1.1:7000", "thies", 2, 16)
                            .add_target("orders-2", "10.0.1.2:7000", "mbour", 2, 16)
                            .add_customer("baobab", 2.5, 1)
                            .add_key("k1", sha256("secret"))
                            .add_route("orders", "orders", {"baobab"})
                            .build(generation_id{3});
  CHECK(*parsed == expected);
}

// Guards against documents that are accepted with each kind of error, and against findings without a place.
TEST_CASE("each error is found at its line and path") {
  struct example {
    const char* old_part;
    const char* new_part;
    finding expected;
  };
  const example examples[] = {
      {"\"slots\": 2",
       "\"slots\": 17",
       {6, "services[0].targets[0].slots", "must be at most the 16 connections, is 17"}},
      {"\"slots\": 2", "\"slots\": 0", {6, "services[0].targets[0].slots", "must be 1 to 10000, is 0"}},
      {"\"slots\": 2",
       "\"slots\": 2.5",
       {6, "services[0].targets[0].slots", "must be a whole number, is 2.5"}},
      {"\"slots\": 2",
       "\"slot\": 1, \"slots\": 2",
       {6, "services[0].targets[0].slot", "unknown field; the nearest field is slots"}},
      {"\"slots\": 2, ", "", {6, "services[0].targets[0].slots", "the field is missing"}},
      {"\"burst\": 1", "\"burst\": 0.5", {9, "customers[0].burst", "must be 1 to 1000000000, is 0.5"}},
      {"2.5", "0", {9, "customers[0].rate_per_second", "must be 0.001 to 1000000000, is 0"}},
      {"12,",
       "\"12 s\",",
       {5, "services[0].connect_cost_ms", "must be a whole number of milliseconds, is a text"}},
      {"\"service\": \"orders\"",
       "\"service\": \"order\"",
       {11, "routes[0].service", "there is no service \"order\""}},
      {"\"customers\": [\"baobab\"]",
       "\"customers\": [\"baobab\", \"baobab\"]",
       {11, "routes[0].customers[1]", "customer \"baobab\" is also at routes[0].customers[0]"}},
      {"\"customers\": [\"baobab\"]",
       "\"open\": false",
       {11, "routes[0].customers", "must name a customer unless the route is open"}},
      {"\"customers\": [\"baobab\"]",
       "\"open\": true, \"customers\": [\"baobab\"]",
       {11, "routes[0].customers", "must be empty on an open route"}},
      {"\"orders-2\"",
       "\"orders-1\"",
       {7, "services[0].targets[1].name", "target \"orders-1\" is also at services[0].targets[0].name"}},
      {"10.0.1.2:7000",
       "10.0.1.1:7000",
       {7, "services[0].targets[1].address",
        "address \"10.0.1.1:7000\" is also at services[0].targets[0].address"}},
      {"10.0.1.2:7000",
       "db.example:7000",
       {7, "services[0].targets[1].address",
        "must be an IP number and a port from 1 to 65535, is \"db.example:7000\""}},
      {"\"data_centre\": \"mbour\"",
       "\"data_centre\": \"mbur\"",
       {7, "services[0].targets[1].data_centre", "there is no data centre \"mbur\""}},
      {"a25b\"",
       "a2\"",
       {10, "customers[0].keys[0].digest", "must be 64 hexadecimal digits, is a text of 62 characters"}},
      {"\"id\": \"k1\"", "\"id\": \"k1\", \"id\": \"k2\"", {10, "id", "the object has this field twice"}},
      {"\"environment\": \"teranga\"",
       "\"environment\": 7",
       {2, "environment", "must be a text, is a number"}},
  };
  for (const auto& it : examples) {
    INFO(it.old_part << " -> " << it.new_part);
    const auto found = check_document(replaced(it.old_part, it.new_part));
    REQUIRE(found.size() == 1);
    CHECK(found[0].line == it.expected.line);
    CHECK(found[0].path == it.expected.path);
    CHECK(found[0].message == it.expected.message);
  }
}

// Guards against a check that stops at the first error.
TEST_CASE("all errors are reported at once, in the order of their lines") {
  auto text = replaced("\"service\": \"orders\"", "\"service\": \"none\"");
  text.replace(text.find("\"burst\": 1"), 10, "\"burst\": 0");
  text.replace(text.find("\"slots\": 2"), 10, "\"slots\": 99");
  const auto parsed = parse_document(text, generation_id{1});
  REQUIRE_FALSE(parsed);
  CHECK(parsed.error().kind == error_kind::invalid_document);
  CHECK(parsed.error().message ==
        "line 6: services[0].targets[0].slots: must be at most the 16 connections, is 99\n"
        "line 9: customers[0].burst: must be 1 to 1000000000, is 0\n"
        "line 11: routes[0].service: there is no service \"none\"");
}

// Guards against text that the parser accepts and the store's JSON cannot carry, and against deep recursion.
TEST_CASE("text that is not JSON with comments in UTF-8 is one finding") {
  const std::string texts[] = {
      "", "{", "{} {}", "// \xff\n{}", std::string(100'000, '['), std::string(max_document_bytes + 1, ' ')};
  for (const auto& text : texts) CHECK(check_document(text).size() == 1);
  const auto found = check_document("{\n\"environment\": \"x\",\n}");
  REQUIRE(found.size() == 1);
  CHECK(found[0].line == 3);
}

// Guards against example deployments that a change of the schema breaks.
TEST_CASE("the example documents are valid") {
  for (const auto* name : {"teranga", "frostguard"}) {
    const auto text = read_file(std::string{BULRUSHLIFT_SOURCE_DIR "/examples/"} + name + ".jsonc");
    const auto parsed = parse_document(text, generation_id{1});
    INFO((parsed ? "" : parsed.error().message));
    REQUIRE(parsed);
    CHECK(parsed->customers().size() == 8);
    CHECK(parsed->vms().size() == 5);
    CHECK(parsed->services().size() == 3);
  }
}

}  // namespace
}  // namespace bulrushlift
