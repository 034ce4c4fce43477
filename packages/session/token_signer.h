#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

/// @file
/// Signing of the texts that callers keep for the fleet and send back: session
/// tokens and transaction ids. The texts are authenticated but not encrypted.

namespace bulrushlift {

/// Signs with the first of several secrets and verifies with all of them, so
/// that secrets can be rotated: add the new secret at the end on every VM, then
/// move it to the front on every VM, then remove the old one.
class token_signer {
 public:
  /// Size of the truncated HMAC-SHA-256 in bytes.
  static constexpr std::size_t mac_size = 16;
  /// Smallest size of a secret in bytes. A shorter secret can be found by trying all
  /// values against one signed text.
  static constexpr std::size_t min_secret_size = 16;

  /// @param secrets at least one, each of `min_secret_size` bytes or more.
  /// @return the signer, or `invalid_settings` if there is no secret or one is too short.
  [[nodiscard]] static result<token_signer> create(std::vector<std::string> secrets);

  /// Signs `content` with the first secret.
  /// @param purpose kind of the text, at most 255 bytes. A text that was signed for one
  ///   purpose is not valid for another.
  /// @return `content` followed by its authentication code, in base64url.
  [[nodiscard]] std::string sign(std::string_view purpose, std::string_view content) const;

  /// Checks the signature of `text`.
  /// @return the content, or nothing unless `text` was signed for `purpose` with one of the
  ///   secrets.
  [[nodiscard]] std::optional<std::string> verify(std::string_view purpose, std::string_view text) const;

 private:
  explicit token_signer(std::vector<std::string> secrets) : secrets_(std::move(secrets)) {}

  std::vector<std::string> secrets_;
};

}  // namespace bulrushlift
