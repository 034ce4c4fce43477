#include "sql/concurrency_limit.h"

#include <algorithm>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

// Bounds an announced number of slots, so that sums with it cannot overflow.
constexpr std::uint32_t max_slots = 65'536;

constexpr double decrease_factor = 0.75;
// Share of a statement by which each round of answers raises the limit.
constexpr double increase_per_round = 0.25;

// A single refusal can be caused by a connection that has just been opened.
constexpr duration busy_window = milliseconds{200};
// Statements that were sent before a decrease say nothing about its effect.
constexpr duration decrease_interval = milliseconds{100};

// Latency counts as rising with the load if it at least doubles, is a relevant part of the objective, and
// both means rest on enough answers.
constexpr double rising_factor = 2;
constexpr double relevant_latency = 0.25;
constexpr double min_weight = 8;

}  // namespace

void concurrency_limit::set_slots(std::uint32_t slots) {
  slots_ = std::clamp<std::uint32_t>(slots, 1, max_slots);
  if (limit_ && *limit_ > slots_) limit_.reset();
}

std::uint32_t concurrency_limit::allowed(std::uint32_t extra) const {
  if (!limit_) return slots_ + std::min(extra, max_slots);
  return std::max(1U, static_cast<std::uint32_t>(*limit_));
}

void concurrency_limit::on_busy(std::uint32_t running, time_point now) {
  // This VM fills the slots by itself.
  if (running > slots_) return;
  const bool is_repeated = busy_at_ && now - *busy_at_ <= busy_window;
  busy_at_ = now;
  if (is_repeated) lower(running, now);
}

void concurrency_limit::on_answer(const load_sample& sample, time_point now) {
  const auto current = limit_.value_or(slots_);
  if (sample.running <= slots_) {
    auto& mean = 2 * sample.running <= current ? few_ : many_;
    mean.add(sample.latency, now);
    if (is_latency_rising(now)) {
      lower(sample.running, now);
      return;
    }
  }
  // Answers below the limit do not show that more would be served.
  if (!limit_ || sample.running + 1 < current) return;
  *limit_ += increase_per_round / *limit_;
  if (*limit_ >= slots_ + 1) limit_.reset();
}

bool concurrency_limit::is_latency_rising(time_point now) const {
  if (few_.weight(now) < min_weight || many_.weight(now) < min_weight) return false;
  return many_.mean() >= relevant_latency && many_.mean() >= rising_factor * few_.mean();
}

void concurrency_limit::lower(std::uint32_t running, time_point now) {
  if (now - lowered_at_ < decrease_interval) return;
  lowered_at_ = now;
  const auto current = limit_.value_or(slots_);
  limit_ = std::max(1.0, std::min<double>(current, running) * decrease_factor);
  many_ = {};
}

}  // namespace bulrushlift::sql
