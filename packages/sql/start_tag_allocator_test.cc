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

struct waiting_statement {
  customer_id customer;
  std::uint64_t tag = 0;
  int arrived = 0;
};

/// In each step seven customers send one statement each and one customer sends seven. Ten
/// statements get a slot, and a statement waits for at most two steps.
/// @param by_tag true to serve by start tag, false to serve in the order of arrival.
/// @return the share of its statements that was served, for each customer.
std::map<customer_id, double> simulate_flood(bool by_tag) {
  constexpr int steps = 200;
  constexpr int slots = 10;
  constexpr int max_wait_steps = 2;
  start_tag_allocator tags;
  std::vector<waiting_statement> queue;
  std::map<customer_id, double> sent;
  std::map<customer_id, double> served;
  const auto arrive = [&](const customer_id& customer, int step) {
    queue.push_back({customer, by_tag ? tags.allocate(customer) : 0, step});
    ++sent[customer];
  };
  for (int step = 0; step < steps; ++step) {
    for (int i = 0; i < 7; ++i) {
      arrive(flooding_customer, step);
      // Rotates the order, so that no customer is always first or last in a step.
      arrive(customer_id{"c" + std::to_string((i + step) % 7)}, step);
    }
    std::erase_if(queue,
                  [step](const waiting_statement& each) { return step - each.arrived >= max_wait_steps; });
    std::stable_sort(queue.begin(), queue.end(), [](const waiting_statement& a, const waiting_statement& b) {
      return std::pair{a.tag, a.arrived} < std::pair{b.tag, b.arrived};
    });
    for (int slot = 0; slot < slots && !queue.empty(); ++slot) {
      ++served[queue.front().customer];
      tags.on_served(queue.front().tag);
      queue.erase(queue.begin());
    }
  }
  for (auto& [customer, count] : served) count /= sent[customer];
  return served;
}

// Guards against one customer's flood that makes the statements of other customers time out.
TEST_CASE("Customers that send little are served in full while one floods the queue") {
  const auto in_order_of_arrival = simulate_flood(false);
  const auto by_tag = simulate_flood(true);
  for (const auto& [customer, share] : by_tag) {
    CAPTURE(customer.str(), share);
    if (customer == flooding_customer) continue;
    CHECK(share >= 0.98);
    CHECK(in_order_of_arrival.at(customer) < 0.9);
  }
  // The flooding customer gets the slots that the others leave.
  CHECK(by_tag.at(flooding_customer) > 0.4);
}

TEST_CASE("Statements of one customer keep their order, and a rest gives no credit") {
  start_tag_allocator tags;
  const customer_id steady_customer{"calm"};
  const auto first = tags.allocate(flooding_customer);
  const auto second = tags.allocate(flooding_customer);
  CHECK(first < second);
  CHECK(tags.allocate(steady_customer) == first);
  tags.on_served(second);
  CHECK(tags.allocate(steady_customer) == second + 1);
  CHECK(tags.allocate(flooding_customer) == second + 1);
}

}  // namespace
}  // namespace bulrushlift::sql
