#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "base/digest.h"
#include "daemon/accept.h"
#include "daemon/answer.h"
#include "daemon/authenticate.h"
#include "daemon/command_line.h"
#include "daemon/relay_messages.h"
#include "daemon/target_messages.h"
#include "net/peer_link.h"
#include "peer_protocol/frame.h"

using namespace bulrushlift;
using namespace std::chrono_literals;

namespace {

http_request post(const std::string& target, const std::string& body) {
  http_request request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return request;
}

const std::string key_of_shop = "blk_k1_" + std::string(43, 'A');
const std::string revoked_key = "blk_k2_" + std::string(43, 'B');

shared_state make_shared_state() {
  shared_state shared;
  shared.configuration = document_builder{"test"}
                             .add_service("orders", 0ms)
                             .add_customer("shop", 10, 10)
                             .add_route("orders", "orders", {"shop"})
                             .add_route("private", "orders", {"other"})
                             .add_open_route("open", "orders")
                             .build();
  shared.keys = key_ring{{{customer_id{"shop"},
                           {{key_id{"k1"}, digest_of_key(key_of_shop), key_state::active},
                            {key_id{"k2"}, digest_of_key(revoked_key), key_state::revoked}}}}};
  return shared;
}

caller_request request_for(const std::string& route, std::optional<std::string> key) {
  caller_request request;
  request.route = route_id{route};
  request.key = std::move(key);
  return request;
}

}  // namespace

// Guards against requests that run although a field is missing or has a wrong type or value.
TEST_CASE("a body with a wrong field is refused and names the field") {
  const auto [body, field] = GENERATE(table<std::string, std::string>({
      {R"({"kind":"read","statement":"get a"})", "route"},
      {R"({"route":"r","statement":"get a"})", "kind"},
      {R"({"route":"r","kind":"both","statement":"get a"})", "kind"},
      {R"({"route":"r","kind":"read","statement":7})", "statement"},
      {R"({"route":"r","kind":"read","statement":"s","max_age_ms":-1})", "max_age_ms"},
      {R"({"route":"r","kind":"write","statement":"s","idempotent":"yes"})", "idempotent"},
      {R"([1])", "JSON object"},
      {R"({"route":)", "JSON object"},
  }));
  const auto accepted = accept_request(post("/v1/execute", body), 1s);
  REQUIRE_FALSE(accepted);
  CHECK(accepted.error().kind == error_kind::bad_request);
  CHECK(accepted.error().message.find(field) != std::string::npos);
}

// Guards against ambiguous headers and unknown paths that pass the first step of the pipeline.
TEST_CASE("headers and paths are checked") {
  const std::string body = R"({"route":"r","kind":"read","statement":"get a"})";
  auto request = post("/v1/execute", body);
  request.headers.add("Authorization", "Bearer " + key_of_shop);
  request.headers.add("Bulrushlift-Deadline-Ms", "250");
  const auto accepted = accept_request(request, 1s);
  REQUIRE(accepted);
  CHECK(accepted->key == key_of_shop);
  CHECK(accepted->time_left == 250ms);
  request.headers.add("authorization", "Bearer other");
  CHECK(accept_request(request, 1s).error().kind == error_kind::bad_request);
  auto basic = post("/v1/execute", body);
  basic.headers.add("Authorization", "Basic abc");
  CHECK(accept_request(basic, 1s).error().kind == error_kind::unauthenticated);
  auto late = post("/v1/execute", body);
  late.headers.add("Bulrushlift-Deadline-Ms", "0");
  CHECK(accept_request(late, 1s).error().kind == error_kind::bad_request);
  CHECK(accept_request(post("/v1/drop", body), 1s).error().kind == error_kind::not_found);
  CHECK(accept_request(post("/v1/commit", "{}"), 1s).error().kind == error_kind::bad_request);
}

