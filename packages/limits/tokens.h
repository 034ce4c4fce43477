#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "base/clock.h"

/// @file
/// Amounts of budget in thousandths of a token. Integers keep the sums of
/// shares and loans exact. One statement costs one token unless stated otherwise.

namespace bulrushlift {

/// An amount of budget; negative only as an intermediate result.
class millitokens {
 public:
  constexpr millitokens() = default;
  constexpr explicit millitokens(std::int64_t value) noexcept : value_(value) {}

  [[nodiscard]] constexpr std::int64_t value() const noexcept { return value_; }

  constexpr millitokens& operator+=(millitokens other) noexcept {
    value_ += other.value_;
    return *this;
  }
  constexpr millitokens& operator-=(millitokens other) noexcept {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr millitokens operator+(millitokens a, millitokens b) noexcept { return a += b; }
  friend constexpr millitokens operator-(millitokens a, millitokens b) noexcept { return a -= b; }
  friend constexpr millitokens operator*(millitokens a, std::int64_t n) noexcept {
    return millitokens{a.value_ * n};
  }
  friend constexpr bool operator==(const millitokens&, const millitokens&) = default;
  friend constexpr auto operator<=>(const millitokens&, const millitokens&) = default;

 private:
  std::int64_t value_ = 0;
};

/// @return `n` whole tokens.
[[nodiscard]] constexpr millitokens whole_tokens(std::int64_t n) noexcept { return millitokens{n * 1'000}; }

/// Tokens per second and the capacity of a bucket: of a customer, or a home VM's share.
struct budget_share {
  millitokens rate_per_second;
  millitokens capacity;

  friend constexpr bool operator==(const budget_share&, const budget_share&) = default;
};

/// @return the smaller of both rates with the smaller of both capacities.
[[nodiscard]] constexpr budget_share smaller_of(const budget_share& a, const budget_share& b) noexcept {
  return {std::min(a.rate_per_second, b.rate_per_second), std::min(a.capacity, b.capacity)};
}

/// @return the share of the `index`-th of `homes` VMs; the shares add up to `whole` exactly.
[[nodiscard]] constexpr budget_share share_of(const budget_share& whole, std::int64_t index,
                                              std::int64_t homes) noexcept {
  const auto part = [&](millitokens amount) {
    return millitokens{amount.value() / homes + (index < amount.value() % homes ? 1 : 0)};
  };
  return {part(whole.rate_per_second), part(whole.capacity)};
}

}  // namespace bulrushlift
