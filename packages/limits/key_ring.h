#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "base/ids.h"
#include "document/document.h"

/// @file
/// Authentication of callers by key.
///
/// A key is `blk_<key id>_<secret>`; the secret is 32 random bytes as base64url
/// without padding (43 characters). The ring holds the SHA-256 digest of the
/// whole key text, never the key. A ring is immutable: the daemon builds one
/// from each document and authenticates every request with the newest, so a
/// revoked key also fails on connections that are already open.
///
///     key_ring ring{{{customer_id{"shop"}, {{key_id{"k1"}, digest_of_key(text), key_state::active}}}}};
///     auto customer = ring.authenticate(text);

namespace bulrushlift {

/// One key of the document. `digest` is the SHA-256 digest of the whole key text.
struct key_entry {
  key_id id;
  digest256 digest{};
  key_state state = key_state::active;

  friend bool operator==(const key_entry&, const key_entry&) = default;
};

/// The keys of one customer. Several are active at the same time during a key rotation.
struct customer_keys {
  customer_id customer;
  std::vector<key_entry> keys;

  friend bool operator==(const customer_keys&, const customer_keys&) = default;
};

/// Who may use a route.
enum class route_access {
  customers_only,  ///< A request needs an active key.
  open_to_all,     ///< A request without a key runs as `anonymous_customer()`.
};

/// The parts of a key text.
struct key_text {
  std::string_view id;
  std::string_view secret;

  friend bool operator==(const key_text&, const key_text&) = default;
};

/// Faults that a test injects to prove that its oracle detects them.
struct key_ring_test_faults {
  bool accepts_revoked_keys = false;
};

/// @return the parts, or nothing if `text` does not have the form of a key. The key
///   id is 1 to 64 characters of `[A-Za-z0-9_.-]`. It may contain "_", so the
///   secret is taken from the end by its fixed length.
[[nodiscard]] std::optional<key_text> parse_key(std::string_view text) noexcept;

/// @return the digest that the document stores for a key.
[[nodiscard]] digest256 digest_of_key(std::string_view text);

/// @return the built-in customer that requests without a key on open routes run as.
[[nodiscard]] const customer_id& anonymous_customer();

/// The keys of all customers of one document.
class key_ring {
 public:
  key_ring() = default;
  explicit key_ring(const std::vector<customer_keys>& customers, key_ring_test_faults faults = {});

  /// Finds the customer of a key.
  /// @param text the key as it came with the request. The ring keeps no copy of
  ///   it, and no error message contains any part of it.
  /// @return the customer; `unauthenticated` if the text is not a key, the id is
  ///   unknown or the secret is wrong; `key_revoked` if the key is right but
  ///   revoked. The time taken does not depend on how much of the secret is right.
  [[nodiscard]] result<customer_id> authenticate(std::string_view text) const;

  /// Finds the customer of a request.
  /// @param text the key, or nothing if the request has none.
  /// @param access who may use the route of the request.
  /// @return with a key, as above; without one, `anonymous_customer()` on an open route and
  ///   `unauthenticated` on any other. A request with a wrong or revoked key is
  ///   refused on open routes too, so that it never runs as another customer.
  [[nodiscard]] result<customer_id> authenticate(std::optional<std::string_view> text,
                                                 route_access access) const;

  /// @return the number of keys, revoked ones included.
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

 private:
  struct customer_key {
    customer_id customer;
    digest256 digest{};
    key_state state = key_state::active;
  };

  // Validation of the document ensures unique key ids. Because of the list for each id, a ring
  // that is built from entries that were not validated does not depend on their order.
  std::unordered_map<key_id, std::vector<customer_key>> keys_;
  std::size_t size_ = 0;
  key_ring_test_faults faults_;
};

}  // namespace bulrushlift
