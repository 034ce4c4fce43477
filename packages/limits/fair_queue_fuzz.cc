#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "limits/fair_queue.h"

namespace bulrushlift {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t cost_max = 4;
constexpr std::size_t customer_bound = 24;
constexpr std::size_t total_bound = 80;

struct pending_statement {
  queue_ticket ticket;
  bool is_in_transaction = false;
  std::uint32_t cost = 1;
};

struct observed_customer {
  customer_id id;
  double weight = 1;
  std::vector<pending_statement> pending;
  double served = 0;  ///< Cost that ran, divided by the weight.
};

/// Runs a queue of one class beside plain lists of the statements that must be in it, and
/// checks its bounds, order and fairness.
class queue_model {
 public:
  queue_model(std::uint64_t seed, fair_queue_test_faults faults)
      : random_(seed), queue_({customer_bound, total_bound}, faults) {
    const auto count = 2 + random_() % 4;
    customer_weights weights;
    for (std::uint64_t i = 0; i < count; ++i) {
      const customer_id id{"customer-" + std::to_string(i)};
      const auto weight = static_cast<double>(1 + random_() % 16) / 2;
      weights[id] = weight;
      customers_.push_back({id, weight, {}, 0});
    }
    queue_.set_weights(weights);
    restart_observation();
  }

  void push() {
    auto& each = customers_[random_() % customers_.size()];
    const pending_statement added{queue_ticket{++tickets_}, random_() % 4 == 0,
                                  1 + static_cast<std::uint32_t>(random_() % cost_max)};
    const bool is_idle = each.pending.empty();
    const auto pushed = queue_.push(
        {added.ticket, each.id, request_class::read, now_ + hours{1}, added.is_in_transaction, added.cost},
        now_);
    const bool has_room = each.pending.size() < customer_bound && total() < total_bound;
    if (pushed.has_value() != has_room)
      fail("the queue refused a statement below its bounds or exceeded a bound");
    if (!pushed && !pushed.error().retry_after) fail("a refusal has no retry time");
    if (!pushed) return;
    each.pending.push_back(added);
    // The fairness bound holds only between customers that are backlogged all the time.
    if (is_idle) restart_observation();
  }

  void pop(pop_from from) {
    const auto ticket = queue_.pop(request_class::read, from, now_);
    const bool is_expected = std::any_of(customers_.begin(), customers_.end(), [&](const auto& each) {
      return std::any_of(each.pending.begin(), each.pending.end(), [&](const auto& statement) {
        return from == pop_from::all || statement.is_in_transaction;
      });
    });
    if (ticket.has_value() != is_expected) fail("a permitted statement was not taken");
    if (!ticket) return;
    for (auto& each : customers_) take(each, *ticket, from);
    // While only transactions may run, service is not fair by design.
    if (from == pop_from::transactions) restart_observation();
    check_fairness();
  }

  void remove() {
    auto& each = customers_[random_() % customers_.size()];
    if (each.pending.empty()) return;
    const auto index = static_cast<std::ptrdiff_t>(random_() % each.pending.size());
    if (!queue_.remove((each.pending.begin() + index)->ticket)) fail("a queued statement was not found");
    each.pending.erase(each.pending.begin() + index);
    if (each.pending.empty()) restart_observation();
  }

  [[nodiscard]] std::size_t total() const {
    std::size_t sum = 0;
    for (const auto& each : customers_) sum += each.pending.size();
    return sum;
  }
  [[nodiscard]] const std::string& failure() const { return failure_; }

 private:
  void fail(const char* what) {
    if (failure_.empty()) failure_ = what;
  }

  void restart_observation() {
    for (auto& each : customers_) each.served = 0;
  }

  void take(observed_customer& each, queue_ticket ticket, pop_from from) {
    const auto it = std::find_if(each.pending.begin(), each.pending.end(),
                                 [ticket](const auto& statement) { return statement.ticket == ticket; });
    if (it == each.pending.end()) return;
    if (from == pop_from::transactions && !it->is_in_transaction)
      fail("a statement outside a transaction was taken");
    // Statements of transactions go first, and statements of each kind run in order of arrival.
    const bool is_first = std::none_of(each.pending.begin(), each.pending.end(), [&](const auto& other) {
      if (other.is_in_transaction != it->is_in_transaction) return other.is_in_transaction;
      return other.ticket < it->ticket;
    });
    if (!is_first) fail("the statements of a customer were taken out of order");
    each.served += static_cast<double>(it->cost) / each.weight;
    each.pending.erase(it);
    if (each.pending.empty()) restart_observation();
  }

  void check_fairness() {
    for (const auto& a : customers_) {
      for (const auto& b : customers_) {
        if (a.pending.empty() || b.pending.empty()) continue;
        const double bound =
            static_cast<double>(cost_max) / a.weight + static_cast<double>(cost_max) / b.weight;
        if (std::abs(a.served - b.served) > bound + 1e-6) fail("the fairness bound was exceeded");
      }
    }
  }

  std::mt19937_64 random_;
  time_point now_{seconds{1'000}};
  fair_queue queue_;
  std::vector<observed_customer> customers_;
  std::uint64_t tickets_ = 0;
  std::string failure_;
};

std::string failure_of(std::uint64_t seed, const std::vector<std::uint8_t>& commands,
                       fair_queue_test_faults faults = {}) {
  queue_model model{seed, faults};
  for (const auto command : commands) {
    const auto kind = command % 20;
    if (kind < 11) {
      model.push();
    } else if (kind < 18) {
      model.pop(pop_from::all);
    } else if (kind == 18) {
      model.pop(pop_from::transactions);
    } else {
      model.remove();
    }
    if (!model.failure().empty()) return model.failure();
  }
  // No statement starves: the queue can be drained.
  while (model.total() > 0 && model.failure().empty()) model.pop(pop_from::all);
  return model.failure();
}

bool is_detected(fair_queue_test_faults faults) {
  std::mt19937_64 random{20261204};
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::vector<std::uint8_t> commands(600);
    for (auto& each : commands) each = static_cast<std::uint8_t>(random());
    if (!failure_of(seed, commands, faults).empty()) return true;
  }
  return false;
}

// Guards against starvation, unfair service, queues beyond their bounds and
// statements of one customer that overtake each other.
TEST_CASE("the queue is fair, bounded and in order") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto commands = *rc::gen::container<std::vector<std::uint8_t>>(
        600, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint8_t>()));
    const auto failure = failure_of(seed, commands);
    if (!failure.empty()) RC_FAIL(failure);
  }));
}

// Guards against an oracle that misses a fault.
TEST_CASE("the oracle notices each broken rule of the queue") {
  CHECK_FALSE(is_detected({}));
  CHECK(is_detected({.ignores_weights = true}));
  CHECK(is_detected({.ignores_bounds = true}));
  CHECK(is_detected({.blocks_transactions = true}));
}

}  // namespace
}  // namespace bulrushlift
