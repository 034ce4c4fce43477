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
/// The state of a session, which its caller keeps and sends with each request. It holds
/// for each service the newest acknowledged log point that the session has written or
/// read, so that any VM can give the session read-your-writes consistency.
///
///     auto token = decode_session_token(header, customer, signer);
///     if (!token) return token.error();
///     if (auto merged = token->merge(service, point); !merged) return merged.error();
///     answer.session = encode_session_token(*token, signer);

namespace bulrushlift {

/// The log point that a session requires of one service.
struct session_entry {
  service_id service;
  log_point point;

  friend bool operator==(const session_entry&, const session_entry&) = default;
};

/// The customer of a session and the log point that it requires of each service.
class session_token {
 public:
  /// Largest number of services in a token. Limits the header of each request to about 4 KB.
  static constexpr std::size_t max_entries = 32;
  /// Longest name of a customer or service in a token, in bytes.
  static constexpr std::size_t max_name_size = 64;
  /// Longest text of a token in bytes; longer ones are refused before decoding.
  static constexpr std::size_t max_text_size = 4'096;

  /// Creates the token of a new session, which requires no log point.
  explicit session_token(customer_id customer) : customer_(std::move(customer)) {}

  [[nodiscard]] const customer_id& customer() const noexcept { return customer_; }
  /// @return the entries in ascending order of their service names.
  [[nodiscard]] const std::vector<session_entry>& entries() const noexcept { return entries_; }

  /// @return the log point that a member must have reached to serve this session, or nothing
  ///   if any member may serve it.
  [[nodiscard]] std::optional<log_point> required_point(const service_id& service) const;

  /// Raises the required log point of `service`; a lower point changes nothing.
  /// @param point an acknowledged log point, which every later primary has.
  /// @return success; `token_full` if the service is new and the token has `max_entries`;
  ///   `bad_request` if its name is longer than `max_name_size`.
  [[nodiscard]] result<void> merge(const service_id& service, log_point point);

  /// Checks whether `merge` would succeed for `service`. Called before a request runs, so
  /// that the outcome of `token_full` is always "not run".
  /// @return success or the error of `merge`.
  [[nodiscard]] result<void> check_room(const service_id& service) const;

  friend bool operator==(const session_token&, const session_token&) = default;

 private:
  [[nodiscard]] std::vector<session_entry>::const_iterator find(const service_id& service) const;

  customer_id customer_;
  std::vector<session_entry> entries_;
};

/// Faults that a test injects to prove that its checks detect them.
struct session_token_test_faults {
  /// Accepts the token of another customer.
  bool skips_customer_check = false;
};

/// @param token its names are at most `max_name_size` bytes long.
/// @return the opaque text of `token`, in base64url.
[[nodiscard]] std::string encode_session_token(const session_token& token, const token_signer& signer);

/// @param text any bytes; an empty text starts a new session.
/// @param customer the authenticated customer of the request.
/// @return the token, or `token_invalid` if the text is too long, not authentic, malformed
///   or of another customer.
[[nodiscard]] result<session_token> decode_session_token(std::string_view text, const customer_id& customer,
                                                         const token_signer& signer,
                                                         session_token_test_faults faults = {});

}  // namespace bulrushlift
