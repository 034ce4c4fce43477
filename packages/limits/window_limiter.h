#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "limits/tokens.h"

/// @file
/// Limits a customer to rate x window + burst operations in any span of the window.
///
/// Load pattern: a customer whose average demand is below its rate, but whose requests arrive in
/// clusters. A token bucket that keeps this limit at its peak rate has little capacity and
/// refuses the clusters. This limiter counts what was admitted in the window, which is exact, and
/// paces admissions by a bucket whose capacity follows the demand: after a time of low demand it
/// admits a large part of the limit at once, and under lasting excess demand it admits the
/// limit evenly, so that no customer waits for most of a window after its first burst.
///
/// A new limiter knows nothing of what an earlier process admitted. It starts with no more than a
/// stated allowance, and refills slowly during its first window.
///
///     window_limiter limiter{seconds{5}};
///     limiter.set_share({rate, burst}, now);
///     limiter.advance_to(now);
///     if (limiter.available() >= cost) limiter.take(cost, now);

namespace bulrushlift {

/// Admission of one customer's requests at one home VM. Not thread-safe.
class window_limiter {
 public:
  /// @param window span in which requests are counted; above zero.
  explicit window_limiter(duration window);

  /// Sets rate and burst. A lower limit counts what is admitted from now on; the limit before it
  /// bounds the windows that began earlier.
  void set_share(const budget_share& share, time_point now);

  /// Sets the level of a new limiter.
  /// @param allowance as much of it as the bucket holds may be taken at once.
  void set_start_level(millitokens allowance);

  /// Refills the bucket and drops admissions that have left the window.
  void advance_to(time_point now);

  /// @return the amount that may be taken now.
  [[nodiscard]] millitokens available() const;

  /// Takes an amount of at most `available()`.
  /// @param counted_at latest time at which the amount may be spent; its window starts there.
  void take(millitokens amount, time_point counted_at);

  /// @return the time until `amount` is available if nothing else is taken, at least; or nothing
  ///   if it exceeds what the bucket can hold.
  [[nodiscard]] std::optional<duration> time_to_reach(millitokens amount) const;

  /// @return rate and capacity of the bucket after a time of low demand.
  /// @param share rate and burst.
  [[nodiscard]] static budget_share relaxed_bucket(const budget_share& share, duration window);

 private:
  /// @return what the window has room for.
  [[nodiscard]] millitokens room() const;
  [[nodiscard]] double capacity() const;
  [[nodiscard]] double rate_per_second() const;
  void refill_until(time_point when);
  void drop_until(time_point when);
  void adapt(double seconds);
  [[nodiscard]] std::int64_t slot_of(time_point when) const;
  /// @return when the admissions of a slot leave the window.
  [[nodiscard]] time_point end_of(std::int64_t slot) const;

  duration window_;
  duration slot_;
  millitokens limit_;
  millitokens counted_;  ///< Sum of `admitted_`.
  /// The limit before it was lowered, and the part of `counted_` that was counted by then.
  millitokens earlier_limit_;
  millitokens counted_earlier_;
  std::int64_t lowered_in_slot_ = 0;              ///< Newest slot at that time.
  std::map<std::int64_t, millitokens> admitted_;  ///< Admissions of the window by time slot.
  double level_ = 0;                              ///< Level of the bucket in millitokens.
  double burst_fraction_;                         ///< Part of the limit that the bucket can hold.
  time_point advanced_to_{};
  std::optional<time_point> first_window_end_;  ///< Set when the first share takes effect.
};

/// @return the most that a customer may spend in any span of the window.
[[nodiscard]] millitokens limit_in_window(const budget_share& share, duration window);

}  // namespace bulrushlift
