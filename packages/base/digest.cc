#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <cstdlib>

namespace bulrushlift {
namespace {

constexpr std::string_view base64url_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

const unsigned char* bytes_of(std::string_view text) noexcept {
  return reinterpret_cast<const unsigned char*>(text.data());
}

int hex_value(char c) noexcept {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

digest256 sha256(std::string_view data) {
  digest256 digest{};
  SHA256(bytes_of(data), data.size(), digest.data());
  return digest;
}

digest256 hmac_sha256(std::string_view key, std::string_view data) {
  digest256 digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(data), data.size(), digest.data(),
       &size);
  return digest;
}

bool is_equal_constant_time(std::string_view left, std::string_view right) noexcept {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_bytes(std::size_t count) {
  std::string bytes(count, '\0');
  // Without unpredictable bytes no key or token may be made.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1) std::abort();
  return bytes;
}

std::string to_hex(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char raw : bytes) {
    const auto value = static_cast<unsigned char>(raw);
    text.push_back(digits[value >> 4U]);
    text.push_back(digits[value & 0xfU]);
  }
  return text;
}

std::optional<std::string> from_hex(std::string_view text) {
  if (text.size() % 2 != 0) return std::nullopt;
  std::string bytes;
  bytes.reserve(text.size() / 2);
  for (std::size_t i = 0; i < text.size(); i += 2) {
    const int high = hex_value(text[i]);
    const int low = hex_value(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    bytes.push_back(static_cast<char>(high * 16 + low));
  }
  return bytes;
}

std::string to_base64url(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char raw : bytes) {
    buffer = (buffer << 8U) | static_cast<unsigned char>(raw);
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      text.push_back(base64url_digits[(buffer >> bits) & 0x3fU]);
    }
  }
  if (bits > 0) text.push_back(base64url_digits[(buffer << (6 - bits)) & 0x3fU]);
  return text;
}

std::optional<std::string> from_base64url(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size() * 3 / 4);
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char c : text) {
    const auto value = base64url_digits.find(c);
    if (value == std::string_view::npos) return std::nullopt;
    buffer = (buffer << 6U) | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes.push_back(static_cast<char>((buffer >> bits) & 0xffU));
  }
  const bool has_spare_digit = bits >= 6;
  const bool has_nonzero_rest = (buffer & ((1U << bits) - 1U)) != 0;
  if (has_spare_digit || has_nonzero_rest) return std::nullopt;
  return bytes;
}

}  // namespace bulrushlift
