#include "sql/target_health.h"

#include <algorithm>
#include <utility>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A statement may wait for a slot for half of its objective, so a target that takes the other half makes it
// late.
constexpr double slow_latency = 0.5;
// Bounds the weight of one very slow statement in a mean.
constexpr double max_latency = 4;

constexpr std::array all_reasons{ejection_reason::unresponsive, ejection_reason::failing,
                                 ejection_reason::refusing, ejection_reason::slow};

// Least share of bad attempts for an ejection, by `ejection_reason`.
constexpr std::array<double, ejection_reasons> min_share{0.3, 0.2, 0.5, 0.5};
// Bad attempts for an ejection, so that a single one ejects nobody.
constexpr double min_bad = 3;
// How far above the median of the others a target has to be.
constexpr double others_factor = 2;
// Attempts from which a target can be compared with.
constexpr double min_weight = 3;

constexpr duration min_ejection = milliseconds{400};
constexpr duration max_ejection = seconds{5};
constexpr std::uint32_t max_ejections = 8;
// A target that stays in use this long is given back one step of its ejection time.
constexpr duration calm_period = seconds{10};

constexpr std::uint32_t max_running_probes = 1;
constexpr std::uint32_t required_good_probes = 5;
constexpr std::uint32_t max_slow_probes = 1;

// Statements without an answer from which a target counts as silent; one may just be long.
constexpr std::uint32_t min_silent = 2;
constexpr double silent_latency = 0.5;

constexpr std::size_t index_of(ejection_reason reason) { return static_cast<std::size_t>(reason); }

double part_of(duration latency, duration objective) {
  if (objective <= duration::zero()) return 0;
  const auto part = std::chrono::duration<double>(latency) / std::chrono::duration<double>(objective);
  return std::clamp(part, 0.0, max_latency);
}

duration ejection_time(std::uint32_t ejections) {
  auto span = min_ejection;
  for (std::uint32_t i = 0; i < ejections && span < max_ejection; ++i) span *= 2;
  return std::min(span, max_ejection);
}

}  // namespace

std::string_view name_of(ejection_reason reason) noexcept {
  switch (reason) {
    case ejection_reason::unresponsive:
      return "unresponsive";
    case ejection_reason::failing:
      return "failing";
    case ejection_reason::refusing:
      return "refusing";
    case ejection_reason::slow:
      break;
  }
  return "slow";
}

std::string_view name_of(health_event event) noexcept {
  switch (event) {
    case health_event::ejected:
      return "ejected";
    case health_event::probing:
      return "probing";
    case health_event::returned:
      return "returned";
    case health_event::limit_lowered:
      return "limit_lowered";
    case health_event::limit_lifted:
      break;
  }
  return "limit_lifted";
}

void target_health::update(const target_id& target, std::uint32_t slots, bool is_leaving) {
  auto& each = targets_[target];
  each.slots = std::max(slots, 1U);
  each.is_leaving = is_leaving;
  each.limit.set_slots(slots);
}

void target_health::remove(const target_id& target) { targets_.erase(target); }

const target_health::state* target_health::find(const target_id& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? nullptr : &it->second;
}

void target_health::on_started(const target_id& target, work_kind kind, duration objective, time_point now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) return;
  auto& each = it->second;
  if (!each.waiting_since) {
    each.waiting_since = now;
    each.waiting_objective = duration::zero();
  }
  each.waiting_objective = std::max(each.waiting_objective, objective);
  const bool can_probe = each.ejected_until && *each.ejected_until <= now && !each.is_probing;
  if (!can_probe || kind != work_kind::read) return;
  each.is_probing = true;
  report(target, each, health_event::probing);
}

void target_health::on_attempt(const target_id& target, const target_attempt& attempt, std::uint32_t running,
                               time_point now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) return;
  auto& each = it->second;
  const auto remaining = running > 0 ? running - 1 : 0;
  if (attempt.end == attempt_end::unanswered) {
    on_no_answer(target, remaining, now);
    return;
  }
  each.unanswered_in_row = 0;
  each.answered_at = now;
  each.waiting_since = remaining > 0 ? std::optional{now} : std::nullopt;
  const bool was_lowered = each.limit.is_lowered();
  const auto own_load = running + attempt.opening;
  if (attempt.end == attempt_end::busy) each.limit.on_busy(own_load, now);
  if (attempt.end == attempt_end::answered && attempt.kind == work_kind::read) {
    each.limit.on_answer({own_load, part_of(attempt.latency, attempt.objective)}, now);
  }
  report_limit(target, each, was_lowered);
  measure(each, attempt, own_load, now);
  if (each.ejected_until) {
    on_probe(target, each, attempt, now);
  } else {
    judge(target, each, now);
  }
}

