#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/ids.h"
#include "session/token_signer.h"

/// @file
/// Transaction ids. An id contains the VM that owns the transaction and its customer, so
/// that every VM can route a statement of the transaction without shared state.

namespace bulrushlift {

/// Identifies one transaction in the fleet.
struct transaction_id {
  /// The VM that runs the transaction.
  vm_id owner;
  /// Start of the owner's process; a later process of that VM does not have the transaction.
  incarnation_id owner_incarnation;
  service_id service;
  term_id term;
  customer_id customer;
  /// Number of the transaction within the owner's process.
  std::uint64_t counter = 0;

  friend bool operator==(const transaction_id&, const transaction_id&) = default;
  friend auto operator<=>(const transaction_id&, const transaction_id&) = default;
};

/// Longest text of a transaction id in bytes; longer ones are refused before decoding.
inline constexpr std::size_t max_transaction_text_size = 512;

/// @return the opaque text of `id`, in base64url.
[[nodiscard]] std::string encode_transaction_id(const transaction_id& id, const token_signer& signer);

/// @param text any bytes.
/// @param customer the authenticated customer of the request.
/// @return the id, or `transaction_unknown` if the text is too long, not authentic, malformed
///   or of another customer.
[[nodiscard]] result<transaction_id> decode_transaction_id(std::string_view text, const customer_id& customer,
                                                           const token_signer& signer);

}  // namespace bulrushlift
