#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

/// @file
/// Authentication of the texts that callers carry for the fleet: session
/// tokens and transaction ids.
/// The texts are signed but not encrypted.

namespace bulrushlift {

/// Signs with the first of several secrets and verifies with all of them, so
/// that secrets can be rotated: add the new one last on every VM, move it to
/// the front, then remove the old one.
class token_signer {
 public:
  /// Bytes of the truncated HMAC-SHA-256.
  static constexpr std::size_t mac_size = 16;
  /// In bytes; a shorter secret can be guessed from one signed text.
  static constexpr std::size_t min_secret_size = 16;

  /// @param secrets at least one, each of `min_secret_size` bytes or more.
  /// @return the signer, or `invalid_settings` if there is no secret or one is too short.
  [[nodiscard]] static result<token_signer> create(std::vector<std::string> secrets);

  /// Signs `content` with the first secret.
  /// @param purpose kind of the text; a text signed for one purpose is not valid for another.
  ///   At most 255 bytes.
  /// @return `content` followed by its authentication code, in base64url.
  [[nodiscard]] std::string sign(std::string_view purpose, std::string_view content) const;

  /// @return the content, or nothing unless `text` was signed for `purpose` with one of the secrets.
  [[nodiscard]] std::optional<std::string> verify(std::string_view purpose, std::string_view text) const;

 private:
  explicit token_signer(std::vector<std::string> secrets) : secrets_(std::move(secrets)) {}

  std::vector<std::string> secrets_;
};

}  // namespace bulrushlift
