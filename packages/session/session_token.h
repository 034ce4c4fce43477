#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "session/token_signer.h"

/// @file
/// The state of a session, carried by its caller. It holds the newest
/// acknowledged log point that the session has written or read for each
/// service, so that any VM can give it read-your-writes consistency.
///
///     auto token = decode_session_token(header, customer, signer);
///     if (!token) return token.error();
///     if (auto merged = token->merge(service, point); !merged) return merged.error();
///     answer.session = encode_session_token(*token, signer);

namespace bulrushlift {

/// Requirement of a session for one service.
struct session_entry {
  service_id service;
  log_point point;

  friend bool operator==(const session_entry&, const session_entry&) = default;
};

/// Customer and requirements of one session.
class session_token {
 public:
  /// Bounds the header that each request carries to about 4 KB.
  static constexpr std::size_t maximum_entries = 32;
  /// Longest name of a customer or service in a token, in bytes.
  static constexpr std::size_t maximum_name_size = 64;
  /// Longest text of a token; longer ones are refused before decoding.
  static constexpr std::size_t maximum_text_size = 4'096;

  /// A new session without requirements.
  explicit session_token(customer_id customer) : customer_(std::move(customer)) {}

  [[nodiscard]] const customer_id& customer() const noexcept { return customer_; }
  /// @return the entries in order of their service names.
  [[nodiscard]] const std::vector<session_entry>& entries() const noexcept { return entries_; }

  /// @return the point that a member must have reached to serve this session.
  [[nodiscard]] std::optional<log_point> required_point(const service_id& service) const;

  /// Raises the requirement for `service`; a lower point changes nothing.
  /// @param point acknowledged, never one that a later primary may lack.
  /// @return `token_full` for a service beyond the bound, `bad_request` for a name longer than the bound.
  [[nodiscard]] result<void> merge(const service_id& service, log_point point);

  /// Whether `merge` would find room for `service`. Checked before a request
  /// runs, so that `token_full` is always "not run".
  [[nodiscard]] result<void> check_room(const service_id& service) const;

  friend bool operator==(const session_token&, const session_token&) = default;

 private:
  [[nodiscard]] std::vector<session_entry>::const_iterator find(const service_id& service) const;

  customer_id customer_;
  std::vector<session_entry> entries_;
};

/// Rules that tests break, to prove that their checks find the fault.
struct token_options {
  /// Test only: accept the token of another customer.
  bool skips_customer_check = false;
};

/// @param token its names are within `maximum_name_size`.
/// @return the opaque text of `token`, in base64url.
[[nodiscard]] std::string encode_session_token(const session_token& token, const token_signer& signer);

/// @param text any bytes; an empty text is a new session.
/// @param customer the authenticated customer of the request.
/// @return `token_invalid` if the text is not authentic, malformed or of another customer.
[[nodiscard]] result<session_token> decode_session_token(std::string_view text, const customer_id& customer,
                                                         const token_signer& signer,
                                                         token_options options = {});

}  // namespace bulrushlift
