#include "standins/database_member_messages.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace bulrushlift::standin {
namespace {

using enum member_error_kind;

constexpr std::array member_error_table{
    member_error_traits{wrong_term, "wrong_term", 409},
    member_error_traits{not_primary, "not_primary", 409},
    member_error_traits{behind, "behind", 409},
    member_error_traits{busy, "busy", 503},
    member_error_traits{too_many_connections, "too_many_connections", 503},
    member_error_traits{unknown_transaction, "unknown_transaction", 404},
    member_error_traits{statement_failed, "statement_failed", 422},
    member_error_traits{cancelled, "cancelled", 410},
    member_error_traits{bad_request, "bad_request", 400},
};

constexpr std::array<std::string_view, 4> entry_names{"barrier", "write", "transaction", "cancellation"};

}  // namespace

const member_error_traits& traits_of(member_error_kind kind) noexcept {
  return member_error_table[static_cast<std::size_t>(kind)];
}

std::string_view name_of(entry_kind kind) noexcept { return entry_names[static_cast<std::size_t>(kind)]; }

std::optional<entry_kind> entry_kind_from_name(std::string_view name) noexcept {
  const auto it = std::find(entry_names.begin(), entry_names.end(), name);
  if (it == entry_names.end()) return std::nullopt;
  return static_cast<entry_kind>(it - entry_names.begin());
}

}  // namespace bulrushlift::standin
