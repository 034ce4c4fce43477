#include "sql/fair_turns.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace bulrushlift::sql {
namespace {

const customer_id flooding{"flooding"};

struct waiting {
  customer_id customer;
  std::uint64_t turn = 0;
  int arrived = 0;
};

/// Seven customers send one statement each step, one sends seven; ten get a slot, and a
/// statement waits for two steps at most.
/// @return the share that each customer got.
std::map<customer_id, double> play_flood(bool by_turn) {
  constexpr int steps = 200;
  constexpr int slots = 10;
  constexpr int patience = 2;
  fair_turns turns;
  std::vector<waiting> queue;
  std::map<customer_id, double> asked;
  std::map<customer_id, double> served;
  const auto arrive = [&](const customer_id& customer, int step) {
    queue.push_back({customer, by_turn ? turns.join(customer) : 0, step});
    ++asked[customer];
  };
  for (int step = 0; step < steps; ++step) {
    for (int i = 0; i < 7; ++i) {
      arrive(flooding, step);
      // No customer is always first or last in a step.
      arrive(customer_id{"c" + std::to_string((i + step) % 7)}, step);
    }
    std::erase_if(queue, [step](const waiting& each) { return step - each.arrived >= patience; });
    std::stable_sort(queue.begin(), queue.end(), [](const waiting& a, const waiting& b) {
      return std::pair{a.turn, a.arrived} < std::pair{b.turn, b.arrived};
    });
    for (int slot = 0; slot < slots && !queue.empty(); ++slot) {
      ++served[queue.front().customer];
      turns.on_served(queue.front().turn);
      queue.erase(queue.begin());
    }
  }
  for (auto& [customer, count] : served) count /= asked[customer];
  return served;
}

// Guards against a flood of one customer that costs the others their statements.
TEST_CASE("Customers that send little are served in full while one floods the queue") {
  const auto in_order_of_arrival = play_flood(false);
  const auto by_turn = play_flood(true);
  for (const auto& [customer, share] : by_turn) {
    CAPTURE(customer.str(), share);
    if (customer == flooding) continue;
    CHECK(share >= 0.98);
    CHECK(in_order_of_arrival.at(customer) < 0.9);
  }
  // The rest of the slots is not left empty.
  CHECK(by_turn.at(flooding) > 0.4);
}

TEST_CASE("Statements of one customer keep their order, and a rest gives no credit") {
  fair_turns turns;
  const customer_id calm{"calm"};
  const auto first = turns.join(flooding);
  const auto second = turns.join(flooding);
  CHECK(first < second);
  CHECK(turns.join(calm) == first);
  turns.on_served(second);
  CHECK(turns.join(calm) == second + 1);
  CHECK(turns.join(flooding) == second + 1);
}

}  // namespace
}  // namespace bulrushlift::sql
