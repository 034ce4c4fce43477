#include "sql/wait_estimator.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bulrushlift::sql {
namespace {

// Weight, as a divisor, of the newest service time in the mean.
constexpr int mean_weight = 16;

// Time after which work counts half in the load of urgent statements.
constexpr std::chrono::duration<double> load_half_life{1.0};

// Overdue statements get a part of the starts even under full urgent load.
constexpr double max_urgent_load = 0.8;

// Refusals begin when the prediction exceeds the permitted wait, and end when it is a quarter below.
constexpr int refuse_above_percent = 100;
constexpr int admit_below_percent = 75;

double decay(duration age) {
  return std::exp2(-std::chrono::duration<double>{std::max(age, duration::zero())} / load_half_life);
}

}  // namespace

void wait_estimator::on_finished(int priority, duration elapsed, time_point now) {
  if (elapsed < duration::zero()) return;
  auto& record = records_[priority];
  record.mean += (elapsed - record.mean) / (record.mean == duration::zero() ? 1 : mean_weight);
  record.recent_work =
      record.recent_work * decay(now - record.updated) + std::chrono::duration<double>{elapsed}.count();
  record.updated = now;
}

duration wait_estimator::mean_of(int priority) const {
  const auto it = records_.find(priority);
  return it == records_.end() ? duration::zero() : it->second.mean;
}

double wait_estimator::urgent_load(int priority, std::size_t slots, time_point now) const {
  double work = 0;
  for (const auto& [each, record] : records_) {
    if (each < priority) work += record.recent_work * decay(now - record.updated);
  }
  // A steady load adds up to its rate times half-life / ln 2.
  const auto per_second = work * std::numbers::ln2 / load_half_life.count();
  return std::min(per_second / static_cast<double>(slots), max_urgent_load);
}

duration wait_estimator::predict(int priority, const statements_ahead& ahead, const slot_use& use,
                                 time_point now) const {
  // Without slots no target is known; the statement waits for one.
  if (use.slots == 0 || (ahead.empty() && use.running < use.slots)) return duration::zero();
  duration work{};
  for (const auto& [each, count] : ahead) work += mean_of(each) * static_cast<std::int64_t>(count);
  // A slot becomes free after the mean service time divided by the number of busy slots.
  if (use.running >= use.slots) work += mean_of(priority);
  const auto seconds = std::chrono::duration<double>{work}.count() / static_cast<double>(use.slots) /
                       (1 - urgent_load(priority, use.slots, now));
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

bool wait_estimator::should_refuse(int priority, duration predicted, duration can_wait,
                                   const statements_ahead& ahead) {
  if (ahead.empty()) {
    refusing_.erase(priority);
    return false;
  }
  const auto percent = refusing_.contains(priority) ? admit_below_percent : refuse_above_percent;
  if (predicted <= can_wait * percent / 100) {
    refusing_.erase(priority);
    return false;
  }
  refusing_.insert(priority);
  return true;
}

}  // namespace bulrushlift::sql
