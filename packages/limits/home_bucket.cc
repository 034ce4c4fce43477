#include "limits/home_bucket.h"

#include <algorithm>
#include <utility>

namespace bulrushlift {
namespace {

// The bucket gains one second's rate in this time. A local clock may be up to 1 % fast and
// count 1.01 s in a second; the bucket must not be refilled faster than its rate then.
constexpr duration refill_period = std::chrono::milliseconds{1'010};

}  // namespace

home_bucket::home_bucket(const budget_options& options, const budget_test_faults& faults)
    : outstanding_time_(options.outstanding_time()),
      window_(options.window),
      faults_(faults),
      history_(
          faults.raises_at_once ? duration::zero() : options.raise_delay(),
          faults.raises_at_once ? duration::zero() : options.start_delay.value_or(options.raise_delay())),
      restart_limit_fraction_(options.restart_limit_fraction),
      restart_tokens_(options.restart_tokens) {
  if (options.window > duration::zero()) limiter_.emplace(options.window);
}

void home_bucket::set_share(const budget_share& total, home_position position, time_point now) {
  if (is_new_) refilled_until_ = now;
  advance_to(now);
  history_.push(total, position, now);
  homes_ = position.homes;
  apply_share(now);
  if (is_new_ && faults_.starts_full) level_ = share_of(total, position).capacity;
  is_new_ = false;
}

void home_bucket::advance_to(time_point now) {
  if (is_new_ || now <= refilled_until_) return;
  // Each expiry of a loan and each rise of the share changes the free capacity or the rate,
  // so the bucket is refilled up to each of these times in turn.
  while (true) {
    auto next = now;
    if (!loans_.empty()) next = std::min(next, loans_.front().expires);
    if (const auto change = history_.next_change()) next = std::min(next, *change);
    refill_until(next);
    drop_expired(next);
    apply_share(next);
    if (next >= now) return;
  }
}

void home_bucket::refill_until(time_point when) {
  if (limiter_) limiter_->advance_to(when);
  if (limiter_ || when <= refilled_until_) return;
  const auto elapsed = when - refilled_until_;
  refilled_until_ = when;
  const auto free_capacity = share_.capacity - level_ - outstanding_;
  if (free_capacity <= millitokens{}) {
    remainder_ = 0;
    return;
  }
  const auto rate = share_.rate_per_second.value();
  const auto period = refill_period.count();
  const auto part = rate * (elapsed % refill_period).count() + remainder_;
  const millitokens refilled{rate * (elapsed / refill_period) + part / period};
  remainder_ = refilled < free_capacity ? part % period : 0;
  level_ += std::min(refilled, free_capacity);
}

void home_bucket::drop_expired(time_point now) {
  while (!loans_.empty() && loans_.front().expires <= now) {
    outstanding_ -= loans_.front().amount - loans_.front().used;
    loans_.pop_front();
  }
}

void home_bucket::apply_share(time_point now) {
  const auto share = history_.effective(now);
  if (share == share_) return;
  share_ = share;
  if (limiter_) {
    limiter_->set_share(share, now);
    if (!std::exchange(has_started_, true)) limiter_->set_start_level(restart_allowance());
    return;
  }
  const auto free_capacity = std::max(millitokens{}, share_.capacity - outstanding_);
  level_ = std::min(level_, free_capacity);
}

millitokens home_bucket::lendable(millitokens amount) const {
  if (amount <= level() || !limiter_) return std::min(amount, level());
  return whole_tokens(level().value() / whole_tokens(1).value());
}

millitokens home_bucket::restart_allowance() const {
  const auto limit = static_cast<double>(limit_in_window(share_, window_).value());
  const auto part = millitokens{static_cast<std::int64_t>(restart_limit_fraction_ * limit)};
  return part + millitokens{restart_tokens_.value() / std::max<std::int64_t>(homes_, 1)};
}

millitokens home_bucket::take_until(millitokens amount, time_point spent_by) {
  const auto taken = std::min(amount, level());
  if (limiter_) {
    limiter_->take(taken, spent_by);
  } else {
    level_ -= taken;
  }
  return taken;
}

millitokens home_bucket::lend(loan_id id, const vm_id& borrower, incarnation_id incarnation,
                              millitokens amount, time_point now) {
  const auto expires = now + outstanding_time_;
  // Admissions that are older than any window are not counted.
  const auto spent_by = faults_.forgets_outstanding ? time_point{} : expires;
  const auto lent = take_until(lendable(std::max(amount, millitokens{})), spent_by);
  if (lent == millitokens{} || faults_.forgets_outstanding) return lent;
  loans_.push_back({id, borrower, incarnation, lent, millitokens{}, expires});
  outstanding_ += lent;
  return lent;
}

void home_bucket::report_use(const loan_use& use, const vm_id& borrower, incarnation_id incarnation) {
  const auto it = std::lower_bound(loans_.begin(), loans_.end(), use.loan,
                                   [](const loan& each, loan_id id) { return each.id < id; });
  if (it == loans_.end() || it->id != use.loan) return;
  if (it->borrower != borrower || it->incarnation != incarnation) return;
  const auto used = std::min(use.used, it->amount);
  if (used <= it->used) return;
  outstanding_ -= used - it->used;
  it->used = used;
}

std::optional<duration> home_bucket::time_to_reach(millitokens amount) const {
  if (limiter_) return limiter_->time_to_reach(amount);
  if (amount <= level_) return duration::zero();
  const auto rate = share_.rate_per_second.value();
  if (rate <= 0 || amount + outstanding_ > share_.capacity) return std::nullopt;
  const auto missing = (amount - level_).value();
  const auto seconds = missing / rate;
  const auto rest = (missing % rate) * refill_period.count() / rate;
  return refill_period * seconds + duration{rest + 1};
}

}  // namespace bulrushlift
