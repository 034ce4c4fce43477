#include "fleet/confirmation_monitor.h"

#include <algorithm>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;

// Added to the age in a heartbeat. Without it a confirmation that two VMs report to each other would become
// younger by the time of each transfer and never expire.
constexpr duration transfer_allowance = milliseconds{50};

}  // namespace

// A third of the bound is left for the check itself and for a slow store. The random part lets the check of
// one VM reach the others before they check too.
confirmation_monitor::confirmation_monitor(duration bound, std::uint64_t seed)
    : limit_(bound * 2 / 3),
      max_delay_(bound / 10),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U))) {}

void confirmation_monitor::on_applied(generation_id generation, time_point now) {
  generation_ = generation;
  confirmed_at_ = now;
}

void confirmation_monitor::on_confirmed(time_point now) { confirm(now); }

void confirmation_monitor::on_reported(const configuration_status& status, time_point now) {
  if (status.generation != generation_ || !status.confirmed_age) return;
  confirm(now - *status.confirmed_age - transfer_allowance);
}

void confirmation_monitor::confirm(time_point at) {
  if (!confirmed_at_ || at > *confirmed_at_) confirmed_at_ = at;
}

bool confirmation_monitor::try_check(time_point now) {
  if (!confirmed_at_) return false;
  const auto last = checked_at_ ? std::max(*confirmed_at_, *checked_at_) : *confirmed_at_;
  if (now - last < limit_ + delay_) return false;
  checked_at_ = now;
  std::uniform_int_distribution<duration::rep> choose{0, max_delay_.count()};
  delay_ = duration{choose(random_)};
  return true;
}

configuration_status confirmation_monitor::status_at(time_point now) const {
  configuration_status status{generation_, std::nullopt};
  if (confirmed_at_) status.confirmed_age = now - *confirmed_at_;
  return status;
}

}  // namespace bulrushlift
