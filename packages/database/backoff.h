#pragma once

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

/// @file
/// Exponential back-off with jitter.

namespace bulrushlift {

/// Returns the pause before the next attempt. Each failure doubles the step, up to `longest`. The
/// pause is a random value between half of the step and the step, so that callers that failed at
/// the same time do not retry at the same time.
/// @param first longest pause after one failure.
/// @param longest upper limit of the pause.
/// @param failures number of consecutive failures, at least 1.
/// @param random bits from a random number generator.
/// @return the pause.
[[nodiscard]] constexpr duration jittered_backoff(duration first, duration longest, std::uint32_t failures,
                                                  std::uint64_t random) noexcept {
  auto step = first;
  for (std::uint32_t i = 1; i < failures && step < longest; ++i) step *= 2;
  const auto half = std::min(step, longest).count() / 2;
  const auto part = static_cast<duration::rep>(random % static_cast<std::uint64_t>(half + 1));
  return duration{half + part};
}

}  // namespace bulrushlift
