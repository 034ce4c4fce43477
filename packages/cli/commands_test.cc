#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/digest.h"
#include "cli/command.h"
#include "document/document.h"
#include "standins/platform_server.h"

namespace bulrushlift {
namespace {

const std::string examples = BULRUSHLIFT_SOURCE_DIR "/examples/";

std::string read_file(const std::string& path) {
  std::ifstream file{path, std::ios::binary};
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Runs commands against a platform server on the same event loop.
class cli_fixture {
 public:
  cli_fixture() : platform(loop), address(platform.listen({"127.0.0.1", 0}).value()) {}

  /// Runs a command; its standard output and standard error are in `out` and `errors`.
  /// @return the exit code.
  int run(std::vector<std::string> arguments) {
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    arguments.insert(arguments.end(), {"--platform", address.str(), "--environment", "teranga"});
    const int code = run_cli(loop, arguments, out_stream, error_stream);
    out = out_stream.str();
    errors = error_stream.str();
    return code;
  }

  void promote_example() {
    REQUIRE(run({"trial", examples + "teranga.jsonc"}) == 0);
    REQUIRE(run({"promote"}) == 0);
  }

  [[nodiscard]] document in_force() {
    REQUIRE(run({"show"}) == 0);
    return parse_document(out, generation_id{1}).value();
  }

  event_loop loop;
  platform_server platform;
  net_address address;
  std::string out;
  std::string errors;
};

// Guards against example files that no longer match the schema, and against a check that stops at the first
// error.
TEST_CASE("check accepts the examples and lists all errors of a wrong file") {
  cli_fixture it;
  for (const auto& entry : std::filesystem::recursive_directory_iterator{examples}) {
    if (!entry.is_regular_file()) continue;
    INFO(entry.path());
    CHECK(it.run({"check", entry.path()}) == 0);
  }
  const std::string wrong = BULRUSHLIFT_SOURCE_DIR "/packages/document/corpus/wrong_types.jsonc";
  CHECK(it.run({"check", wrong}) == 3);
  CHECK(it.out.find(wrong + ":1: services[0]: must be an object, is a list\n") != std::string::npos);
  CHECK(it.out.find(wrong + ":1: customers[0].name: the field is missing\n") != std::string::npos);
  CHECK(it.run({"check", wrong, "--json"}) == 3);
  CHECK(nlohmann::json::parse(it.out)["valid"] == false);
}

// Guards against commands that change the bytes of a document when they store or read it.
TEST_CASE("trial, promote, show and history keep the exact document") {
  cli_fixture it;
  CHECK(it.run({"show"}) == 5);
  it.promote_example();
  CHECK(it.out.find("generation 1 is in force") == 0);
  REQUIRE(it.run({"show"}) == 0);
  CHECK(it.out == read_file(examples + "teranga.jsonc"));
  REQUIRE(it.run({"customer", "set-rate", "kora-stock", "--rate", "300", "--burst", "60"}) == 0);
  REQUIRE(it.run({"diff", examples + "teranga.jsonc"}) == 0);
  CHECK(it.out ==
        "~ customer kora-stock: burst 60 -> 50, rate_per_second 300 -> 250\n"
        "warning: customer kora-stock gets a lower rate or burst at once\n");
  REQUIRE(it.run({"show", "1"}) == 0);
  CHECK(it.out == read_file(examples + "teranga.jsonc"));
  REQUIRE(it.run({"history", "--json"}) == 0);
  CHECK(nlohmann::json::parse(it.out).size() == 2);
}

// Guards against promoting a candidate of another operator, or one that was tried before another promotion.
TEST_CASE("promote refuses another operator's candidate and an outdated candidate") {
  cli_fixture it;
  it.promote_example();
  REQUIRE(it.run({"trial", examples + "teranga.jsonc"}) == 0);
  CHECK(it.run({"promote", "--digest", "0000"}) == 4);
  REQUIRE(it.run({"key", "revoke", "kora-stock-1"}) == 0);
  CHECK(it.run({"promote"}) == 4);
  CHECK(it.errors.find("generation 2 is in force") != std::string::npos);
  CHECK(it.run({"trial", examples + "frostguard.jsonc"}) == 3);
}

// Guards against storing a key itself, and against printing a key that does not match the stored digest.
TEST_CASE("a new key is printed once and only its digest is kept") {
  cli_fixture it;
  it.promote_example();
  REQUIRE(it.run({"key", "create", "kora-stock", "--id", "kora-2"}) == 0);
  const auto key = it.out.substr(0, it.out.size() - 1);
  CHECK(key.starts_with("blk_kora-2_"));
  CHECK(it.in_force().find_key(key_id{"kora-2"}).key->digest == sha256(key));
  for (const auto* path : {"environments/teranga/production", "environments/teranga/trial"}) {
    const auto* object = it.platform.model().newest(path);
    REQUIRE(object != nullptr);
    CHECK(object->value.find(key.substr(11)) == std::string::npos);
  }
  CHECK(it.run({"key", "create", "kora-stock", "--id", "kora-2"}) == 4);
  REQUIRE(it.run({"key", "revoke", "kora-2"}) == 0);
  CHECK(it.in_force().find_key(key_id{"kora-2"}).key->state == key_state::revoked);
}

// Guards against new customers that may not use their routes, and against promoting an invalid rate.
TEST_CASE("customers are added to routes and listed") {
  cli_fixture it;
  it.promote_example();
  const std::vector<std::string> add{"customer", "add", "fouta-miel", "--rate", "20",
                                     "--burst",  "5",   "--route",    "orders"};
  REQUIRE(it.run(add) == 0);
  const auto document = it.in_force();
  CHECK(document.is_allowed(*document.find_route(route_id{"orders"}), customer_id{"fouta-miel"}));
  CHECK(it.run(add) == 4);
  CHECK(it.run({"customer", "set-rate", "fouta-miel", "--rate", "0"}) == 3);
  CHECK(it.run({"customer", "set-rate", "none", "--rate", "1"}) == 5);
  REQUIRE(it.run({"customer", "list", "--json"}) == 0);
  CHECK(nlohmann::json::parse(it.out).size() == 9);
  REQUIRE(it.run({"route", "list"}) == 0);
  CHECK(it.out.find("fouta-miel") != std::string::npos);
  REQUIRE(it.run({"key", "list", "lac-rose-sel", "--json"}) == 0);
  CHECK(nlohmann::json::parse(it.out)[0]["key"] == "lac-rose-sel-1");
}

// Guards against exit codes that mislead a script when the platform is unreachable or its answers are lost.
TEST_CASE("lost answers do not fail a promotion, and an unreachable platform gives exit code 6") {
  cli_fixture it;
  it.promote_example();
  it.platform.model().set_faults({.lose_answers = 2});
  CHECK(it.run({"key", "revoke", "kora-stock-1"}) == 0);
  CHECK(it.in_force().find_key(key_id{"kora-stock-1"}).key->state == key_state::revoked);
  it.platform.model().set_faults({.down = true});
  CHECK(it.run({"show"}) == 6);
  it.address.port = 1;
  CHECK(it.run({"show"}) == 6);
}

// Guards against one unreachable VM hiding the status of the others, and against draining the wrong VM.
TEST_CASE("status and drain reach the admin listeners") {
  cli_fixture it;
  std::vector<std::string> seen;
  http_server admin{it.loop, {}, [&](const http_request& request, const http_responder& respond) {
                      seen.push_back(request.method + " " + request.target);
                      respond(json_response(request.method == "GET" ? 200 : 202, R"({"vm": "entry-1",
          "data_centre": "thies", "drain": "running", "freshness": "fresh", "generation": 3,
          "services": {"orders": {"owner": true, "owner_vm": "entry-1", "primary": "orders-1", "term": 4,
            "promotion": "idle", "queued": 2, "targets": [
              {"target": "orders-2", "point": {"term": 4, "position": 16}},
              {"target": "orders-1", "point": {"term": 4, "position": 17}}]},
            "stock": {"owner_vm": "entry-2"}},
          "budgets": {"baobab": {"level": 12500, "waiting": 0}}})"));
                    }};
  const auto bound = admin.listen({"127.0.0.1", 0}).value();
  const auto put = [&](const std::string& vm, const std::string& where) {
    const nlohmann::json value = nlohmann::json{{"vm", vm}, {"admin", where}}.dump();
    (void)it.platform.model().handle(
        it.loop.now(), {.call = store_call_kind::put, .path = "status/vms/" + vm, .value = value.dump()});
  };
  put("entry-1", bound.str());
  put("entry-2", "127.0.0.1:1");
  REQUIRE(it.run({"status"}) == 0);
  CHECK(it.out ==
        "VM       DATA_CENTRE  ADMIN            DRAIN        FRESHNESS  GENERATION\n"
        "entry-1  thies        " +
            bound.str() +
            "  running      fresh      3\n"
            "entry-2  -            127.0.0.1:1      unreachable  -          -\n"
            "\nSERVICE  OWNER    PRIMARY   TERM  POSITION  PROMOTION  QUEUED\n"
            "orders   entry-1  orders-1  4     17        idle       2\n"
            "\nCUSTOMER  VM       RATE_PER_SECOND  USED_PER_SECOND  LEVEL   WAITING\n"
            "baobab    entry-1  -                -                12.500  0\n");
  CHECK(it.run({"drain", "entry-1"}) == 0);
  CHECK(seen == std::vector<std::string>{"GET /v1/status", "GET /v1/status", "POST /v1/drain"});
  put("entry-3", bound.str());
  CHECK(it.run({"drain", "entry-3"}) == 5);
  it.platform.model().set_faults({.down = true});
  CHECK(it.run({"drain", "entry-1", "--admin", bound.str()}) == 0);
  CHECK(seen.size() == 6);
  it.platform.model().set_faults({});
  CHECK(it.run({"drain", "entry-2"}) == 6);
  CHECK(it.run({"drain", "entry-9"}) == 5);
}

// Guards against commands that the help does not list, and against help without a matching example.
TEST_CASE("each command has help with an example that names it") {
  cli_fixture it;
  REQUIRE(it.run({"--help"}) == 0);
  for (auto commands : {document_commands(), customer_commands(), fleet_commands(), log_commands()}) {
    for (const auto& command : commands) {
      CHECK(it.out.find("  " + command.usage) != std::string::npos);
      CHECK(command.example.starts_with(command.name));
      std::ostringstream help;
      std::ostringstream errors;
      std::istringstream words{command.name};
      std::vector<std::string> arguments{std::istream_iterator<std::string>{words}, {}};
      arguments.emplace_back("--help");
      CHECK(run_cli(it.loop, arguments, help, errors) == 0);
      CHECK(help.str().find("Example:\n  bulrushlift " + command.example) != std::string::npos);
    }
  }
  CHECK(it.run({"--version"}) == 0);
  CHECK(it.run({"no-such-command"}) == 2);
  CHECK(it.run({"check"}) == 2);
  CHECK(it.run({"show", "--no-such-option"}) == 2);
}

}  // namespace
}  // namespace bulrushlift
