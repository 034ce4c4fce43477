#include "limits/window_oracle_fake.h"

#include <algorithm>

#include "limits/window_limiter.h"

namespace bulrushlift {

millitokens global_window_oracle::limit(duration now) {
  millitokens most;
  for (const auto& [generation, share] : documents_) {
    const auto removed = removals_.find(generation);
    if (removed != removals_.end() && removed->second + window_ <= now) continue;
    most = std::max(most, limit_in_window(share, window_));
  }
  const bool has_restart = now - last_restart_ <= window_;
  return has_restart ? most + millitokens{most.value() / overage_divisor} + slack : most;
}

bool global_window_oracle::spend(millitokens cost, duration now) {
  spent_.emplace_back(now, cost);
  sum_ += cost;
  while (now - spent_.front().first >= window_) {
    sum_ -= spent_.front().second;
    spent_.pop_front();
  }
  return sum_ <= limit(now);
}

}  // namespace bulrushlift
