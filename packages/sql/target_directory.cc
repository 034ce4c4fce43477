#include "sql/target_directory.h"

#include <algorithm>
#include <utility>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Back-off before a failed target is tried again; doubles with each failure up to the maximum.
constexpr duration min_block = milliseconds{50};
constexpr duration max_block = milliseconds{800};

// A replica that lacked a point gets no reads for about the usual replication lag.
constexpr duration behind_pause = milliseconds{60};

// A log point that was reported longer ago than this says little about the current lag.
constexpr duration point_lifetime = milliseconds{400};

// Freshness samples older than the largest staleness bound in use are dropped.
constexpr duration sample_lifetime = seconds{30};

// A target that is leaving when this VM first hears of it has been for an unknown time.
constexpr duration assumed_leaving_time = seconds{3};

// Failures of a target from which on its older connections are doubtful. Replacing them after a single lost
// answer would cost a slot of the target for each.
constexpr std::uint32_t doubtful_failures = 2;

// Components of a target's cost, in tenths of a running statement.
constexpr int running_cost = 10;
constexpr int remote_cost = 4;
constexpr int primary_cost = 8;
// Of a target that looks bad while the others are unknown, so that some reads go to them.
constexpr int suspect_cost = 20;

duration block_time(std::uint32_t failures) {
  auto span = min_block;
  for (std::uint32_t i = 1; i < failures && span < max_block; ++i) span *= 2;
  return std::min(span, max_block);
}

}  // namespace

void target_directory::announce(const target_announcement& info, time_point now) {
  auto& entry = targets_[info.target];
  const bool is_other_process =
      entry.info.number.start != info.number.start || entry.info.address != info.address;
  const bool was_primary = entry.info.is_primary;
  if (is_other_process) entry = target_entry{};
  entry.info = info;
  if (!info.is_leaving) {
    entry.leaving_since.reset();
  } else if (!entry.leaving_since) {
    entry.leaving_since = is_other_process ? now - assumed_leaving_time : now;
  }
  if (is_other_process) health_.remove(info.target);
  health_.update(info.target, info.slots, info.is_leaving);
  if (is_other_process) {
    if (primary_ == info.target && !info.is_primary) set_primary(std::nullopt, now);
    entry.last_success = now;
  }
  const bool became_primary = info.is_primary && (!was_primary || is_other_process);
  if (became_primary || (info.is_primary && !primary_)) set_primary(info.target, now);
  if (!info.is_primary && was_primary && primary_ == info.target) set_primary(std::nullopt, now);
  if (!primary_ && !leaderless_since_) leaderless_since_ = now;
}

void target_directory::remove(const target_id& target, time_point now) {
  targets_.erase(target);
  health_.remove(target);
  if (primary_ == target) set_primary(std::nullopt, now);
}

void target_directory::set_primary(const std::optional<target_id>& target, time_point now) {
  if (target) {
    leaderless_since_.reset();
  } else if (primary_ || !leaderless_since_) {
    leaderless_since_ = now;
  }
  primary_ = target;
}

void target_directory::on_primary_answer(const target_id& target, const log_point& point, time_point sent,
                                         time_point now) {
  samples_.add({sent, point});
  samples_.drop_before(now - sample_lifetime);
  if (primary_ != target) set_primary(target, now);
}

void target_directory::on_read_only(const target_id& target, time_point now) {
  if (primary_ == target) set_primary(std::nullopt, now);
  const auto it = targets_.find(target);
  if (it != targets_.end()) it->second.info.is_primary = false;
}

void target_directory::on_answer(const target_id& target, const std::optional<log_point>& point,
                                 time_point now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) return;
  auto& entry = it->second;
  entry.failures = 0;
  entry.failing_since.reset();
  entry.last_success = now;
  entry.blocked_until = {};
  if (!point) return;
  entry.point = *point;
  entry.point_time = now;
}

void target_directory::on_behind(const target_id& target, time_point now) {
  const auto it = targets_.find(target);
  if (it != targets_.end()) it->second.behind_until = now + behind_pause;
}

void target_directory::on_failure(const target_id& target, time_point now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) return;
  auto& entry = it->second;
  ++entry.failures;
  if (!entry.failing_since) entry.failing_since = now;
  entry.last_failure = now;
  entry.blocked_until = now + block_time(entry.failures);
  health_.on_no_answer(target, entry.running, now);
}

bool target_directory::is_connection_doubtful(const target_id& target, time_point idle_since) const {
  const auto* entry = find(target);
  if (entry == nullptr || !entry->failing_since) return false;
  return entry->failures >= doubtful_failures && idle_since <= *entry->failing_since;
}

