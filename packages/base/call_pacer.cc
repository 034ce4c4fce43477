#include "base/call_pacer.h"

#include <algorithm>

namespace bulrushlift {
namespace {

using seconds = std::chrono::duration<double>;

}  // namespace

call_pacer::call_pacer(options configured, std::uint64_t seed)
    : options_(configured),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U))),
      level_(configured.burst) {}

double call_pacer::level(time_point now) const {
  if (now <= updated_) return level_;
  return std::min(options_.burst, level_ + seconds(now - updated_).count() * options_.calls_per_second);
}

bool call_pacer::try_call(time_point now) {
  if (now < blocked_until_) return false;
  const auto available = level(now);
  if (available < 1) return false;
  level_ = available - 1;
  updated_ = std::max(updated_, now);
  return true;
}

time_point call_pacer::next_call(time_point now) const {
  const auto missing = 1 - level(now);
  auto next = std::max(now, blocked_until_);
  if (missing > 0) {
    const auto wait = std::chrono::ceil<duration>(seconds(missing / options_.calls_per_second));
    next = std::max(next, now + wait);
  }
  return next;
}

void call_pacer::succeeded() noexcept {
  failures_ = 0;
  blocked_until_ = {};
}

void call_pacer::failed(time_point now) {
  // Doubling stops at the longest back-off; 20 steps exceed any such value.
  const auto step = std::min<duration>(options_.first_backoff * (1LL << std::min<std::size_t>(failures_, 20)),
                                       options_.longest_backoff);
  ++failures_;
  std::uniform_real_distribution<double> jitter{0.5, 1.0};
  blocked_until_ = now + std::chrono::duration_cast<duration>(step * jitter(random_));
}

}  // namespace bulrushlift
