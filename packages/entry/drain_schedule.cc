#include "entry/drain_schedule.h"

#include <algorithm>

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

// The load balancer checks readiness once per second and removes a VM after two failed checks. New
// connections must be served until then.
constexpr duration unready_notice_time = milliseconds{2'500};

// Percentages of the drain time after which open transactions are aborted and the process exits.
constexpr int transaction_percent = 50;
constexpr int exit_percent = 90;

// Sessions and operations are refused for this time before the process exits, so that each session that was
// opened can run its first statement, and most statements are answered.
constexpr duration refusal_time = milliseconds{400};

// Time to send the answer to a statement whose deadline has passed, to a caller of this VM or of another.
constexpr duration answer_time = milliseconds{150};

}  // namespace

duration drain_schedule::exit_time() const { return total_ * exit_percent / 100; }

drain_phase drain_schedule::phase_at(time_point now) const {
  const auto elapsed = now - start_;
  if (elapsed >= exit_time()) return drain_phase::over;
  if (elapsed >= exit_time() - refusal_time) return drain_phase::refusing;
  if (elapsed >= total_ * transaction_percent / 100) return drain_phase::ending_transactions;
  if (elapsed >= std::min(unready_notice_time, total_ / 2)) return drain_phase::closing_sessions;
  return drain_phase::unready;
}

time_point drain_schedule::last_deadline() const { return start_ + exit_time() - answer_time; }

}  // namespace bulrushlift::entry
