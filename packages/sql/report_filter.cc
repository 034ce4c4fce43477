#include "sql/report_filter.h"

namespace bulrushlift::sql {
namespace {

constexpr duration removed_lifetime = std::chrono::minutes{10};

}  // namespace

bool report_filter::accept(const target_id& target, store_epoch epoch, const report_number& number,
                           time_point now) {
  const report received{epoch, number, std::nullopt, std::nullopt};
  const auto [it, is_new] = reports_.try_emplace(target, received);
  if (is_new) return true;
  auto& known = it->second;
  if (is_lost(known, epoch, number, now)) return false;
  known = received;
  return true;
}

bool report_filter::is_lost(report& known, store_epoch epoch, const report_number& number,
                            time_point now) const {
  if (epoch <= known.epoch) return false;
  if (!known.removed_at) return number < known.number;
  if (number > known.number) return false;
  if (!known.listed_again_at) known.listed_again_at = now;
  return now - *known.listed_again_at < removal_time_;
}

void report_filter::on_removed(const target_id& target, time_point now) {
  forget_removed(now);
  const auto it = reports_.find(target);
  if (it == reports_.end()) return;
  it->second.listed_again_at.reset();
  if (!it->second.removed_at) it->second.removed_at = now;
}

void report_filter::forget_removed(time_point now) {
  std::erase_if(reports_, [now](const auto& each) {
    return each.second.removed_at && now - *each.second.removed_at > removed_lifetime;
  });
}

}  // namespace bulrushlift::sql
