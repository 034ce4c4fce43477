#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "base/clock.h"

/// @file
/// Token amounts and the rate and burst of a token bucket. Amounts are integers in
/// thousandths of a token, so that sums of shares and loans are exact. One statement
/// costs one token unless stated otherwise.

namespace bulrushlift {

/// An amount of tokens in thousandths; negative only as an intermediate result.
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

/// @return the amount of `n` tokens.
[[nodiscard]] constexpr millitokens whole_tokens(std::int64_t n) noexcept { return millitokens{n * 1'000}; }

/// Rate and capacity of a token bucket: either those of a customer over all VMs or the
/// share of them that one home VM holds.
struct budget_share {
  millitokens rate_per_second;
  millitokens capacity;

  friend constexpr bool operator==(const budget_share&, const budget_share&) = default;
};

/// @return the lower of the two rates with the lower of the two capacities.
[[nodiscard]] constexpr budget_share componentwise_min(const budget_share& a,
                                                       const budget_share& b) noexcept {
  return {std::min(a.rate_per_second, b.rate_per_second), std::min(a.capacity, b.capacity)};
}

/// A VM's position among the home VMs of a customer.
struct home_position {
  std::int64_t index = 0;  ///< From 0.
  std::int64_t homes = 0;  ///< Number of home VMs; 0 if the VM is none of them.

  friend constexpr bool operator==(const home_position&, const home_position&) = default;
};

/// Divides a customer's rate and capacity among its home VMs.
/// @param total rate and capacity of the customer.
/// @return the share of the home VM at that position, zero for a VM that is no home VM; the shares of
///   all home VMs add up to `total` exactly.
[[nodiscard]] constexpr budget_share share_of(const budget_share& total, home_position position) noexcept {
  if (position.homes == 0) return {};
  const auto split = [position](millitokens amount) {
    const auto rest = amount.value() % position.homes;
    return millitokens{amount.value() / position.homes + (position.index < rest ? 1 : 0)};
  };
  return {split(total.rate_per_second), split(total.capacity)};
}

}  // namespace bulrushlift
