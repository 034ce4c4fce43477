#include "entry/statement_wire.h"

#include <catch2/catch.hpp>

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

const time_point now{std::chrono::seconds{100}};

work_item full_item() {
  work_item item;
  item.statement = {"id1", sql::statement_kind::execute, "EXECUTE s 1a4 x"};
  item.statement.name = "s";
  item.statement.argument = "1a4 x";
  item.begin = sql::statement{"id0", sql::statement_kind::begin, "BEGIN"};
  auto route = std::make_shared<sql::database_route>();
  route->service = service_id{"orders"};
  route->level = sql::consistency::read_your_writes;
  route->max_staleness = milliseconds{2'500};
  route->statement_timeout = milliseconds{800};
  route->latency_objective = milliseconds{200};
  route->priority = 2;
  item.route = route;
  item.customer = customer_id{"shop"};
  auto session = std::make_shared<sql::session_state>();
  session->values = {{"zone", "a"}};
  session->own_commit = log_point{term_id{3}, log_position{12}};
  item.session = session;
  item.prepared = sql::prepared_statement{true, "q1"};
  return item;
}

TEST_CASE("A relayed statement arrives as it was sent") {
  const auto item = full_item();

  const auto decoded = decode_request(encode_request(item, vm_id{"a"}, milliseconds{700}), now);

  REQUIRE(decoded);
  const auto& copy = **decoded;
  CHECK(copy.statement.id == "id1");
  CHECK(copy.statement.kind == sql::statement_kind::execute);
  CHECK(copy.statement.argument == "1a4 x");
  CHECK(copy.begin == item.begin);
  CHECK(copy.customer == item.customer);
  CHECK(copy.prepared == item.prepared);
  CHECK(copy.session->values == item.session->values);
  CHECK(copy.session->own_commit == item.session->own_commit);
  CHECK(*copy.route == *item.route);
  CHECK(copy.deadline == now + milliseconds{700});
  CHECK(copy.is_for_primary());
}

// Guards against enum values of a peer of another version that this version does not know.
TEST_CASE("Numbers out of range are refused") {
  auto wire = encode_request(full_item(), vm_id{"a"}, milliseconds{700});
  wire.statement.kind = 99;
  CHECK_FALSE(decode_request(wire, now));

  wire = encode_request(full_item(), vm_id{"a"}, milliseconds{700});
  wire.route.level = -1;
  CHECK_FALSE(decode_request(wire, now));
}

TEST_CASE("A reply carries rows, signature, point and the open transaction") {
  work_result value;
  value.reply.rows = {"r1", "r2"};
  value.reply.signature = "sig";
  value.reply.point = log_point{term_id{3}, log_position{13}};

  const auto copy = decode_reply(encode_reply(value, 8), vm_id{"owner"});

  CHECK_FALSE(copy.error);
  CHECK(copy.reply.rows == value.reply.rows);
  CHECK(copy.reply.signature == "sig");
  CHECK(copy.reply.point == value.reply.point);
  CHECK(copy.transaction.owner == vm_id{"owner"});
  CHECK(copy.transaction.number == 8);
}

TEST_CASE("An unknown error of a peer says nothing about the outcome") {
  work_result value;
  value.error = sql::caller_error::busy;
  auto wire = encode_reply(value, 0);
  CHECK(decode_reply(wire, vm_id{"owner"}).error == sql::caller_error::busy);
  wire.error = 77;
  CHECK(decode_reply(wire, vm_id{"owner"}).error == sql::caller_error::outcome_unknown);
}

}  // namespace
}  // namespace bulrushlift::entry
