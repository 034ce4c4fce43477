#include "limits/borrowed_tokens.h"

#include <algorithm>

namespace bulrushlift {

void borrowed_tokens::add(const vm_id& home, loan_id loan, millitokens amount, time_point expires) {
  const auto is_same = [&](const lot& each) { return each.loan == loan && each.home == home; };
  if (std::any_of(lots_.begin(), lots_.end(), is_same)) return;
  const auto it =
      std::find_if(lots_.begin(), lots_.end(), [expires](const lot& each) { return each.expires > expires; });
  lots_.insert(it, {home, loan, amount, millitokens{}, expires});
}

void borrowed_tokens::drop_expired(time_point now) {
  std::erase_if(lots_, [now](const lot& each) { return each.expires <= now; });
}

millitokens borrowed_tokens::available(time_point now) {
  drop_expired(now);
  millitokens sum;
  for (const auto& each : lots_) sum += each.left();
  return sum;
}

millitokens borrowed_tokens::take(millitokens amount, time_point now) {
  drop_expired(now);
  auto missing = amount;
  for (auto& each : lots_) {
    const auto part = std::min(missing, each.left());
    each.used += part;
    missing -= part;
  }
  return amount - missing;
}

std::vector<loan_use> borrowed_tokens::uses_of(const vm_id& home, time_point now) {
  drop_expired(now);
  std::vector<loan_use> uses;
  for (const auto& each : lots_) {
    if (each.home == home && each.used > millitokens{}) uses.push_back({each.loan, each.used});
  }
  return uses;
}

void borrowed_tokens::forget_reported(const vm_id& home, const std::vector<loan_use>& reported) {
  std::erase_if(lots_, [&](const lot& each) {
    if (each.home != home || each.left() > millitokens{}) return false;
    return std::find(reported.begin(), reported.end(), loan_use{each.loan, each.used}) != reported.end();
  });
}

}  // namespace bulrushlift
