#include "entry/relayed_transaction_table.h"

#include <utility>

namespace bulrushlift::entry {

std::uint64_t relayed_transaction_table::add(const vm_id& sender, const customer_id& customer,
                                             connection_pool::connection_ptr connection, time_point now) {
  const auto number = next_number_++;
  open_.emplace(number, relayed_transaction{sender, customer, std::move(connection), false, now});
  return number;
}

connection_pool::connection_ptr relayed_transaction_table::start_statement(std::uint64_t number,
                                                                           const vm_id& sender,
                                                                           const customer_id& customer) {
  const auto it = open_.find(number);
  if (it == open_.end()) return nullptr;
  auto& found = it->second;
  if (found.is_running || found.sender != sender || found.customer != customer) return nullptr;
  found.is_running = true;
  return found.connection;
}

bool relayed_transaction_table::finish_statement(std::uint64_t number, time_point now) {
  const auto it = open_.find(number);
  if (it == open_.end()) return false;
  it->second.is_running = false;
  it->second.last_used = now;
  return true;
}

connection_pool::connection_ptr relayed_transaction_table::remove(std::uint64_t number) {
  auto node = open_.extract(number);
  return node.empty() ? nullptr : std::move(node.mapped().connection);
}

std::vector<relayed_transaction_table::expired_transaction> relayed_transaction_table::remove_expired(
    time_point now, duration limit) {
  std::vector<expired_transaction> expired;
  for (auto it = open_.begin(); it != open_.end();) {
    const auto each = it++;
    if (each->second.is_running || now - each->second.last_used < limit) continue;
    expired.push_back({each->first, std::move(each->second)});
    open_.erase(each);
  }
  return expired;
}

}  // namespace bulrushlift::entry