void target_health::on_no_answer(const target_id& target, std::uint32_t running, time_point now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) return;
  auto& each = it->second;
  ++each.unanswered_in_row;
  if (running == 0) each.waiting_since.reset();
  each.shares[index_of(ejection_reason::unresponsive)].add(1, now);
  if (!each.ejected_until) {
    judge(target, each, now);
  } else if (each.is_probing) {
    eject_again(target, each, ejection_reason::unresponsive, now);
  }
}

void target_health::measure(state& each, const target_attempt& attempt, std::uint32_t own_load,
                            time_point now) {
  auto& refusals = each.shares[index_of(ejection_reason::refusing)];
  if (attempt.end == attempt_end::busy && own_load <= each.slots) refusals.add(1, now);
  if (attempt.end != attempt_end::answered && attempt.end != attempt_end::failed) return;
  refusals.add(0, now);
  each.shares[index_of(ejection_reason::unresponsive)].add(0, now);
  const auto latency = part_of(attempt.latency, attempt.objective);
  if (attempt.kind == work_kind::primary_work) {
    if (attempt.end == attempt_end::answered) each.write_latency.add(latency, now);
    return;
  }
  const bool has_failed = attempt.end == attempt_end::failed;
  each.shares[index_of(ejection_reason::failing)].add(has_failed ? 1 : 0, now);
  // A failure may come early and says nothing about the speed.
  if (has_failed) return;
  each.read_latency.add(latency, now);
  each.shares[index_of(ejection_reason::slow)].add(latency > slow_latency ? 1 : 0, now);
}

bool target_health::is_bad(const state& each, ejection_reason reason, time_point now) {
  const auto& share = each.shares.at(index_of(reason));
  return share.mean() >= min_share.at(index_of(reason)) && share.mean() * share.weight(now) >= min_bad;
}

