#include "sql/report_filter.h"

namespace bulrushlift::sql {
namespace {

constexpr duration removed_lifetime = std::chrono::minutes{10};

}  // namespace

bool report_filter::accept(const target_id& target, store_epoch epoch, const report_number& number) {
  const auto [it, is_new] = reports_.try_emplace(target, report{epoch, number, std::nullopt});
  if (is_new) return true;
  auto& known = it->second;
  // A removed target is listed again only with a report that it made since.
  const bool is_older = known.removed_at ? number <= known.number : number < known.number;
  if (epoch > known.epoch && is_older) return false;
  known = {epoch, number, std::nullopt};
  return true;
}

void report_filter::on_removed(const target_id& target, time_point now) {
  forget_removed(now);
  const auto it = reports_.find(target);
  if (it != reports_.end() && !it->second.removed_at) it->second.removed_at = now;
}

void report_filter::forget_removed(time_point now) {
  std::erase_if(reports_, [now](const auto& each) {
    return each.second.removed_at && now - *each.second.removed_at > removed_lifetime;
  });
}

}  // namespace bulrushlift::sql
