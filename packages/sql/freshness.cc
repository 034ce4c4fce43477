#include "sql/freshness.h"

#include <algorithm>

namespace bulrushlift::sql {
namespace {

// Least time between two samples; a shorter one gains nothing for age bounds of a second or more.
constexpr duration sample_spacing = std::chrono::milliseconds{20};

// Allowance for the time a read takes to reach its target, during which the sample ages further.
constexpr duration transit_allowance = std::chrono::milliseconds{100};

}  // namespace

void freshness_log::add(const freshness_sample& sample) {
  if (!samples_.empty()) {
    const auto& last = samples_.back();
    if (sample.point < last.point || sample.sent < last.sent) return;
    const bool is_same_term = sample.point.term == last.point.term;
    if (is_same_term && sample.sent - last.sent < sample_spacing) return;
  }
  samples_.push_back(sample);
}

std::optional<log_point> freshness_log::point_for(duration max_age, time_point now) const {
  const auto oldest = now - std::max(max_age - transit_allowance, duration::zero());
  const auto it =
      std::find_if(samples_.begin(), samples_.end(), [&](const auto& each) { return each.sent >= oldest; });
  if (it == samples_.end()) return std::nullopt;
  return it->point;
}

std::optional<time_point> freshness_log::newest() const {
  if (samples_.empty()) return std::nullopt;
  return samples_.back().sent;
}

std::optional<log_point> freshness_log::newest_point() const {
  if (samples_.empty()) return std::nullopt;
  return samples_.back().point;
}

void freshness_log::drop_before(time_point when) {
  while (samples_.size() > 1 && samples_.front().sent < when) samples_.pop_front();
}

std::optional<log_point> required_point(const database_route& route,
                                        const std::optional<log_point>& own_commit,
                                        const freshness_log& samples, time_point now) {
  if (route.level == consistency::primary) return std::nullopt;
  const auto point = samples.point_for(route.max_staleness, now);
  if (!point) return std::nullopt;
  if (route.level == consistency::bounded_staleness || !own_commit) return point;
  return std::max(*point, *own_commit);
}

}  // namespace bulrushlift::sql
