#include "sql/start_tag_allocator.h"

#include <algorithm>

namespace bulrushlift::sql {

std::uint64_t start_tag_allocator::allocate(const customer_id& customer) {
  // A customer without waiting statements gains no credit for the time before.
  auto& last = last_[customer];
  last = std::max(last, virtual_time_) + 1;
  return last;
}

void start_tag_allocator::on_served(std::uint64_t tag) {
  if (tag <= virtual_time_) return;
  virtual_time_ = tag;
  std::erase_if(last_, [this](const auto& each) { return each.second <= virtual_time_; });
}

}  // namespace bulrushlift::sql
