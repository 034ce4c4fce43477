#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

/// @file
/// The closed list of error kinds and the table from kind to answer.
///
/// Functions that can fail return `result<T>`:
///
///     result<int> parse_port(std::string_view text);
///     if (auto port = parse_port("70000"); !port) log(port.error().message);

namespace bulrushlift {

/// What is known about the execution of a request.
enum class outcome {
  done,     ///< It ran.
  not_run,  ///< It did not run and never will.
  unknown,  ///< It may have run; resolvable by its idempotency key.
};

/// Whether and when a caller may send the request again.
enum class retry_advice {
  never,    ///< The same request fails again.
  now,      ///< Safe at once, also for requests that are not idempotent.
  after,    ///< Safe after the stated time.
  resolve,  ///< Ask for the outcome by idempotency key first.
};

enum class error_kind {
  bad_request,
  unauthenticated,
  key_revoked,
  forbidden,
  no_route,
  not_found,
  payload_too_large,
  over_rate,
  over_burst,
  overloaded,
  draining,
  no_configuration,
  configuration_stale,
  token_invalid,
  token_full,
  position_unavailable,
  no_primary,
  target_unavailable,
  wrong_term,
  statement_failed,
  cancelled,
  transaction_lost,
  transaction_unknown,
  deadline_exceeded,
  outcome_unknown,
  peer_unavailable,
  conflict,
  invalid_document,
  invalid_settings,
  platform_unavailable,
  protocol_error,
  io_error,
  internal_error,
};

/// One row of the table of error kinds.
struct error_traits {
  error_kind kind;
  std::string_view name;  ///< Name on the wire, in logs and metrics.
  int http_status;
  outcome result;  ///< Outcome of the request unless the error states another.
  retry_advice retry;
};

/// @return the table row of `kind`.
[[nodiscard]] const error_traits& traits_of(error_kind kind) noexcept;

/// @return the kind with that name, or nothing if no kind has it.
[[nodiscard]] std::optional<error_kind> error_kind_from_name(std::string_view name) noexcept;

[[nodiscard]] std::string_view name_of(error_kind kind) noexcept;
[[nodiscard]] std::string_view name_of(outcome value) noexcept;
[[nodiscard]] std::string_view name_of(retry_advice value) noexcept;
[[nodiscard]] std::optional<outcome> outcome_from_name(std::string_view name) noexcept;

/// An error: its kind and a message that names the item and the wrong value.
struct error {
  error_kind kind = error_kind::internal_error;
  std::string message;
  /// Time after which a retry can succeed, where it is known.
  std::optional<std::chrono::milliseconds> retry_after = std::nullopt;
  /// Overrides the outcome of the table, for kinds that occur in several.
  std::optional<outcome> stated_outcome = std::nullopt;

  /// @return the outcome of the request that ended with this error.
  [[nodiscard]] outcome request_outcome() const noexcept {
    return stated_outcome.value_or(traits_of(kind).result);
  }

  friend bool operator==(const error&, const error&) = default;
};

template <class T>
using result = tl::expected<T, error>;

/// Shorthand for returning an error from a function that returns `result`.
[[nodiscard]] inline tl::unexpected<error> make_error(error_kind kind, std::string message) {
  return tl::unexpected<error>(error{kind, std::move(message)});
}

}  // namespace bulrushlift
