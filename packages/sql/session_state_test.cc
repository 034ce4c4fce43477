#include "sql/session_state.h"

#include <catch2/catch.hpp>

namespace bulrushlift::sql {
namespace {

session_state make_session(std::map<std::string, std::string> values) {
  session_state session;
  session.values = std::move(values);
  return session;
}

TEST_CASE("A fresh connection gets all values of a session, and none twice") {
  connection_state connection;
  const auto session = make_session({{"zone", "a"}, {"limit", "3"}});

  const auto first = connection.prepare_for(session, std::nullopt);
  const auto second = connection.prepare_for(session, std::nullopt);

  CHECK(first.values.size() == 2);
  CHECK_FALSE(first.needs_reset);
  CHECK(second.size() == 0);
}

// Guards against a statement that runs with the values of another session.
TEST_CASE("A value that the next session does not have resets the connection") {
  connection_state connection;
  static_cast<void>(connection.prepare_for(make_session({{"zone", "a"}, {"role", "clerk"}}), std::nullopt));

  const auto setup = connection.prepare_for(make_session({{"zone", "a"}}), std::nullopt);

  CHECK(setup.needs_reset);
  REQUIRE(setup.values.size() == 1);
  CHECK(setup.values.front() == value_step{"zone", "a"});
}

TEST_CASE("A value that differs is set again without a reset") {
  connection_state connection;
  static_cast<void>(connection.prepare_for(make_session({{"zone", "a"}}), std::nullopt));

  const auto setup = connection.prepare_for(make_session({{"zone", "b"}}), std::nullopt);

  CHECK_FALSE(setup.needs_reset);
  CHECK(setup.values == std::vector<value_step>{{"zone", "b"}});
}

// Guards against executing another caller's prepared statement that has the same name.
TEST_CASE("Prepared statements are named by their content on targets") {
  const prepared_statement read{false, "q1"};
  const prepared_statement write{true, "q1"};
  const prepared_statement other{false, "q2"};

  CHECK(connection_state::name_on_target(read) == connection_state::name_on_target({false, "q1"}));
  CHECK(connection_state::name_on_target(read) != connection_state::name_on_target(write));
  CHECK(connection_state::name_on_target(read) != connection_state::name_on_target(other));
}

TEST_CASE("A prepared statement is defined once on a connection and again after a reset") {
  connection_state connection;
  const prepared_statement definition{false, "q1"};

  CHECK(connection.prepare_for(make_session({{"zone", "a"}}), definition).prepare);
  CHECK_FALSE(connection.prepare_for(make_session({{"zone", "a"}}), definition).prepare);
  const auto after_reset = connection.prepare_for(make_session({}), definition);
  CHECK(after_reset.needs_reset);
  CHECK(after_reset.prepare);
}

TEST_CASE("The distance counts the steps to a session's values") {
  connection_state connection;
  static_cast<void>(connection.prepare_for(make_session({{"zone", "a"}}), std::nullopt));

  CHECK(connection.setup_step_count(make_session({{"zone", "a"}})) == 0);
  CHECK(connection.setup_step_count(make_session({{"zone", "b"}})) == 1);
  CHECK(connection.setup_step_count(make_session({})) == 1);
}

}  // namespace
}  // namespace bulrushlift::sql
