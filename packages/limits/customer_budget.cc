#include "limits/customer_budget.h"

#include <algorithm>
#include <cmath>
#include <iterator>
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

// Largest reserve for urgent requests, as a divisor of what a home VM admits in a window, or of its
// capacity if there is no window. The least capacity of a window's bucket is twice as large.
constexpr std::int64_t window_reserve_divisor = 20;
constexpr std::int64_t capacity_reserve_divisor = 8;

}  // namespace

customer_budget::customer_budget(customer_id customer, budget_context& context)
    : customer_(std::move(customer)),
      context_(&context),
      bucket_(context.options, context.faults),
      homes_(context.self, context.options),
      demand_(context.options.demand_window),
      reserve_(context.options.demand_window) {}

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

millitokens customer_budget::reserved_tokens(time_point now) {
  const auto window = context_->options.window;
  const auto most = window > duration::zero()
                        ? limit_in_window(bucket_.share(), window).value() / window_reserve_divisor
                        : bucket_.share().capacity.value() / capacity_reserve_divisor;
  return reserve_.amount(millitokens{most}, now);
}

millitokens customer_budget::available_tokens(int priority, time_point now) {
  const auto all = available_tokens(now);
  if (is_urgent(priority)) return all;
  // Borrowed tokens expire soon, so none of them is reserved.
  return all - std::min(bucket_.level(), reserved_tokens(now));
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
                                 budget_actions& actions, int priority) {
  if (cost > largest_cost()) {
    return refused{error{error_kind::over_burst,
                         "the cost of the request exceeds the burst of customer " + customer_.str()}};
  }
  demand_.add(cost, now);
  reserve_.on_demand(priority, cost, now);
  if (!waiting_.empty()) process_waiting(now, random, actions);
  const auto held = available_tokens(now);
  if (waiting_.empty() && available_tokens(priority, now) >= cost) {
    spend(cost, now);
    reserve_.on_served(priority, cost, now);
    return admitted{};
  }
  const auto missing = waiting_cost_ + cost - held;
  while (!has_room_to_wait(cost)) {
    if (is_urgent(priority) && displace_waiting(now, actions)) continue;
    reserve_.on_refused(now);
    return refused{over_rate_error(missing)};
  }
  const budget_ticket ticket{context_->allocate_number()};
  waiting_.push_back({ticket, cost, now + context_->options.loan_wait, priority});
  waiting_cost_ += cost;
  process_waiting(now, random, actions);
  return waits_for_loan{ticket};
}

bool customer_budget::has_room_to_wait(millitokens cost) const {
  // Loans never provide more tokens than the burst.
  return waiting_.size() < context_->options.waiting_bound && waiting_cost_ + cost <= largest_cost();
}

bool customer_budget::displace_waiting(time_point now, budget_actions& actions) {
  if (!reserve_.is_active(now) || reserve_.is_turn_of_others()) return false;
  const auto newest = std::find_if(waiting_.rbegin(), waiting_.rend(),
                                   [](const waiting_request& each) { return !is_urgent(each.priority); });
  if (newest == waiting_.rend()) return false;
  refuse(std::next(newest).base(), now, actions);
  return true;
}

void customer_budget::refuse(const waiting_requests::iterator& it, time_point now, budget_actions& actions) {
  actions.emplace_back(refuse_request{it->ticket, over_rate_error(waiting_cost_ - available_tokens(now))});
  reserve_.on_refused(now);
  waiting_cost_ -= it->cost;
  waiting_.erase(it);
}

customer_budget::waiting_requests::iterator customer_budget::next_waiting(time_point now) {
  if (!reserve_.is_active(now)) return waiting_.begin();
  const auto it = std::find_if(waiting_.begin(), waiting_.end(), [&](const waiting_request& each) {
    return is_urgent(each.priority) != reserve_.is_turn_of_others();
  });
  return it == waiting_.end() ? waiting_.begin() : it;
}

millitokens customer_budget::urgent_waiting_cost(time_point now) const {
  millitokens sum;
  if (!reserve_.is_active(now)) return sum;
  for (const auto& each : waiting_) {
    if (is_urgent(each.priority)) sum += each.cost;
  }
  return sum;
}

void customer_budget::cancel(budget_ticket ticket) {
  const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                               [ticket](const waiting_request& each) { return each.ticket == ticket; });
  if (it == waiting_.end()) return;
  waiting_cost_ -= it->cost;
  waiting_.erase(it);
}

