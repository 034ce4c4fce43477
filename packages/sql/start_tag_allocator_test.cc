#include "sql/start_tag_allocator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace bulrushlift::sql {
namespace {

const customer_id flooding_customer{"flooding"};

struct waiting {
  customer_id customer;
  std::uint64_t tag = 0;
  int arrived = 0;
};

/// Seven customers send one statement each step, one sends seven; ten get a slot, and a
/// statement waits for two steps at most.
/// @return the share that each customer got.
std::map<customer_id, double> simulate_flood(bool by_tag) {
  constexpr int steps = 200;
  constexpr int slots = 10;
  constexpr int max_wait_steps = 2;
  start_tag_allocator tags;
  std::vector<waiting> queue;
  std::map<customer_id, double> asked;
  std::map<customer_id, double> served;
  const auto arrive = [&](const customer_id& customer, int step) {
    queue.push_back({customer, by_tag ? tags.allocate(customer) : 0, step});
    ++asked[customer];
  };
  for (int step = 0; step < steps; ++step) {
    for (int i = 0; i < 7; ++i) {
      arrive(flooding_customer, step);
      // No customer is always first or last in a step.
      arrive(customer_id{"c" + std::to_string((i + step) % 7)}, step);
    }
    std::erase_if(queue, [step](const waiting& each) { return step - each.arrived >= max_wait_steps; });
    std::stable_sort(queue.begin(), queue.end(), [](const waiting& a, const waiting& b) {
      return std::pair{a.tag, a.arrived} < std::pair{b.tag, b.arrived};
    });
    for (int slot = 0; slot < slots && !queue.empty(); ++slot) {
      ++served[queue.front().customer];
      tags.on_served(queue.front().tag);
      queue.erase(queue.begin());
    }
  }
  for (auto& [customer, count] : served) count /= asked[customer];
  return served;
}

// Guards against a flood of one customer that costs the others their statements.
TEST_CASE("Customers that send little are served in full while one floods the queue") {
  const auto in_order_of_arrival = simulate_flood(false);
  const auto by_tag = simulate_flood(true);
  for (const auto& [customer, share] : by_tag) {
    CAPTURE(customer.str(), share);
    if (customer == flooding_customer) continue;
    CHECK(share >= 0.98);
    CHECK(in_order_of_arrival.at(customer) < 0.9);
  }
  // The rest of the slots is not left empty.
  CHECK(by_tag.at(flooding_customer) > 0.4);
}

TEST_CASE("Statements of one customer keep their order, and a rest gives no credit") {
  start_tag_allocator tags;
  const customer_id calm{"calm"};
  const auto first = tags.allocate(flooding_customer);
  const auto second = tags.allocate(flooding_customer);
  CHECK(first < second);
  CHECK(tags.allocate(calm) == first);
  tags.on_served(second);
  CHECK(tags.allocate(calm) == second + 1);
  CHECK(tags.allocate(flooding_customer) == second + 1);
}

}  // namespace
}  // namespace bulrushlift::sql
