#pragma once

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

/// @file
/// Pause before another attempt.

namespace bulrushlift {

/// Doubles the pause with each failure and takes a random part of its upper
/// half, so that callers that failed together do not return together.
/// @param failures in a row; 1 gives a pause of at most `first`.
/// @param random bits from a generator.
[[nodiscard]] constexpr duration jittered_backoff(duration first, duration longest, std::uint32_t failures,
                                                  std::uint64_t random) noexcept {
  auto step = first;
  for (std::uint32_t i = 1; i < failures && step < longest; ++i) step *= 2;
  const auto half = std::min(step, longest).count() / 2;
  const auto part = static_cast<duration::rep>(random % static_cast<std::uint64_t>(half + 1));
  return duration{half + part};
}

}  // namespace bulrushlift
