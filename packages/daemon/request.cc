#include "daemon/request.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bulrushlift {
namespace {

constexpr std::array<std::pair<operation, std::string_view>, 5> operation_names{{
    {operation::execute, "execute"},
    {operation::begin, "begin"},
    {operation::commit, "commit"},
    {operation::rollback, "rollback"},
    {operation::resolve, "resolve"},
}};

}  // namespace

std::string_view name_of(operation value) noexcept {
  const auto* found = std::find_if(operation_names.begin(), operation_names.end(),
                                   [value](const auto& row) { return row.first == value; });
  return found->second;
}

std::optional<operation> operation_from_name(std::string_view name) noexcept {
  const auto* found = std::find_if(operation_names.begin(), operation_names.end(),
                                   [name](const auto& row) { return row.second == name; });
  if (found == operation_names.end()) return std::nullopt;
  return found->first;
}

request_traits retry_traits_of(const service_request& request) {
  request_traits traits;
  traits.is_read = request.op == operation::execute && request.is_read;
  traits.is_idempotent = request.is_idempotent || request.op == operation::resolve;
  traits.has_idempotency_key = !request.idempotency_key.empty();
  traits.in_transaction = !request.transaction.empty();
  return traits;
}

}  // namespace bulrushlift
