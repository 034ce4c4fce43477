#pragma once

#include <algorithm>

#include "base/clock.h"
#include "limits/demand_window.h"
#include "limits/tokens.h"

/// @file
/// Keeps tokens of a customer that is over its limit for its urgent requests.
///
/// Load pattern: a customer sends several times its rate, and a small part of that is urgent. First
/// come, first served refuses urgent requests as often as the others. While tokens are short, the
/// others leave what urgent requests are likely to need, up to a bound. After a few urgent ones the
/// next token goes to one of the others, so urgent requests alone cannot use the whole rate. The
/// reserve only refuses; it never admits more than the bucket holds.

namespace bulrushlift {

/// @return whether requests of this priority use the reserve.
[[nodiscard]] constexpr bool is_urgent(int priority) noexcept { return priority <= 0; }

/// The reserve of one customer at one VM. Has no effect unless a request was refused lately, and
/// the customer has both urgent and other requests.
class urgent_reserve {
 public:
  /// @param span time over which the demand is counted that the reserve covers.
  explicit urgent_reserve(duration span) : urgent_demand_(span) {}

  /// A request of the customer asks for tokens.
  void on_demand(int priority, millitokens cost, time_point now) {
    (is_urgent(priority) ? urgent_until_ : other_until_) = now + memory;
    if (is_urgent(priority)) urgent_demand_.add(cost, now);
  }

  /// A borrower whose customer is over its limit asks for tokens for urgent requests.
  void on_borrower_demand(millitokens cost, time_point now) {
    urgent_demand_.add(cost, now);
    urgent_until_ = other_until_ = short_until_ = now + memory;
  }

  /// A request was refused because tokens are short.
  void on_refused(time_point now) { short_until_ = now + memory; }

  /// A request got its tokens.
  void on_served(int priority, millitokens cost, time_point now) {
    if (!is_urgent(priority)) {
      urgent_in_row_ = {};
    } else if (is_active(now)) {
      urgent_in_row_ += cost;
    }
  }

  /// @return whether tokens are short and both kinds of requests ask for them.
  [[nodiscard]] bool is_active(time_point now) const noexcept {
    return now < short_until_ && now < urgent_until_ && now < other_until_;
  }

  /// @return whether urgent requests have got several tokens in a row, so that another one is next.
  [[nodiscard]] bool is_turn_of_others() const noexcept { return urgent_in_row_ >= max_urgent_in_row; }

  /// @param most upper bound of the reserve, unless it is below one token.
  /// @return what requests that are not urgent must leave in the bucket; at least one token while
  ///   the reserve is active, because urgent requests of a low rate come one at a time.
  [[nodiscard]] millitokens amount(millitokens most, time_point now) {
    if (!is_active(now) || is_turn_of_others()) return {};
    return std::max(std::min(urgent_demand_.sum(now), most), min_amount);
  }

 private:
  // A customer that is over its limit is refused something in each such time.
  static constexpr duration memory = std::chrono::seconds{1};
  static constexpr millitokens min_amount = whole_tokens(1);
  static constexpr millitokens max_urgent_in_row = whole_tokens(7);

  demand_window urgent_demand_;
  time_point urgent_until_{};
  time_point other_until_{};
  time_point short_until_{};
  millitokens urgent_in_row_{};
};

}  // namespace bulrushlift
