#include <fmt/format.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "net/http_client.h"
#include "standins/child_process.h"

/// @file
/// Tests database_member processes over HTTP. Guards against messages that differ from section 4.2 and
/// against replication between processes that stops.

namespace bulrushlift::standin {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// A database_member process and one connection to it.
class remote_member {
 public:
  remote_member(event_loop& loop, const std::string& name, const std::string& role)
      : loop_(loop),
        process_(child_process::start({BULRUSHLIFT_BINARY_DIR "/bin/database_member", "--service", "orders",
                                       "--target", name, "--role", role, "--connection-cost-ms", "2",
                                       "--statement-cost-us", "100", "--connections", "2"},
                                      BULRUSHLIFT_BINARY_DIR "/database_member_path.log")
                     .value()),
        address_(json::parse(process_.read_line(10s).value()).at("address").get<std::string>()) {}

  [[nodiscard]] const std::string& address() const { return address_; }

  /// @return the status and body of the answer, or status 0 if there is no answer within `timeout`.
  std::pair<int, json> request(const std::string& method, const std::string& target, const json& body = {},
                               duration timeout = 5s) {
    if (!connection_ || !connection_->is_open()) open();
    http_request message{.method = method, .target = target};
    if (!body.is_null()) message.body = body.dump();
    std::pair<int, json> reply;
    connection_->send(message, timeout, [&](const result<http_response>& response) {
      if (response) reply = {response->status, json::parse(response->body)};
      loop_.stop();
    });
    loop_.run();
    return reply;
  }

 private:
  void open() {
    connection_ = std::make_unique<http_connection>(loop_);
    connection_->open(parse_address(address_).value(), 5s, [&](const result<void>& opened) {
      CHECK(opened);
      loop_.stop();
    });
    loop_.run();
  }

  event_loop& loop_;
  child_process process_;
  std::string address_;
  std::unique_ptr<http_connection> connection_;
};

json write_body(const std::string& statement, int term, const std::string& key = {}) {
  json body{{"id", "1"}, {"customer", "baobab"}, {"kind", "write"}, {"statement", statement}, {"term", term}};
  if (!key.empty()) body["idempotency_key"] = key;
  return body;
}

TEST_CASE("three member processes replicate, promote and answer as specified") {
  event_loop loop;
  remote_member first{loop, "t1", "primary"};
  remote_member second{loop, "t2", "replica"};
  remote_member third{loop, "t3", "replica"};
  const json follow{{"term", 1}, {"primary", "t1"}, {"address", first.address()}};
  CHECK(second.request("POST", "/v1/follow", follow).first == 200);
  CHECK(third.request("POST", "/v1/follow", follow).first == 200);

  const auto [status, written] = first.request("POST", "/v1/execute", write_body("add stock 3", 1, "k1"));
  REQUIRE(status == 200);
  CHECK(written == json{{"id", "1"},
                        {"point", {{"term", 1}, {"position", 2}}},
                        {"result", {{"stock", "3"}}},
                        {"replayed", false}});
  // A long poll is answered as soon as the replica has the entry.
  const auto seen = second.request("GET", "/v1/status?after_term=1&after_position=1&wait_ms=4000").second;
  CHECK(seen.at("point") == json{{"term", 1}, {"position", 2}});
  CHECK(seen.at("role") == "replica");
  CHECK(seen.at("primary") == "t1");

  const auto read =
      second.request("POST", "/v1/execute",
                     {{"id", "2"}, {"customer", "baobab"}, {"kind", "read"}, {"statement", "get stock"}});
  CHECK(read.second.at("result") == json{{"stock", "3"}});
  const auto refused = second.request("POST", "/v1/execute", write_body("add stock 1", 1));
  CHECK(refused.first == 409);
  CHECK(refused.second.at("error").at("kind") == "not_primary");

  const json candidate{{"term", 2}, {"candidate", "entry-1/1/1"}};
  CHECK(second.request("POST", "/v1/fence", candidate).second.at("accepted") == true);
  CHECK(third.request("POST", "/v1/fence", candidate).second.at("accepted") == true);
  CHECK(second.request("POST", "/v1/promote", candidate).second.at("role") == "primary");
  const json next{{"term", 2}, {"primary", "t2"}, {"address", second.address()}};
  CHECK(third.request("POST", "/v1/follow", next).first == 200);
  CHECK(first.request("POST", "/v1/follow", next).first == 200);
  const auto replayed = second.request("POST", "/v1/execute", write_body("add stock 3", 2, "k1"));
  CHECK(replayed.second.at("replayed") == true);
  const auto caught_up = first.request("GET", "/v1/status?after_term=1&after_position=9&wait_ms=4000").second;
  CHECK(caught_up.at("point") == json{{"term", 2}, {"position", 3}});

  const auto audit = first.request("GET", "/v1/audit").second;
  CHECK(audit.at("entries").size() == 3);
  CHECK(audit.at("values") == json{{"stock", "3"}});
  CHECK(audit.at("authorization_seen") == false);
}

TEST_CASE("faults are injected on request") {
  event_loop loop;
  remote_member member{loop, "t1", "primary"};
  SECTION("an answer is lost after its effect") {
    CHECK(member.request("POST", "/v1/faults", {{"drop_answers", 1}}).first == 200);
    CHECK(member.request("POST", "/v1/execute", write_body("add k 1", 1, "k1"), 300ms).first == 0);
    CHECK(member.request("POST", "/v1/execute", write_body("add k 1", 1, "k1")).second.at("replayed") ==
          true);
  }
  SECTION("a pause delays answers") {
    CHECK(member.request("POST", "/v1/faults", {{"pause_ms", 60'000}}).first == 200);
    CHECK(member.request("GET", "/v1/status", {}, 200ms).first == 0);
    CHECK(member.request("GET", "/v1/audit").first == 200);
  }
  SECTION("a body that is no JSON is refused") {
    CHECK(member.request("POST", "/v1/fence", "text").first == 400);
    CHECK(member.request("GET", "/v1/nothing").first == 400);
  }
}

}  // namespace
}  // namespace bulrushlift::standin
