#include "database/group_view.h"

#include <algorithm>
#include <cmath>

namespace bulrushlift {
namespace {

/// A clock that is slow by 1 % measures 0.99 s for each second. Adding 1/50 (2 %) to the measured time
/// makes it an upper bound.
constexpr std::int64_t drift_divisor = 50;

}  // namespace

const target_view* find_target(const group_view& view, const target_id& target) noexcept {
  const auto it = std::find_if(view.targets.begin(), view.targets.end(),
                               [&](const target_view& item) { return item.target == target; });
  return it == view.targets.end() ? nullptr : &*it;
}

const target_view* writable_primary(const group_view& view) noexcept {
  if (view.promotion != promotion_step::none) return nullptr;
  const auto* primary = find_target(view, view.primary);
  return primary != nullptr && primary->is_reachable ? primary : nullptr;
}

bool is_consistent(const group_view& view, const target_view& target) noexcept {
  return target.point.term == view.term && target.term == view.term;
}

std::optional<duration> data_age(const group_view& view, const log_point& point, time_point now) noexcept {
  const auto it = std::find_if(view.samples.rbegin(), view.samples.rend(),
                               [&](const freshness_sample& sample) { return sample.point <= point; });
  if (it == view.samples.rend()) return std::nullopt;
  const auto measured = now - it->sent_at;
  return measured + measured / drift_divisor + duration{1};
}

std::optional<duration> expected_wait(const target_view& target, const log_point& point) noexcept {
  if (target.point >= point) return duration{};
  if (target.point.term != point.term || target.entries_per_second <= 0) return std::nullopt;
  const auto missing = static_cast<double>(point.position.value() - target.point.position.value());
  return duration{static_cast<std::int64_t>(std::ceil(missing / target.entries_per_second * 1e9))};
}

std::string_view name_of(target_role role) noexcept {
  return role == target_role::primary ? "primary" : "replica";
}

std::string_view name_of(promotion_step step) noexcept {
  switch (step) {
    case promotion_step::draining:
      return "draining";
    case promotion_step::fencing:
      return "fencing";
    case promotion_step::promoting:
      return "promoting";
    case promotion_step::none:
      break;
  }
  return "none";
}

}  // namespace bulrushlift