void target_directory::on_started(const target_id& target) {
  const auto it = targets_.find(target);
  if (it != targets_.end()) ++it->second.running;
}

void target_directory::on_started(const target_id& target, work_kind kind, duration objective,
                                  time_point now) {
  on_started(target);
  health_.on_started(target, kind, objective, now);
}

void target_directory::on_attempt(const target_id& target, const target_attempt& attempt, time_point now) {
  const auto* entry = find(target);
  if (entry != nullptr) health_.on_attempt(target, attempt, entry->running + 1, now);
}

void target_directory::on_finished(const target_id& target) {
  const auto it = targets_.find(target);
  if (it != targets_.end() && it->second.running > 0) --it->second.running;
}

const target_entry* target_directory::primary() const { return primary_ ? find(*primary_) : nullptr; }

term_id target_directory::newest_term() const {
  auto newest = samples_.newest_point().value_or(log_point{}).term;
  for (const auto& [id, entry] : targets_) {
    if (entry.point) newest = std::max(newest, entry.point->term);
  }
  return newest;
}

const target_entry* target_directory::find(const target_id& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? nullptr : &it->second;
}

bool target_directory::has_room(const target_id& target, std::uint32_t extra) const {
  const auto* entry = find(target);
  return entry != nullptr && !is_evacuated(*entry) && entry->running < health_.allowed(target, extra);
}

bool target_directory::is_blocked_by_evacuation(bool is_for_primary) const {
  if (targets_.empty()) return false;
  const auto* leader = primary();
  if (is_for_primary && leader != nullptr) return is_evacuated(*leader);
  return std::all_of(targets_.begin(), targets_.end(),
                     [this](const auto& each) { return is_evacuated(each.second); });
}

bool target_directory::has_room(std::uint32_t extra) const {
  const bool has_healthy = std::any_of(targets_.begin(), targets_.end(), [this](const auto& each) {
    return !each.second.failing_since && !is_evacuated(each.second) && !health_.is_ejected(each.first);
  });
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& each) {
    const bool is_avoided = has_healthy && health_.is_ejected(each.first) && primary_ != each.first;
    return !is_avoided && has_room(each.first, extra);
  });
}

bool target_directory::is_eligible(const target_entry& entry, const log_point& required,
                                   time_point now) const {
  if (entry.info.is_leaving || is_evacuated(entry) || entry.blocked_until > now) return false;
  if (primary_ == entry.info.target) return true;
  if (entry.behind_until > now) return false;
  const bool is_point_recent = entry.point && now - entry.point_time < point_lifetime;
  // A replica whose last reported point is below the required one, but not recent, is tried:
  // the target itself checks the required point.
  return !is_point_recent || *entry.point >= required || now - entry.point_time > behind_pause;
}

int target_directory::cost(const target_entry& entry, const target_requirements& request,
                           time_point now) const {
  int sum = static_cast<int>(entry.running) * running_cost;
  if (entry.info.data_centre != request.preferred_data_centre) sum += remote_cost;
  if (primary_ == entry.info.target) sum += primary_cost;
  if (health_.is_suspect(entry.info.target, now)) sum += suspect_cost;
  return sum;
}

std::vector<target_id> target_directory::candidates(const target_requirements& request,
                                                    time_point now) const {
  if (!request.required_point) {
    const auto* leader = primary();
    if (leader == nullptr || is_evacuated(*leader) || leader->blocked_until > now) return {};
    const bool is_over = request.drain_time > duration::zero() && leader->leaving_since &&
                         now - *leader->leaving_since >= request.drain_time;
    if (is_over) return {};
    return {leader->info.target};
  }
  std::vector<std::pair<int, target_id>> ranked;
  std::vector<std::pair<int, target_id>> ejected;
  for (const auto& [id, entry] : targets_) {
    if (!is_eligible(entry, *request.required_point, now)) continue;
    const bool is_admitted = health_.admission(id, entry.running, now) != read_admission::none;
    (is_admitted ? ranked : ejected).emplace_back(cost(entry, request, now), id);
  }
  if (ranked.empty()) ranked = std::move(ejected);
  std::sort(ranked.begin(), ranked.end());
  std::vector<target_id> chosen;
  chosen.reserve(ranked.size());
  for (auto& [weight, id] : ranked) chosen.push_back(std::move(id));
  return chosen;
}

}  // namespace bulrushlift::sql
