#include "soak/soak_oracle.h"

#include <catch2/catch.hpp>

namespace bulrushlift::soak {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::seconds{100}};

std::vector<std::string> rules(const soak_oracle& oracle) {
  std::vector<std::string> names;
  for (const auto& each : oracle.violations()) names.push_back(each.rule);
  return names;
}

soak_oracle oracle_with_committed_write() {
  soak_oracle oracle;
  oracle.on_write_sent("a", 1);
  oracle.on_commit("a", 1, "w1");
  oracle.on_write_ended("a", 1, write_outcome::acknowledged, start);
  return oracle;
}

TEST_CASE("A write that is committed once and then read violates no guarantee") {
  auto oracle = oracle_with_committed_write();
  oracle.on_read("a", 1, oracle.newest_acknowledged("a", start + milliseconds{1}), "r1");
  CHECK(oracle.violations().empty());
}

// Each section violates one guarantee. If the oracle missed it, a soak run would pass wrongly.
TEST_CASE("Each violated guarantee is reported under its rule") {
  auto oracle = oracle_with_committed_write();
  SECTION("a write that is committed twice") {
    oracle.on_commit("a", 1, "w1");
    CHECK(rules(oracle) == std::vector<std::string>{"TWICE"});
  }
  SECTION("a refused write that is committed before or after its refusal") {
    oracle.on_write_sent("a", 2);
    oracle.on_write_sent("a", 3);
    oracle.on_commit("a", 2, "w2");
    oracle.on_write_ended("a", 2, write_outcome::refused, start);
    oracle.on_write_ended("a", 3, write_outcome::refused, start);
    oracle.on_commit("a", 3, "w3");
    CHECK(rules(oracle) == std::vector<std::string>{"REFUSED", "REFUSED"});
  }
  SECTION("a write that nobody sent") {
    oracle.on_commit("a", 9, "w9");
    CHECK(rules(oracle) == std::vector<std::string>{"UNASKED"});
  }
  SECTION("an acknowledged write that is not committed") {
    oracle.on_write_sent("a", 2);
    oracle.on_write_ended("a", 2, write_outcome::acknowledged, start);
    CHECK(rules(oracle) == std::vector<std::string>{"LOST"});
  }
  SECTION("a stale read and a read of data that was never committed") {
    oracle.on_read("a", 0, 1, "r1");
    oracle.on_read("a", 5, 1, "r2");
    CHECK(rules(oracle) == std::vector<std::string>{"STALE", "MIXED"});
  }
}

TEST_CASE("Readers need not see commits that were lost by a promotion") {
  auto oracle = oracle_with_committed_write();
  oracle.on_promotion([](const std::string&) { return std::uint64_t{0}; });
  oracle.on_read("a", 0, 1, "r1");
  CHECK(oracle.newest_acknowledged("a", time_point::max()) == 0);
  CHECK(oracle.violations().empty());
}

TEST_CASE("Readers must see only writes acknowledged before the given time") {
  const auto oracle = oracle_with_committed_write();
  CHECK(oracle.newest_acknowledged("a", start) == 0);
  CHECK(oracle.newest_acknowledged("a", start + milliseconds{1}) == 1);
}

}  // namespace
}  // namespace bulrushlift::soak
