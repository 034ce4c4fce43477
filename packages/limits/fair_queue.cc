#include "limits/fair_queue.h"

#include <algorithm>
#include <utility>

namespace bulrushlift {
namespace {

// Virtual time of one unit of cost at weight 1. At a weight of 1000 the quotient still has
// three digits.
constexpr double cost_scale = 1'000'000;
constexpr double weight_min = 0.001;

}  // namespace

fair_queue::fair_queue(fair_queue_options options, fair_queue_test_faults faults)
    : options_(options), faults_(faults) {
  for (auto& queue : queues_) queue.service_time = options_.initial_service_time;
}

void fair_queue::set_weights(customer_weights weights) { weights_ = std::move(weights); }

void fair_queue::set_slots(request_class kind, std::size_t slots) { queue_of(kind).slots = slots; }

fair_queue::class_queue& fair_queue::queue_of(request_class kind) noexcept {
  return queues_[static_cast<std::size_t>(kind)];
}

const fair_queue::class_queue& fair_queue::queue_of(request_class kind) const noexcept {
  return queues_[static_cast<std::size_t>(kind)];
}

double fair_queue::weight_of(const customer_id& customer) const {
  if (faults_.ignores_weights) return 1;
  const auto it = weights_.find(customer);
  return it == weights_.end() ? 1 : std::max(it->second, weight_min);
}

std::size_t fair_queue::size(const customer_id& customer) const {
  std::size_t sum = 0;
  for (const auto& queue : queues_) {
    const auto it = queue.flows.find(customer);
    if (it != queue.flows.end()) sum += it->second.size();
  }
  return sum;
}

duration fair_queue::expected_time(const customer_id& customer, request_class kind) const {
  const auto& queue = queue_of(kind);
  const auto own_flow = queue.flows.find(customer);
  const std::uint64_t ahead = own_flow == queue.flows.end() ? 0 : own_flow->second.size();
  const double own_weight = weight_of(customer);
  // Until the customer's own statements and this one have run, each other customer runs at
  // most as many statements as its weight allows in relation.
  std::uint64_t statements = ahead + 1;
  for (const auto& [other, backlog] : queue.flows) {
    if (other == customer) continue;
    const auto share =
        static_cast<std::uint64_t>(static_cast<double>(ahead + 1) * weight_of(other) / own_weight) + 1;
    statements += std::min<std::uint64_t>(backlog.size(), share);
  }
  const auto slots = std::max<std::uint64_t>(queue.slots, 1);
  const auto rounds = (statements + slots - 1) / slots;
  return queue.service_time * static_cast<std::int64_t>(rounds);
}

std::optional<error> fair_queue::refusal(const queued_statement& statement, time_point now) const {
  const auto& queue = queue_of(statement.kind);
  const auto refuse = [](const char* message, duration after) {
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(after);
    return error{error_kind::overloaded, message, std::max(ms, std::chrono::milliseconds{1})};
  };
  const auto expected = expected_time(statement.customer, statement.kind);
  if (!faults_.ignores_bounds) {
    if (size(statement.customer) >= options_.customer_bound) {
      return refuse("the customer's statement queue is full", expected);
    }
    if (total_ >= options_.total_bound) return refuse("the service's statement queue is full", expected);
  }
  if (statement.deadline <= now) return refuse("the statement's deadline has passed", duration{});
  if (queue.slots > 0 && now + expected > statement.deadline) {
    return refuse("the statement is not expected to finish before its deadline",
                  now + expected - statement.deadline);
  }
  return std::nullopt;
}

result<void> fair_queue::push(queued_statement statement, time_point now) {
  if (auto reason = refusal(statement, now)) return tl::unexpected<error>(std::move(*reason));
  auto& queue = queue_of(statement.kind);
  auto& each = queue.flows[statement.customer];
  if (each.size() == 0) each.start_tag = std::max(queue.now, each.finish_tag);
  const bool uses_transactions_subqueue = statement.is_in_transaction && !faults_.blocks_transactions;
  auto& subqueue = uses_transactions_subqueue ? each.transactions : each.others;
  subqueue.push_back(std::move(statement));
  ++total_;
  return {};
}

std::optional<queue_ticket> fair_queue::pop(request_class kind, pop_from from, time_point now) {
  auto& queue = queue_of(kind);
  // Statements past their deadline stay for `expire`, which reports them.
  const auto first_of = [&](std::deque<queued_statement>& subqueue) {
    return std::find_if(subqueue.begin(), subqueue.end(),
                        [now](const queued_statement& each) { return each.deadline > now; });
  };
  flow* best = nullptr;
  std::deque<queued_statement>* best_subqueue = nullptr;
  for (auto& [customer, each] : queue.flows) {
    // A statement that was held back because no connection was free has a start tag below the
    // virtual time. If it kept that tag, its customer would catch up at the expense of the
    // customers whose transactions went on.
    each.start_tag = std::max(each.start_tag, queue.now);
    if (best != nullptr && best->start_tag <= each.start_tag) continue;
    std::deque<queued_statement>* subqueue = nullptr;
    if (first_of(each.transactions) != each.transactions.end()) {
      subqueue = &each.transactions;
    } else if (from == pop_from::all && first_of(each.others) != each.others.end()) {
      subqueue = &each.others;
    }
    if (subqueue == nullptr) continue;
    best = &each;
    best_subqueue = subqueue;
  }
  if (best == nullptr) return std::nullopt;
  const auto it = first_of(*best_subqueue);
  const auto ticket = it->ticket;
  const auto cost = std::max<std::uint32_t>(it->cost, 1);
  queue.now = best->start_tag;
  best->finish_tag = best->start_tag + static_cast<virtual_time>(cost * cost_scale / weight_of(it->customer));
  best->start_tag = best->finish_tag;
  best_subqueue->erase(it);
  --total_;
  remove_idle_flows(queue);
  return ticket;
}

void fair_queue::remove_idle_flows(class_queue& queue) {
  // A finish tag at or below the virtual time no longer affects any start tag.
  std::erase_if(queue.flows, [&](const auto& each) {
    return each.second.size() == 0 && each.second.finish_tag <= queue.now;
  });
}

template <class Predicate>
std::vector<queue_ticket> fair_queue::remove_if(Predicate&& predicate) {
  std::vector<queue_ticket> removed;
  const auto is_removed = [&](const queued_statement& each) {
    if (!predicate(each)) return false;
    removed.push_back(each.ticket);
    return true;
  };
  for (auto& queue : queues_) {
    for (auto& [customer, each] : queue.flows) {
      std::erase_if(each.transactions, is_removed);
      std::erase_if(each.others, is_removed);
    }
    remove_idle_flows(queue);
  }
  total_ -= removed.size();
  return removed;
}

bool fair_queue::remove(queue_ticket ticket) {
  return !remove_if([ticket](const queued_statement& each) { return each.ticket == ticket; }).empty();
}

std::vector<queue_ticket> fair_queue::expire(time_point now) {
  return remove_if([now](const queued_statement& each) { return each.deadline <= now; });
}

std::optional<time_point> fair_queue::next_deadline() const {
  std::optional<time_point> next;
  const auto consider = [&next](const queued_statement& each) {
    if (!next || each.deadline < *next) next = each.deadline;
  };
  for (const auto& queue : queues_) {
    for (const auto& [customer, each] : queue.flows) {
      std::for_each(each.transactions.begin(), each.transactions.end(), consider);
      std::for_each(each.others.begin(), each.others.end(), consider);
    }
  }
  return next;
}

void fair_queue::on_finished(request_class kind, duration service_time) {
  // Moving average with weight 1/8, which follows a change within about ten statements.
  auto& average = queue_of(kind).service_time;
  average += (service_time - average) / 8;
}

}  // namespace bulrushlift
