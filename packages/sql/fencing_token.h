#pragma once

#include <cstdint>

#include "base/store_version.h"

/// @file
/// Fencing tokens of promotions.

namespace bulrushlift::sql {

/// Number of low bits of a token that hold the version in the store. The bits above hold the epoch, so that
/// a token of the present history is above all of the lost one. 40 bits last for a thousand changes a second
/// over 30 years; up to epoch 8191 a token is exact as a double, as JSON implementations have it.
inline constexpr unsigned token_version_bits = 40;

/// @param claim version of the claim of the promotion, which the store gives to one VM only.
/// @return the token, which rises with each claim.
[[nodiscard]] constexpr std::uint64_t fencing_token(const store_version& claim) noexcept {
  return (claim.epoch.value() << token_version_bits) + claim.version.value();
}

}  // namespace bulrushlift::sql
