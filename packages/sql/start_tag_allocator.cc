#include "sql/start_tag_allocator.h"

#include <algorithm>

namespace bulrushlift::sql {

std::uint64_t start_tag_allocator::allocate(const customer_id& customer) {
  const auto tag = peek(customer);
  last_[customer] = tag;
  return tag;
}

std::uint64_t start_tag_allocator::peek(const customer_id& customer) const {
  const auto it = last_.find(customer);
  // A customer gains no credit for the time in which it had no waiting statements.
  return (it == last_.end() ? virtual_time_ : std::max(it->second, virtual_time_)) + 1;
}

void start_tag_allocator::on_served(std::uint64_t tag) {
  if (tag <= virtual_time_) return;
  virtual_time_ = tag;
  std::erase_if(last_, [this](const auto& each) { return each.second <= virtual_time_; });
}

}  // namespace bulrushlift::sql