millitokens customer_budget::lendable_amount(const loan_request& request, time_point now) {
  const auto urgent = std::clamp(request.urgent, millitokens{}, std::max(request.amount, millitokens{}));
  if (urgent > millitokens{}) reserve_.on_borrower_demand(urgent, now);
  if (!reserve_.is_active(now)) return request.amount;
  const auto unreserved = std::max(millitokens{}, bucket_.level() - urgent - reserved_tokens(now));
  if (request.amount - urgent <= unreserved) return request.amount;
  // Parts of a token that are lent expire before the borrower has collected a whole one.
  return urgent + whole_tokens(unreserved.value() / whole_tokens(1).value());
}

loan_reply customer_budget::lend(const loan_request& request, time_point now) {
  bucket_.advance_to(now);
  for (const auto& use : request.used) bucket_.report_use(use, request.sender, request.incarnation);
  const loan_id loan{context_->allocate_number()};
  const auto amount = lendable_amount(request, now);
  const auto lent = bucket_.lend(loan, request.sender, request.incarnation, amount, now);
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
  if (!waiting_.empty()) {
    request_loans(now, random, actions);
    request_urgent_loan(now, random, actions);
  }
  set_timer(now);
}

void customer_budget::resume_waiting(time_point now, budget_actions& actions) {
  while (!waiting_.empty()) {
    const auto it = next_waiting(now);
    if (available_tokens(it->priority, now) < it->cost) return;
    spend(it->cost, now);
    reserve_.on_served(it->priority, it->cost, now);
    waiting_cost_ -= it->cost;
    actions.emplace_back(resume_request{it->ticket});
    waiting_.erase(it);
  }
}

void customer_budget::refuse_expired(time_point now, budget_actions& actions) {
  while (!waiting_.empty() && waiting_.front().deadline <= now) refuse(waiting_.begin(), now, actions);
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
    send_request(*home, missing, now, actions);
    missing -= expected;
  }
}

millitokens customer_budget::missing_urgent(time_point now) {
  const auto cost = urgent_waiting_cost(now);
  // What several home VMs lend for the same request would expire.
  return cost == millitokens{} ? cost : cost - available_tokens(now) - homes_.pending_urgent();
}

void customer_budget::request_urgent_loan(time_point now, std::uint64_t random, budget_actions& actions) {
  const auto missing = missing_urgent(now);
  if (missing <= millitokens{}) return;
  const auto home = homes_.choose_for_urgent(now, context_->unreachable, random);
  if (home) send_request(*home, missing, now, actions);
}

void customer_budget::send_request(const vm_id& home, millitokens amount, time_point now,
                                   budget_actions& actions) {
  const auto expected = std::min(amount, homes_.expected_level(home, now));
  loan_request request{loan_request_id{context_->allocate_number()},
                       context_->self,
                       context_->incarnation,
                       customer_,
                       amount,
                       borrowed_tokens_.uses_of(home, now),
                       std::clamp(missing_urgent(now), millitokens{}, amount)};
  homes_.on_request_sent(home, request, expected, now);
  actions.emplace_back(send_loan_request{home, std::move(request)});
}

void customer_budget::set_timer(time_point now) {
  next_timer_.reset();
  if (waiting_.empty()) return;
  auto next = waiting_.front().deadline;
  const auto first = next_waiting(now);
  if (const auto change = homes_.next_change(now, context_->unreachable)) next = std::min(next, *change);
  const auto kept = is_urgent(first->priority) ? millitokens{} : reserved_tokens(now);
  const auto from_level = first->cost + kept - borrowed_tokens_.available(now);
  if (const auto wait = bucket_.time_to_reach(from_level)) next = std::min(next, now + *wait);
  // Home VMs in their back-off may be asked for urgent requests.
  if (urgent_waiting_cost(now) > millitokens{}) next = std::min(next, now + context_->options.retry_pause);
  next_timer_ = std::max(next, now + std::chrono::microseconds{100});
}

budget_snapshot customer_budget::snapshot(time_point now) {
  bucket_.advance_to(now);
  return {bucket_.level(),       borrowed_tokens_.available(now),
          bucket_.outstanding(), demand_.sum(now),
          waiting_.size(),       std::min(bucket_.level(), reserved_tokens(now))};
}

}  // namespace bulrushlift
