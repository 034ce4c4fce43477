#include "limits/key_ring.h"

#include <algorithm>
#include <string>

namespace bulrushlift {
namespace {

constexpr std::string_view key_prefix = "blk_";
constexpr std::size_t secret_size = 43;  // 32 bytes as base64url without padding
constexpr std::size_t key_id_size_max = 64;

bool is_key_id_character(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '.' ||
         c == '-';
}

bool is_base64url_character(char c) noexcept { return is_key_id_character(c) && c != '.'; }

}  // namespace

std::optional<key_text> parse_key(std::string_view text) noexcept {
  if (!text.starts_with(key_prefix)) return std::nullopt;
  text.remove_prefix(key_prefix.size());
  if (text.size() < secret_size + 2) return std::nullopt;
  const auto id_size = text.size() - secret_size - 1;
  const auto id = text.substr(0, id_size);
  const auto secret = text.substr(id_size + 1);
  if (id_size > key_id_size_max || text[id_size] != '_') return std::nullopt;
  if (!std::all_of(id.begin(), id.end(), is_key_id_character)) return std::nullopt;
  if (!std::all_of(secret.begin(), secret.end(), is_base64url_character)) return std::nullopt;
  return key_text{id, secret};
}

digest256 digest_of_key(std::string_view text) { return sha256(text); }

const customer_id& anonymous_customer() {
  static const customer_id customer{"anonymous"};
  return customer;
}

key_ring::key_ring(const std::vector<customer_keys>& customers, key_ring_test_faults faults)
    : faults_(faults) {
  for (const auto& each : customers) {
    for (const auto& key : each.keys) {
      keys_[key.id].push_back({each.customer, key.digest, key.state});
      ++size_;
    }
  }
}

result<customer_id> key_ring::authenticate(std::string_view text) const {
  const auto parts = parse_key(text);
  if (!parts) return make_error(error_kind::unauthenticated, "the key is malformed");
  const auto digest = digest_of_key(text);
  const customer_key* found = nullptr;
  if (const auto it = keys_.find(key_id{parts->id}); it != keys_.end()) {
    for (const auto& key : it->second) {
      const bool is_equal = is_equal_constant_time(as_bytes(key.digest), as_bytes(digest));
      // A key that is listed both as active and as revoked counts as revoked.
      if (is_equal && (found == nullptr || key.state == key_state::revoked)) found = &key;
    }
  }
  if (found == nullptr) return make_error(error_kind::unauthenticated, "the key is unknown");
  if (found->state == key_state::revoked && !faults_.accepts_revoked_keys) {
    return make_error(error_kind::key_revoked, "the key is revoked");
  }
  return found->customer;
}

result<customer_id> key_ring::authenticate(std::optional<std::string_view> text, route_access access) const {
  if (text) return authenticate(*text);
  if (access == route_access::open_to_all) return anonymous_customer();
  return make_error(error_kind::unauthenticated, "the request has no key");
}

}  // namespace bulrushlift
