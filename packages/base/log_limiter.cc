#include "base/log_limiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bulrushlift {

bool log_limiter::admit(std::string_view event, time_point now) {
  if (rate_ <= 0) return true;
  const double most = rate_ * burst_seconds;
  auto it = buckets_.find(event);
  if (it == buckets_.end()) it = buckets_.emplace(std::string{event}, bucket{most, now}).first;
  auto& state = it->second;
  const std::chrono::duration<double> elapsed = now - std::exchange(state.filled, now);
  state.tokens = std::min(most, state.tokens + elapsed.count() * rate_);
  if (state.tokens < 1) {
    ++state.omitted;
    return false;
  }
  state.tokens -= 1;
  return true;
}

std::vector<omitted_lines> log_limiter::take_omitted() {
  std::vector<omitted_lines> taken;
  for (auto& [event, state] : buckets_) {
    if (state.omitted > 0) taken.push_back({event, std::exchange(state.omitted, 0)});
  }
  return taken;
}

}  // namespace bulrushlift