// Guards against a body that crashes the process.
TEST_CASE("any body gives a request or an error") {
  CHECK(rc::check("accept", [] {
    const auto path = *rc::gen::element<std::string>("/v1/execute", "/v1/begin", "/v1/resolve", "/v1/", "");
    const auto body = *rc::gen::arbitrary<std::string>();
    const auto accepted = accept_request(post(path, body), 1s);
    RC_ASSERT(!accepted || !accepted->route.empty() || !accepted->transaction.empty());
  }));
}

// Guards against a request that runs for a customer whose key it does not carry (I4), and against a key that
// stays in the request after authentication (I5).
TEST_CASE("authentication finds the customer and removes the key") {
  const auto shared = make_shared_state();
  const auto authenticated = [&](const std::string& route, std::optional<std::string> key, freshness state) {
    auto request = request_for(route, std::move(key));
    auto customer = authenticate(shared, state, request);
    CHECK_FALSE(request.key);
    return customer;
  };
  CHECK(authenticated("orders", key_of_shop, freshness::fresh) == customer_id{"shop"});
  CHECK(authenticated("open", std::nullopt, freshness::fresh) == anonymous_customer());
  CHECK(authenticated("orders", std::nullopt, freshness::fresh).error().kind == error_kind::unauthenticated);
  CHECK(authenticated("orders", revoked_key, freshness::fresh).error().kind == error_kind::key_revoked);
  CHECK(authenticated("open", revoked_key, freshness::fresh).error().kind == error_kind::key_revoked);
  CHECK(authenticated("private", key_of_shop, freshness::fresh).error().kind == error_kind::forbidden);
  CHECK(authenticated("none", key_of_shop, freshness::fresh).error().kind == error_kind::no_route);
  CHECK(authenticated("orders", key_of_shop, freshness::isolated).error().kind ==
        error_kind::configuration_stale);
  CHECK(authenticated("orders", key_of_shop, freshness::store_down) == customer_id{"shop"});
  CHECK(authenticated("open", std::nullopt, freshness::isolated) == anonymous_customer());
  CHECK(authenticated("open", std::nullopt, freshness::no_document).error().kind ==
        error_kind::no_configuration);
}

// Guards against fields that are lost or changed when a request is relayed to the owner.
TEST_CASE("a relayed request arrives as it was sent") {
  CHECK(rc::check("relay round trip", [] {
    service_request request;
    request.id = request_id{"entry-1-5-7"};
    request.op =
        *rc::gen::element(operation::execute, operation::begin, operation::commit, operation::resolve);
    request.customer = customer_id{"shop"};
    request.route = route_id{"orders"};
    request.idempotency_key = *rc::gen::element<std::string>("", "k");
    request.transaction = *rc::gen::element<std::string>("", "t");
    if (request.op == operation::execute) {
      request.is_read = *rc::gen::arbitrary<bool>();
      request.is_idempotent = *rc::gen::arbitrary<bool>();
      request.statement = *rc::gen::arbitrary<std::string>();
    }
    if (*rc::gen::arbitrary<bool>()) request.required_point = log_point{term_id{3}, log_position{9}};
    if (*rc::gen::arbitrary<bool>()) request.max_age = 500ms;
    peer::envelope_t message;
    message.__set_relay_request(to_wire(request, 40ms));
    const auto decoded = decode_envelope(encode_envelope(message));
    RC_ASSERT(decoded.has_value());
    const time_point now{1s};
    const auto copy = from_wire(decoded->relay_request, now);
    RC_ASSERT(copy.has_value());
    RC_ASSERT(copy->id == request.id && copy->op == request.op && copy->customer == request.customer);
    RC_ASSERT(copy->statement == request.statement && copy->is_read == request.is_read);
    RC_ASSERT(copy->is_idempotent == request.is_idempotent && copy->max_age == request.max_age);
    RC_ASSERT(copy->idempotency_key == request.idempotency_key && copy->transaction == request.transaction);
    RC_ASSERT(copy->required_point == request.required_point && copy->deadline == now + 40ms);
  }));
}

