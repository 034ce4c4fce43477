#include "limits/customer_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushlift {
namespace {

/// @return a lower bound of the demand in the next window that is exceeded with a
///   probability of about 98 %: the demand less two standard deviations, where the standard
///   deviation of a count of independent requests is its square root. Tokens borrowed
///   beyond it often expire unused, which costs customers with few requests.
millitokens near_certain_demand(millitokens demand) {
  const double tokens = static_cast<double>(demand.value()) / 1'000;
  const double near_certain = std::max(0.0, tokens - 2 * std::sqrt(tokens));
  return millitokens{static_cast<std::int64_t>(near_certain * 1'000)};
}

}  // namespace

customer_budget::customer_budget(customer_id customer, budget_context& context)
    : customer_(std::move(customer)),
      context_(&context),
      bucket_(context.options, context.faults),
      homes_(context.self, context.options),
      demand_(context.options.demand_window) {}

void customer_budget::set_share(const budget_share& customer_share, const std::vector<vm_id>& homes,
                                time_point now) {
  customer_share_ = customer_share;
  const auto count = static_cast<std::int64_t>(homes.size());
  const auto it = std::find(homes.begin(), homes.end(), context_->self);
  const auto position = it == homes.end() ? home_position{} : home_position{it - homes.begin(), count};
  bucket_.set_share(customer_share, position, now);
  homes_.set_homes(homes, share_of(relaxed_bucket(), {0, count}));
}

budget_share customer_budget::relaxed_bucket() const {
  const auto window = context_->options.window;
  return window > duration::zero() ? window_limiter::relaxed_bucket(customer_share_, window)
                                   : customer_share_;
}

millitokens customer_budget::largest_cost() const {
  const auto window = context_->options.window;
  return window > duration::zero() ? limit_in_window(customer_share_, window) : customer_share_.capacity;
}

millitokens customer_budget::available_tokens(time_point now) {
  bucket_.advance_to(now);
  return bucket_.level() + borrowed_tokens_.available(now);
}

void customer_budget::spend(millitokens cost, time_point now) {
  // Borrowed tokens are spent first because they expire and the own bucket's do not.
  const auto borrowed = borrowed_tokens_.take(cost, now);
  bucket_.take(cost - borrowed, now);
}

error customer_budget::over_rate_error(millitokens missing) const {
  const auto rate = std::max<std::int64_t>(customer_share_.rate_per_second.value(), 1);
  const auto ms = std::clamp<std::int64_t>(
      missing.value() / rate * 1'000 + missing.value() % rate * 1'000 / rate, 1, 3'600'000);
  return error{error_kind::over_rate, "customer " + customer_.str() + " is over its rate",
               std::chrono::milliseconds{ms}};
}

admission customer_budget::admit(millitokens cost, time_point now, std::uint64_t random,
                                 budget_actions& actions) {
  if (cost > largest_cost()) {
    return refused{error{error_kind::over_burst,
                         "the cost of the request exceeds the burst of customer " + customer_.str()}};
  }
  demand_.add(cost, now);
  if (!waiting_.empty()) process_waiting(now, random, actions);
  const auto held = available_tokens(now);
  if (waiting_.empty() && held >= cost) {
    spend(cost, now);
    return admitted{};
  }
  const auto missing = waiting_cost_ + cost - held;
  // Loans never provide more tokens than the burst.
  if (waiting_.size() >= context_->options.waiting_bound || waiting_cost_ + cost > largest_cost()) {
    return refused{over_rate_error(missing)};
  }
  const budget_ticket ticket{context_->allocate_number()};
  waiting_.push_back({ticket, cost, now + context_->options.loan_wait});
  waiting_cost_ += cost;
  process_waiting(now, random, actions);
  return waits_for_loan{ticket};
}

void customer_budget::cancel(budget_ticket ticket) {
  const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                               [ticket](const waiting_request& each) { return each.ticket == ticket; });
  if (it == waiting_.end()) return;
  waiting_cost_ -= it->cost;
  waiting_.erase(it);
}

loan_reply customer_budget::lend(const loan_request& request, time_point now) {
  bucket_.advance_to(now);
  for (const auto& use : request.used) bucket_.report_use(use, request.sender, request.incarnation);
  const loan_id loan{context_->allocate_number()};
  const auto lent = bucket_.lend(loan, request.sender, request.incarnation, request.amount, now);
  return {request.id, customer_, lent > millitokens{} ? loan : loan_id{}, lent, bucket_.level()};
}

void customer_budget::on_loan_reply(const vm_id& home, const loan_reply& reply, time_point now,
                                    budget_actions& actions) {
  const auto pending = homes_.on_reply(home, reply, now);
  if (!pending) return;
  borrowed_tokens_.forget_reported(home, pending->request.used);
  const auto counted_from = context_->faults.expires_from_receipt ? now : pending->sent_at;
  const auto expires = counted_from + context_->options.loan_lifetime;
  const auto amount = std::min(reply.amount, pending->request.amount);
  if (expires > now && amount > millitokens{}) borrowed_tokens_.add(home, reply.loan, amount, expires);
  process_waiting(now, reply.id.value(), actions);
}

void customer_budget::on_loan_failed(const vm_id& home, loan_request_id id, time_point now,
                                     budget_actions& actions) {
  homes_.on_request_failed(home, id, now);
  process_waiting(now, id.value(), actions);
}

void customer_budget::on_timer(time_point now, std::uint64_t random, budget_actions& actions) {
  process_waiting(now, random, actions);
}

void customer_budget::refuse_all(budget_actions& actions) {
  for (const auto& each : waiting_) {
    actions.emplace_back(refuse_request{
        each.ticket,
        error{error_kind::forbidden, "customer " + customer_.str() + " is not in the document"}});
  }
  waiting_.clear();
  waiting_cost_ = {};
}

void customer_budget::process_waiting(time_point now, std::uint64_t random, budget_actions& actions) {
  homes_.expire_requests(now);
  resume_waiting(now, actions);
  refuse_expired(now, actions);
  if (!waiting_.empty()) request_loans(now, random, actions);
  set_timer(now);
}

void customer_budget::resume_waiting(time_point now, budget_actions& actions) {
  while (!waiting_.empty() && available_tokens(now) >= waiting_.front().cost) {
    spend(waiting_.front().cost, now);
    waiting_cost_ -= waiting_.front().cost;
    actions.emplace_back(resume_request{waiting_.front().ticket});
    waiting_.pop_front();
  }
}

void customer_budget::refuse_expired(time_point now, budget_actions& actions) {
  while (!waiting_.empty() && waiting_.front().deadline <= now) {
    actions.emplace_back(
        refuse_request{waiting_.front().ticket, over_rate_error(waiting_cost_ - available_tokens(now))});
    waiting_cost_ -= waiting_.front().cost;
    waiting_.pop_front();
  }
  // The request that is now first may cost less than the refused one.
  resume_waiting(now, actions);
}

void customer_budget::request_loans(time_point now, std::uint64_t random, budget_actions& actions) {
  const auto held = available_tokens(now) + homes_.pending_amount();
  auto missing = std::max(waiting_cost_, near_certain_demand(demand_.sum(now))) - held;
  const auto shortfall = waiting_cost_ - held;
  while (missing > millitokens{}) {
    const auto home = homes_.choose(shortfall, now, context_->unreachable, random);
    if (!home) return;
    const auto expected = std::min(missing, homes_.expected_level(*home, now));
    loan_request request{loan_request_id{context_->allocate_number()},
                         context_->self,
                         context_->incarnation,
                         customer_,
                         missing,
                         borrowed_tokens_.uses_of(*home, now)};
    homes_.on_request_sent(*home, request, expected, now);
    actions.emplace_back(send_loan_request{*home, std::move(request)});
    missing -= expected;
  }
}

void customer_budget::set_timer(time_point now) {
  next_timer_.reset();
  if (waiting_.empty()) return;
  auto next = waiting_.front().deadline;
  if (const auto change = homes_.next_change(now, context_->unreachable)) next = std::min(next, *change);
  const auto from_level = waiting_.front().cost - borrowed_tokens_.available(now);
  if (const auto wait = bucket_.time_to_reach(from_level)) next = std::min(next, now + *wait);
  next_timer_ = std::max(next, now + std::chrono::microseconds{100});
}

budget_snapshot customer_budget::snapshot(time_point now) {
  bucket_.advance_to(now);
  return {bucket_.level(), borrowed_tokens_.available(now), bucket_.outstanding(), demand_.sum(now),
          waiting_.size()};
}

}  // namespace bulrushlift
