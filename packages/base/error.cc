#include "base/error.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace bulrushlift {
namespace {

using enum error_kind;

constexpr std::array error_table{
    error_traits{bad_request, "bad_request", 400, outcome::not_run, retry_advice::never},
    error_traits{unauthenticated, "unauthenticated", 401, outcome::not_run, retry_advice::never},
    error_traits{key_revoked, "key_revoked", 401, outcome::not_run, retry_advice::never},
    error_traits{forbidden, "forbidden", 403, outcome::not_run, retry_advice::never},
    error_traits{no_route, "no_route", 404, outcome::not_run, retry_advice::never},
    error_traits{not_found, "not_found", 404, outcome::not_run, retry_advice::never},
    error_traits{payload_too_large, "payload_too_large", 413, outcome::not_run, retry_advice::never},
    error_traits{over_rate, "over_rate", 429, outcome::not_run, retry_advice::after},
    error_traits{over_burst, "over_burst", 429, outcome::not_run, retry_advice::never},
    error_traits{overloaded, "overloaded", 503, outcome::not_run, retry_advice::after},
    error_traits{draining, "draining", 503, outcome::not_run, retry_advice::now},
    error_traits{no_configuration, "no_configuration", 503, outcome::not_run, retry_advice::after},
    error_traits{configuration_stale, "configuration_stale", 503, outcome::not_run, retry_advice::after},
    error_traits{token_invalid, "token_invalid", 400, outcome::not_run, retry_advice::never},
    error_traits{token_full, "token_full", 400, outcome::not_run, retry_advice::never},
    error_traits{position_unavailable, "position_unavailable", 503, outcome::not_run, retry_advice::after},
    error_traits{no_primary, "no_primary", 503, outcome::not_run, retry_advice::after},
    error_traits{target_unavailable, "target_unavailable", 503, outcome::not_run, retry_advice::after},
    error_traits{wrong_term, "wrong_term", 503, outcome::not_run, retry_advice::now},
    error_traits{statement_failed, "statement_failed", 422, outcome::not_run, retry_advice::never},
    error_traits{cancelled, "cancelled", 410, outcome::not_run, retry_advice::never},
    error_traits{transaction_lost, "transaction_lost", 409, outcome::not_run, retry_advice::now},
    error_traits{transaction_unknown, "transaction_unknown", 404, outcome::not_run, retry_advice::never},
    error_traits{deadline_exceeded, "deadline_exceeded", 504, outcome::not_run, retry_advice::now},
    error_traits{outcome_unknown, "outcome_unknown", 504, outcome::unknown, retry_advice::resolve},
    error_traits{peer_unavailable, "peer_unavailable", 503, outcome::not_run, retry_advice::after},
    error_traits{conflict, "conflict", 409, outcome::not_run, retry_advice::never},
    error_traits{invalid_document, "invalid_document", 400, outcome::not_run, retry_advice::never},
    error_traits{invalid_settings, "invalid_settings", 400, outcome::not_run, retry_advice::never},
    error_traits{platform_unavailable, "platform_unavailable", 503, outcome::unknown, retry_advice::after},
    error_traits{protocol_error, "protocol_error", 502, outcome::unknown, retry_advice::resolve},
    error_traits{io_error, "io_error", 502, outcome::unknown, retry_advice::resolve},
    error_traits{internal_error, "internal_error", 500, outcome::unknown, retry_advice::resolve},
};

constexpr bool is_table_indexed_by_kind() {
  for (std::size_t i = 0; i < error_table.size(); ++i) {
    if (static_cast<std::size_t>(error_table[i].kind) != i) return false;
  }
  return error_table.size() == static_cast<std::size_t>(internal_error) + 1;
}
static_assert(is_table_indexed_by_kind());

}  // namespace

const error_traits& traits_of(error_kind kind) noexcept {
  return error_table[static_cast<std::size_t>(kind)];
}

std::optional<error_kind> error_kind_from_name(std::string_view name) noexcept {
  const auto it = std::find_if(error_table.begin(), error_table.end(),
                               [name](const error_traits& row) { return row.name == name; });
  if (it == error_table.end()) return std::nullopt;
  return it->kind;
}

std::string_view name_of(error_kind kind) noexcept { return traits_of(kind).name; }

std::string_view name_of(outcome value) noexcept {
  switch (value) {
    case outcome::done:
      return "done";
    case outcome::not_run:
      return "not_run";
    case outcome::unknown:
      break;
  }
  return "unknown";
}

std::string_view name_of(retry_advice value) noexcept {
  switch (value) {
    case retry_advice::never:
      return "never";
    case retry_advice::now:
      return "now";
    case retry_advice::after:
      return "after";
    case retry_advice::resolve:
      break;
  }
  return "resolve";
}

std::optional<outcome> outcome_from_name(std::string_view name) noexcept {
  for (const auto value : {outcome::done, outcome::not_run, outcome::unknown}) {
    if (name_of(value) == name) return value;
  }
  return std::nullopt;
}

}  // namespace bulrushlift