template <class Measure>
std::optional<double> target_health::others_median(const target_id& target, Measure measure,
                                                   time_point now) const {
  std::vector<double> values;
  for (const auto& [id, other] : targets_) {
    if (id == target || other.is_leaving || other.ejected_until) continue;
    const decaying_mean& value = measure(other);
    if (value.weight(now) >= min_weight) values.push_back(value.mean());
  }
  if (values.empty()) return std::nullopt;
  // The upper one of two in the middle: in doubt the target is not worse than the others.
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void target_health::judge(const target_id& target, state& each, time_point now) {
  for (const auto reason : all_reasons) {
    if (!is_bad(each, reason, now)) continue;
    const auto& share = each.shares.at(index_of(reason));
    const auto others = others_median(
        target, [&](const state& other) -> const auto& { return other.shares.at(index_of(reason)); }, now);
    // A gateway runs statements on the targets of its data centre only, so it may know of no other one.
    // Missing and failed answers then count by themselves; slow ones may come from the load.
    if (!others && reason == ejection_reason::slow) continue;
    if (share.mean() < others_factor * others.value_or(0)) continue;
    const auto latency = others_median(
        target, [](const state& other) -> const auto& { return other.read_latency; }, now);
    if (reason == ejection_reason::slow && (!latency || each.read_latency.mean() < others_factor * *latency))
      continue;
    if (!can_eject(target)) return;
    health_change inputs;
    inputs.reason = reason;
    inputs.share = share.mean();
    inputs.others_share = others.value_or(0);
    eject(target, each, inputs, now);
    return;
  }
}

bool target_health::can_eject(const target_id& target) const {
  std::size_t listed = 0;
  std::size_t ejected = 0;
  bool has_other = false;
  for (const auto& [id, each] : targets_) {
    if (each.is_leaving) continue;
    ++listed;
    if (each.ejected_until && id != target) ++ejected;
    if (id != target && !each.ejected_until && each.unanswered_in_row == 0) has_other = true;
  }
  return has_other && 2 * (ejected + 1) <= listed;
}

void target_health::eject(const target_id& target, state& each, const health_change& inputs, time_point now) {
  const auto calm = each.ejected_until ? duration::zero() : now - each.returned_at;
  const auto forgiven = static_cast<std::uint32_t>(
      std::min<std::int64_t>(std::max<std::int64_t>(calm / calm_period, 0), max_ejections));
  each.ejections -= std::min(each.ejections, forgiven);
  each.latest = inputs;
  each.latest.ejection = ejection_time(each.ejections);
  each.ejections = std::min(each.ejections + 1, max_ejections);
  each.ejected_until = now + each.latest.ejection;
  each.is_probing = false;
  each.good_probes = 0;
  each.slow_probes = 0;
  report(target, each, health_event::ejected);
}

void target_health::eject_again(const target_id& target, state& each, ejection_reason reason,
                                time_point now) {
  auto inputs = each.latest;
  inputs.reason = reason;
  inputs.share = each.shares.at(index_of(reason)).mean();
  eject(target, each, inputs, now);
}

void target_health::on_probe(const target_id& target, state& each, const target_attempt& attempt,
                             time_point now) {
  // Answers to statements that were sent before the ejection ended prove nothing.
  if (!each.is_probing || attempt.kind != work_kind::read) return;
  if (attempt.end == attempt_end::failed) {
    eject_again(target, each, ejection_reason::failing, now);
  } else if (attempt.end == attempt_end::busy) {
    eject_again(target, each, ejection_reason::refusing, now);
  } else if (attempt.end == attempt_end::answered &&
             part_of(attempt.latency, attempt.objective) > slow_latency) {
    if (++each.slow_probes > max_slow_probes) eject_again(target, each, ejection_reason::slow, now);
  } else if (attempt.end == attempt_end::answered && ++each.good_probes >= required_good_probes) {
    end_ejection(target, each, now);
  }
}

void target_health::end_ejection(const target_id& target, state& each, time_point now) {
  report(target, each, health_event::returned);
  each.ejected_until.reset();
  each.is_probing = false;
  each.returned_at = now;
  each.shares = {};
  each.read_latency = {};
}

bool target_health::is_silent(const target_id& target, const state& each, std::uint32_t running,
                              time_point now) const {
  if (running < min_silent || !each.waiting_since) return false;
  const auto since = *each.waiting_since;
  if (part_of(now - since, each.waiting_objective) < silent_latency) return false;
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& other) {
    return other.first != target && !other.second.ejected_until && other.second.answered_at > since;
  });
}

read_admission target_health::admission(const target_id& target, std::uint32_t running,
                                        time_point now) const {
  const auto* each = find(target);
  if (each == nullptr) return read_admission::full;
  if (is_silent(target, *each, running, now)) return read_admission::none;
  if (!each->ejected_until) return read_admission::full;
  if (*each->ejected_until > now || running >= max_running_probes) return read_admission::none;
  return read_admission::probe;
}

bool target_health::is_suspect(const target_id& target, time_point now) const {
  const auto* each = find(target);
  if (each == nullptr || each->ejected_until) return false;
  const auto is_unmatched = [&](ejection_reason reason) {
    const auto share_of = [&](const state& other) -> const auto& {
      return other.shares.at(index_of(reason));
    };
    return is_bad(*each, reason, now) && !others_median(target, share_of, now);
  };
  return std::any_of(all_reasons.begin(), all_reasons.end(), is_unmatched);
}

bool target_health::is_ejected(const target_id& target) const {
  const auto* each = find(target);
  return each != nullptr && each->ejected_until;
}

std::uint32_t target_health::allowed(const target_id& target, std::uint32_t extra) const {
  const auto* each = find(target);
  return each == nullptr ? 1 + extra : each->limit.allowed(extra);
}

void target_health::report(const target_id& target, const state& each, health_event event) {
  auto change = each.latest;
  change.target = target;
  change.event = event;
  change.latency = each.read_latency.mean();
  change.write_latency = each.write_latency.mean();
  change.allowed = each.limit.allowed(0);
  changes_.push_back(std::move(change));
}

void target_health::report_limit(const target_id& target, const state& each, bool was_lowered) {
  if (each.limit.is_lowered() == was_lowered) return;
  report(target, each, was_lowered ? health_event::limit_lifted : health_event::limit_lowered);
}

std::vector<health_change> target_health::take_changes() { return std::exchange(changes_, {}); }

}  // namespace bulrushlift::sql
