#include "limits/document_limits.h"

#include <algorithm>
#include <cstdint>

namespace bulrushlift {
namespace {

// Upper limit of a customer's rate and burst, in tokens. It keeps the products of rate
// and time within 64 bits.
constexpr double max_tokens = 1e6;

millitokens to_millitokens(double tokens) {
  return millitokens{static_cast<std::int64_t>(std::clamp(tokens, 0.0, max_tokens) * 1'000)};
}

}  // namespace

budget_document budgets_of(const document& source) {
  budget_document budgets;
  for (const auto& each : source.vms()) budgets.vms.push_back(each.name);
  for (const auto& each : source.customers()) {
    budgets.customers[each.name] = {to_millitokens(each.rate_per_second), to_millitokens(each.burst)};
  }
  return budgets;
}

std::vector<customer_keys> keys_of(const document& source) {
  std::vector<customer_keys> customers;
  for (const auto& each : source.customers()) {
    customer_keys keys{each.name, {}};
    for (const auto& key : each.keys) keys.keys.push_back({key.id, key.digest, key.state});
    customers.push_back(std::move(keys));
  }
  return customers;
}

customer_weights weights_of(const document& source) {
  customer_weights weights;
  for (const auto& each : source.customers()) weights[each.name] = each.weight;
  return weights;
}

}  // namespace bulrushlift
