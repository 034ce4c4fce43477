#include "sql/fair_turns.h"

#include <algorithm>

namespace bulrushlift::sql {

std::uint64_t fair_turns::join(const customer_id& customer) {
  // A customer without waiting statements gains no credit for the time before.
  auto& last = last_[customer];
  last = std::max(last, now_) + 1;
  return last;
}

void fair_turns::on_served(std::uint64_t turn) {
  if (turn <= now_) return;
  now_ = turn;
  std::erase_if(last_, [this](const auto& each) { return each.second <= now_; });
}

}  // namespace bulrushlift::sql
