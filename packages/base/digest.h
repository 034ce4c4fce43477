#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Digests, text encodings and unpredictable bytes, on top of OpenSSL.

namespace bulrushlift {

using digest256 = std::array<std::uint8_t, 32>;

/// @return the SHA-256 digest of `data`.
[[nodiscard]] digest256 sha256(std::string_view data);

/// @return HMAC-SHA-256 of `data` under `key`.
[[nodiscard]] digest256 hmac_sha256(std::string_view key, std::string_view data);

/// Compares in a time that depends on the lengths only.
[[nodiscard]] bool is_equal_constant_time(std::string_view left, std::string_view right) noexcept;

/// @return `count` bytes from the operating system's generator.
[[nodiscard]] std::string random_bytes(std::size_t count);

/// @return lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::string_view bytes);
/// @return the bytes, or nothing unless `text` is an even number of hexadecimal digits.
[[nodiscard]] std::optional<std::string> from_hex(std::string_view text);

/// @return base64url without padding.
[[nodiscard]] std::string to_base64url(std::string_view bytes);
/// @return the bytes, or nothing unless `text` is canonical base64url without padding.
[[nodiscard]] std::optional<std::string> from_base64url(std::string_view text);

/// @return the digest's bytes as a view.
[[nodiscard]] inline std::string_view as_bytes(const digest256& digest) noexcept {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace bulrushlift
