#include "session/token_signer.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace bulrushlift {
namespace {

std::string mac_of(std::string_view secret, std::string_view purpose, std::string_view content) {
  // The length of the purpose makes ("ab", "c") and ("a", "bc") differ.
  std::string covered(1, static_cast<char>(purpose.size()));
  covered.append(purpose).append(content);
  const auto digest = hmac_sha256(secret, covered);
  return std::string{as_bytes(digest).substr(0, token_signer::mac_size)};
}

}  // namespace

result<token_signer> token_signer::create(std::vector<std::string> secrets) {
  if (secrets.empty())
    return make_error(error_kind::invalid_settings, "no secret for session tokens is configured");
  const auto is_short = [](const std::string& secret) { return secret.size() < min_secret_size; };
  if (std::any_of(secrets.begin(), secrets.end(), is_short)) {
    return make_error(error_kind::invalid_settings, "a secret for session tokens is shorter than 16 bytes");
  }
  return token_signer{std::move(secrets)};
}

std::string token_signer::sign(std::string_view purpose, std::string_view content) const {
  std::string bytes{content};
  bytes += mac_of(secrets_.front(), purpose, content);
  return to_base64url(bytes);
}

std::optional<std::string> token_signer::verify(std::string_view purpose, std::string_view text) const {
  auto bytes = from_base64url(text);
  if (!bytes || bytes->size() < mac_size) return std::nullopt;
  const std::string mac = bytes->substr(bytes->size() - mac_size);
  bytes->resize(bytes->size() - mac_size);
  for (const auto& secret : secrets_) {
    if (is_equal_constant_time(mac_of(secret, purpose, *bytes), mac)) return bytes;
  }
  return std::nullopt;
}

}  // namespace bulrushlift
