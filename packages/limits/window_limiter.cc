#include "limits/window_limiter.h"

#include <algorithm>
#include <cmath>

namespace bulrushlift {
namespace {

// Admissions are counted in slots of this part of the window. A slot leaves the window as a whole,
// after its newest admission.
constexpr int slots_per_window = 100;

// A local clock may be up to 1 % fast, so admissions are counted this much longer.
constexpr int clock_error_divisor = 100;

// Bounds of the part of the limit that the bucket can hold.
constexpr double max_burst_fraction = 0.4;
constexpr double min_burst_fraction = 0.1;

// A bucket below the cost of a request would refuse all requests of a customer with a low rate.
constexpr auto min_capacity = whole_tokens(2);

// Windows in which the bucket's capacity changes from one bound to the other.
constexpr double adaptation_windows = 2;

// Part of the limit above which a bucket of the largest capacity refills more slowly, at this part of
// its rate. The rest of the limit then lasts until a first burst leaves the window.
constexpr double slow_refill_use = 0.75;
constexpr double slow_refill = 0.5;

// Part of the rate in the first window. An earlier process may have admitted the whole limit just
// before; what both admit then exceeds the limit by little.
constexpr double first_window_refill = 0.6;

// The capacity falls while the level is below the lower of these parts of it, and rises above the
// upper one.
constexpr double low_level = 0.25;
constexpr double high_level = 0.75;

double seconds_of(duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

millitokens limit_in_window(const budget_share& share, duration window) {
  const auto in_window = static_cast<double>(share.rate_per_second.value()) * seconds_of(window);
  return millitokens{std::llround(in_window)} + share.capacity;
}

budget_share window_limiter::relaxed_bucket(const budget_share& share, duration window) {
  const auto limit = static_cast<double>(limit_in_window(share, window).value());
  return {millitokens{std::llround(limit / seconds_of(window))},
          millitokens{std::llround(max_burst_fraction * limit)}};
}

window_limiter::window_limiter(duration window)
    : window_(window), slot_(window / slots_per_window), burst_fraction_(max_burst_fraction) {}

std::int64_t window_limiter::slot_of(time_point when) const { return when.time_since_epoch() / slot_; }

time_point window_limiter::end_of(std::int64_t slot) const {
  return time_point{slot_ * (slot + 1)} + window_ + window_ / clock_error_divisor;
}

double window_limiter::capacity() const {
  const auto least = std::min(min_capacity, limit_);
  return std::max(burst_fraction_ * static_cast<double>(limit_.value()), static_cast<double>(least.value()));
}

millitokens window_limiter::room() const {
  if (counted_earlier_ == millitokens{}) return limit_ - counted_;
  return std::min(limit_ - (counted_ - counted_earlier_), earlier_limit_ - counted_);
}

double window_limiter::rate_per_second() const {
  const auto limit = static_cast<double>(limit_.value());
  const auto even_rate = limit / seconds_of(window_);
  if (first_window_end_ && advanced_to_ < *first_window_end_) return even_rate * first_window_refill;
  if (static_cast<double>(room().value()) > (1 - slow_refill_use) * limit) return even_rate;
  const auto burstiness = (burst_fraction_ - min_burst_fraction) / (max_burst_fraction - min_burst_fraction);
  return even_rate * (1 - (1 - slow_refill) * burstiness);
}

void window_limiter::set_share(const budget_share& share, time_point now) {
  advance_to(now);
  const auto limit = limit_in_window(share, window_);
  if (limit < limit_ && counted_ > millitokens{}) {
    earlier_limit_ = counted_earlier_ > millitokens{} ? std::max(limit_, earlier_limit_) : limit_;
    counted_earlier_ = counted_;
    lowered_in_slot_ = admitted_.rbegin()->first;
  }
  limit_ = limit;
  earlier_limit_ = std::max(earlier_limit_, limit_);
  if (!first_window_end_ && limit_ > millitokens{}) first_window_end_ = now + window_;
  level_ = std::min(level_, capacity());
}

void window_limiter::set_start_level(millitokens allowance) {
  level_ = std::min(static_cast<double>(allowance.value()), capacity());
}

void window_limiter::advance_to(time_point now) {
  if (advanced_to_ == time_point{}) advanced_to_ = now;
  while (advanced_to_ < now) {
    // Each slot that leaves the window may change the rate, so the bucket is refilled up to each.
    const auto next = admitted_.empty() ? now : std::min(now, end_of(admitted_.begin()->first));
    refill_until(next);
    drop_until(next);
  }
  // What the window has no room for does not accrue, or it would be admitted at once later.
  level_ = std::clamp(level_, 0.0, std::max(0.0, static_cast<double>(room().value())));
}

void window_limiter::refill_until(time_point when) {
  if (when <= advanced_to_) return;
  const auto seconds = seconds_of(when - advanced_to_);
  advanced_to_ = when;
  const auto most = std::min(capacity(), std::max(0.0, static_cast<double>(room().value())));
  level_ = std::min(level_ + rate_per_second() * seconds, most);
  adapt(seconds);
}

void window_limiter::drop_until(time_point when) {
  while (!admitted_.empty() && end_of(admitted_.begin()->first) <= when) {
    const auto& [slot, amount] = *admitted_.begin();
    counted_ -= amount;
    if (slot <= lowered_in_slot_) counted_earlier_ -= std::min(amount, counted_earlier_);
    admitted_.erase(admitted_.begin());
  }
}

void window_limiter::adapt(double seconds) {
  const auto step =
      (max_burst_fraction - min_burst_fraction) * seconds / (adaptation_windows * seconds_of(window_));
  if (level_ < low_level * capacity()) {
    burst_fraction_ = std::max(min_burst_fraction, burst_fraction_ - step);
  } else if (level_ > high_level * capacity()) {
    burst_fraction_ = std::min(max_burst_fraction, burst_fraction_ + step);
  }
}

millitokens window_limiter::available() const {
  return std::max(millitokens{}, std::min(millitokens{static_cast<std::int64_t>(level_)}, room()));
}

void window_limiter::take(millitokens amount, time_point counted_at) {
  level_ -= static_cast<double>(amount.value());
  counted_ += amount;
  admitted_[slot_of(counted_at)] += amount;
}

std::optional<duration> window_limiter::time_to_reach(millitokens amount) const {
  if (amount <= available()) return duration::zero();
  if (static_cast<double>(amount.value()) > capacity() || limit_ <= millitokens{}) return std::nullopt;
  const auto missing = static_cast<double>(amount.value()) - level_;
  const std::chrono::duration<double> refill{std::max(0.0, missing) / rate_per_second()};
  // Without room in the window, the next slot that leaves it is waited for.
  const auto wait = std::chrono::duration_cast<duration>(refill) + duration{1};
  return amount > room() ? std::max(wait, slot_) : wait;
}

}  // namespace bulrushlift