// Guards against an outcome that is lost in the reply of the owner: "unknown" would turn into "not run" (I9).
TEST_CASE("a relayed error keeps its outcome") {
  const error failure{error_kind::outcome_unknown, "sent", 30ms, outcome::unknown};
  const auto copy = from_wire(to_wire(result<service_reply>{tl::unexpected<error>(failure)}));
  REQUIRE_FALSE(copy);
  CHECK(copy.error() == failure);
  service_reply reply;
  reply.result = R"({"a":1})";
  reply.point = log_point{term_id{2}, log_position{5}};
  reply.target = target_id{"t1"};
  reply.final_outcome = outcome::not_run;
  const auto good = from_wire(to_wire(result<service_reply>{reply}));
  REQUIRE(good);
  CHECK(good->result == reply.result);
  CHECK(good->point == reply.point);
  CHECK(good->final_outcome == outcome::not_run);
}

// Guards against a malformed answer of a target that is taken for a success.
TEST_CASE("answers of targets are checked") {
  const auto read = [](int status, const std::string& body) {
    return read_target_answer({status, {}, body});
  };
  const auto good =
      read(200, R"({"id":"7","point":{"term":1,"position":4},"result":[1,"x"],"replayed":false})");
  REQUIRE(good);
  CHECK(good->id == 7U);
  CHECK(good->point == log_point{term_id{1}, log_position{4}});
  CHECK(good->result == R"([1,"x"])");
  const auto failed = read(409, R"({"id":"7","error":{"kind":"not_primary","message":"m"},"term":3})");
  REQUIRE(failed);
  CHECK(error_of(*failed).kind == error_kind::wrong_term);
  CHECK(error_of(*failed).request_outcome() == outcome::not_run);
  CHECK(failed->term == term_id{3});
  for (const auto* body : {"", "[]", "{", R"({"id":"7"})", R"({"error":{}})"}) CHECK_FALSE(read(500, body));
  CHECK_FALSE(read(200, "not json"));
}

// Guards against a key or other header of the caller that is passed on to a target (I5).
TEST_CASE("a request to a target holds only what the interface names") {
  service_request request;
  request.customer = customer_id{"shop"};
  request.statement = "get a";
  request.is_read = true;
  request.required_point = log_point{term_id{1}, log_position{2}};
  const auto sent = make_target_request(make_message(request, std::nullopt, {}, 10ms), 4);
  CHECK(nlohmann::json::parse(sent.body) ==
        nlohmann::json::parse(
            R"({"id":"4","customer":"shop","kind":"read","statement":"get a","deadline_ms":10,
                "min_point":{"term":1,"position":2}})"));
  CHECK(sent.headers.size() == 1);
}

// Guards against an answer whose outcome and retry advice differ from those in the error table.
TEST_CASE("errors are answered with kind, outcome and retry advice") {
  const auto response = format_error(request_id{"r"}, {error_kind::over_rate, "slow \xff down", 20ms});
  CHECK(response.status == 429);
  const auto body = nlohmann::json::parse(response.body);
  CHECK(body["request_id"] == "r");
  CHECK(body["error"]["kind"] == "over_rate");
  CHECK(body["error"]["outcome"] == "not_run");
  CHECK(body["error"]["retry"] == "after");
  CHECK(body["error"]["retry_after_ms"] == 20);
}

// Guards against a daemon that starts with an invalid command line.
TEST_CASE("the command line is checked") {
  CHECK(parse_command_line({"bulrushliftd", "--settings", "a.json"})->settings_path == "a.json");
  CHECK(parse_command_line({"bulrushliftd", "--help"})->is_help_wanted);
  CHECK(parse_command_line({"bulrushliftd", "--version"})->is_version_wanted);
  for (const auto& arguments :
       std::vector<std::vector<std::string>>{{"bulrushliftd"},
                                             {"bulrushliftd", "--settings"},
                                             {"bulrushliftd", "--setings", "a"},
                                             {"bulrushliftd", "--settings", "a", "b"}}) {
    CHECK_FALSE(parse_command_line(arguments));
  }
}
