#include "standins/database_member_model.h"

#include <catch2/catch.hpp>

namespace bulrushlift::standin {
namespace {

using namespace std::chrono_literals;

const customer_id baobab{"baobab"};

/// A primary (a) and two replicas (b, c) in term 1 with the same time.
struct group {
  time_point now{1s};
  database_member_model a{{service_id{"orders"}, target_id{"a"}, member_role::primary}, now};
  database_member_model b{{service_id{"orders"}, target_id{"b"}}, now};
  database_member_model c{{service_id{"orders"}, target_id{"c"}}, now};

  group() {
    REQUIRE(b.follow(term_id{1}, target_id{"a"}, "", now));
    REQUIRE(c.follow(term_id{1}, target_id{"a"}, "", now));
  }

  void replicate(const database_member_model& primary, database_member_model& replica) {
    const auto request = replica.next_pull();
    REQUIRE(request);
    const auto answer = primary.answer_pull(*request, now);
    REQUIRE(answer);
    replica.accept_pull(*answer, now);
  }

  member_result<execute_answer> write(database_member_model& member, const std::string& text,
                                      const std::string& key = {}) {
    execute_request request{"r", baobab, true, text, member.term(), key, {}, {}};
    return member.execute(connection_number{1}, request, now);
  }
};

std::string value_of(const database_member_model& member, const std::string& key) {
  const auto* value = member.store().find(key);
  return value == nullptr ? "" : *value;
}

log_point make_point(std::uint64_t term, std::uint64_t position) {
  return {term_id{term}, log_position{position}};
}

// Guards against a fenced member that still accepts writes or log entries of a lower term.
TEST_CASE("a fenced member refuses writes and replication of lower terms") {
  group g;
  REQUIRE(g.write(g.a, "set k 1"));
  const auto request = g.b.next_pull();
  const auto late = g.a.answer_pull(*request, g.now);
  CHECK(g.b.fence(term_id{2}, "p1", g.now).is_accepted);
  g.b.accept_pull(*late, g.now);
  CHECK(g.b.point() == log_point{});
  CHECK(g.a.fence(term_id{2}, "p1", g.now).is_accepted);
  CHECK(g.write(g.a, "set k 2").error().kind == member_error_kind::not_primary);
}

// Guards against two primaries in one term.
TEST_CASE("a term is granted to one candidate only") {
  group g;
  CHECK(g.b.fence(term_id{2}, "p1", g.now).is_accepted);
  CHECK_FALSE(g.b.fence(term_id{2}, "p2", g.now).is_accepted);
  CHECK(g.b.promote(term_id{2}, "p2", g.now).error().kind == member_error_kind::wrong_term);
  CHECK(g.b.promote(term_id{2}, "p1", g.now)->point == make_point(2, 1));
  CHECK(g.b.promote(term_id{2}, "p1", g.now)->point ==
        make_point(2, 1));  // a repeated promotion appends no second barrier
  CHECK(g.b.follow(term_id{2}, target_id{"c"}, "", g.now).error().kind == member_error_kind::wrong_term);
}

// Guards against a replica that keeps entries that its new primary doesn't have.
TEST_CASE("diverging entries are truncated") {
  group g;
  g.replicate(g.a, g.b);
  REQUIRE(g.write(g.a, "set lost 1"));
  REQUIRE(g.write(g.a, "set lost 2", "key"));
  REQUIRE(g.b.fence(term_id{2}, "p1", g.now).is_accepted);
  REQUIRE(g.b.promote(term_id{2}, "p1", g.now));
  REQUIRE(g.a.follow(term_id{2}, target_id{"b"}, "", g.now));
  g.replicate(g.b, g.a);
  CHECK(g.a.entries() == g.b.entries());
  CHECK(value_of(g.a, "lost").empty());
}

// Guards against a late answer that truncates newer entries, which the replica may already have reported.
TEST_CASE("a late answer to a pull removes nothing") {
  group g;
  const auto late = g.a.answer_pull(*g.b.next_pull(), g.now);
  REQUIRE(g.write(g.a, "set k 1"));
  g.replicate(g.a, g.b);
  g.b.accept_pull(*late, g.now);
  CHECK(g.b.point() == make_point(1, 2));
}

// Guards against a request that runs twice, or that runs after its cancellation.
TEST_CASE("idempotency keys and cancellations survive a promotion") {
  group g;
  REQUIRE(g.write(g.a, "add k 1", "once"));
  const auto cancelled = g.a.resolve(connection_number{1}, {"r", baobab, term_id{1}, "never"}, g.now);
  REQUIRE(cancelled);
  CHECK_FALSE(cancelled->is_done);
  g.replicate(g.a, g.b);
  REQUIRE(g.b.fence(term_id{2}, "p1", g.now).is_accepted);
  REQUIRE(g.b.promote(term_id{2}, "p1", g.now));
  const auto repeated = g.write(g.b, "add k 1", "once");
  REQUIRE(repeated);
  CHECK(repeated->is_replayed);
  CHECK(repeated->point == make_point(2, 4));  // in the current term, so that it can be acknowledged
  CHECK(value_of(g.b, "k") == "1");
  CHECK(g.write(g.b, "add k 1", "never").error().kind == member_error_kind::cancelled);
  CHECK(g.b.resolve(connection_number{1}, {"r", baobab, term_id{2}, "once"}, g.now)->is_done);
}

// Guards against statements that run in another connection's transaction, and against lost updates.
TEST_CASE("a transaction is bound to its connection and detects conflicts") {
  group g;
  const connection_number first{1};
  const connection_number second{2};
  const transaction_request begin{"r", baobab, term_id{1}, "t1"};
  REQUIRE(g.a.begin(first, begin));
  execute_request add{"r", baobab, true, "add stock 5", term_id{1}, {}, "t1", {}};
  CHECK(g.a.execute(second, add, g.now).error().kind == member_error_kind::unknown_transaction);
  REQUIRE(g.a.execute(first, add, g.now));
  CHECK(value_of(g.a, "stock").empty());
  SECTION("commit") {
    REQUIRE(g.a.commit(first, begin, g.now));
    CHECK(value_of(g.a, "stock") == "5");
  }
  SECTION("conflict") {
    REQUIRE(g.write(g.a, "set stock 1"));
    CHECK(g.a.commit(first, begin, g.now).error().kind == member_error_kind::statement_failed);
    CHECK(value_of(g.a, "stock") == "1");
  }
  SECTION("closed connection") {
    g.a.close_connection(first);
    CHECK(g.a.commit(first, begin, g.now).error().kind == member_error_kind::unknown_transaction);
    CHECK(value_of(g.a, "stock").empty());
  }
  SECTION("change of term") {
    REQUIRE(g.a.fence(term_id{2}, "p1", g.now).is_accepted);
    REQUIRE(g.a.promote(term_id{2}, "p1", g.now));
    const transaction_request commit{"r", baobab, term_id{2}, "t1"};
    CHECK(g.a.commit(first, commit, g.now).error().kind == member_error_kind::unknown_transaction);
  }
}

TEST_CASE("slots and connections are limited") {
  time_point now{1s};
  database_member_model member{{service_id{"orders"}, target_id{"a"}, member_role::primary, 1, 2}, now};
  const execute_request read{"r", baobab, false, "get k", {}, {}, {}, {}};
  const auto ticket = member.start(connection_number{1}, read);
  REQUIRE(ticket);
  CHECK(member.start(connection_number{2}, read).error().kind == member_error_kind::busy);
  CHECK(member.start(connection_number{3}, read).error().kind == member_error_kind::too_many_connections);
  CHECK(member.finish(*ticket, now));
  member.close_connection(connection_number{2});
  CHECK(member.start(connection_number{3}, read));
}

TEST_CASE("a lagging replica receives entries after the lag") {
  group g;
  g.b.set_replication_lag(10ms);
  REQUIRE(g.write(g.a, "set k 1"));
  g.replicate(g.a, g.b);
  CHECK(g.b.point() == log_point{});
  g.now += 10ms;
  g.replicate(g.a, g.b);
  CHECK(g.b.point() == make_point(1, 2));
}

TEST_CASE("statements are checked") {
  group g;
  CHECK(g.write(g.a, "insert k 1"));
  CHECK(g.write(g.a, "insert k 1").error().kind == member_error_kind::statement_failed);
  CHECK(g.write(g.a, "set name two words"));
  CHECK(value_of(g.a, "name") == "two words");
  CHECK(g.write(g.a, "add name 1").error().kind == member_error_kind::statement_failed);
  CHECK(g.write(g.a, "get k").error().kind == member_error_kind::bad_request);
  CHECK(g.write(g.a, "drop k").error().kind == member_error_kind::bad_request);
}

}  // namespace
}  // namespace bulrushlift::standin
