#include "database/read_router.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace bulrushlift {
namespace {

using candidate_list = std::vector<const read_candidate*>;

bool is_age_satisfied(const read_requirements& read, std::optional<duration> data_age) noexcept {
  return !read.maximum_age || (data_age && *data_age <= *read.maximum_age);
}

bool is_usable_replica(const read_candidate& it) noexcept {
  return !it.is_primary && it.is_reachable && !it.is_leaving && it.is_consistent;
}

/// @return the estimated time until the replica reaches the required point; nothing without an estimate.
std::optional<duration> expected_catch_up_time(const read_requirements& read, const read_candidate& it) {
  if (!read.required_point || !is_usable_replica(it) || !is_age_satisfied(read, it.data_age))
    return std::nullopt;
  if (it.point.term != read.required_point->term || it.entries_per_second <= 0) return std::nullopt;
  const auto missing = static_cast<double>(read.required_point->position.value()) -
                       static_cast<double>(it.point.position.value());
  const duration needed{static_cast<duration::rep>(std::ceil(missing / it.entries_per_second * 1e9))};
  return std::max(duration{}, needed - it.point_age);
}

/// @return the best candidate: a free slot counts first, then the data centre, then the lowest load.
const read_candidate* best_of(const candidate_list& candidates, const data_centre_id& data_centre,
                              std::uint64_t random) {
  const read_candidate* best = nullptr;
  const auto rank = [&](const read_candidate& it) {
    return std::tuple{it.free_slots == 0, it.data_centre != data_centre, it.load};
  };
  std::uint64_t equals = 0;
  for (const auto* it : candidates) {
    if (best == nullptr || rank(*it) < rank(*best)) {
      best = it;
      equals = 1;
    } else if (rank(*it) == rank(*best) && random % ++equals == 0) {
      best = it;
    }
  }
  return best;
}

/// The replicas that can serve a read now or soon.
struct replica_candidates {
  candidate_list eligible;
  std::optional<duration> earliest_catch_up;  ///< Estimated time until the first of the other replicas can.
};

replica_candidates classify_replicas(const read_requirements& read,
                                     std::span<const read_candidate> candidates) {
  replica_candidates replicas;
  if (read.is_primary_only) return replicas;
  for (const auto& it : candidates) {
    if (is_eligible(read, it)) {
      replicas.eligible.push_back(&it);
      continue;
    }
    const auto catch_up_time = expected_catch_up_time(read, it);
    if (!catch_up_time) continue;
    if (!replicas.earliest_catch_up || *catch_up_time < *replicas.earliest_catch_up)
      replicas.earliest_catch_up = catch_up_time;
  }
  return replicas;
}

/// @return whether fewer than three reads wait for each running one. In a longer queue a read would reach
///   the limit of its wait and run on the primary anyway.
bool is_queue_short(const read_requirements& read, const candidate_list& busy) {
  std::uint32_t running = 0;
  for (const auto* it : busy) running += it->load;
  return read.queued_reads < 3 * running;
}

const read_candidate* find_primary(std::span<const read_candidate> candidates) {
  const auto it =
      std::ranges::find_if(candidates, [](const auto& c) { return c.is_primary && c.is_reachable; });
  return it == candidates.end() ? nullptr : &*it;
}

read_decision wait_or_refuse(const read_requirements& read, std::span<const read_candidate> candidates,
                             const read_options& options, time_point now) {
  if (now < read.deadline)
    return wait_for_target{std::min(read.deadline, now + options.retry_interval), "no member"};
  const bool is_any_reachable = std::ranges::any_of(candidates, &read_candidate::is_reachable);
  if (is_any_reachable) {
    return refuse_read{{error_kind::position_unavailable,
                        "no reachable target has data that is recent enough for the read"}};
  }
  return refuse_read{{error_kind::target_unavailable, "no target of the service is reachable"}};
}

}  // namespace

bool is_point_satisfied(const read_requirements& read, log_point point) noexcept {
  return !read.required_point || point >= *read.required_point;
}

bool is_eligible(const read_requirements& read, const read_candidate& candidate) noexcept {
  return is_usable_replica(candidate) && is_point_satisfied(read, candidate.point) &&
         is_age_satisfied(read, candidate.data_age);
}

bool is_answer_sufficient(const read_requirements& read, log_point point,
                          std::optional<duration> data_age) noexcept {
  return is_point_satisfied(read, point) && is_age_satisfied(read, data_age);
}

read_decision route_read(const read_requirements& read, std::span<const read_candidate> candidates,
                         const read_options& options, time_point now, std::uint64_t random) {
  const auto replicas = classify_replicas(read, candidates);
  const auto* best = best_of(replicas.eligible, read.data_centre, random);
  if (best != nullptr && best->free_slots > 0) return run_read{best->target, true, "fresh replica"};
  const auto* primary = find_primary(candidates);
  const bool is_primary_free = primary != nullptr && primary->free_slots > 0;
  const auto wait_end = std::min(read.deadline, read.first_routed + options.replica_wait);
  if (best != nullptr && now < wait_end && is_queue_short(read, replicas.eligible))
    return wait_for_target{wait_end, "replicas busy"};
  if (!is_primary_free && replicas.earliest_catch_up && now + *replicas.earliest_catch_up < wait_end) {
    const auto until = now + std::max(*replicas.earliest_catch_up, duration{std::chrono::microseconds{100}});
    return wait_for_target{std::min(until, wait_end), "replica about to reach the point"};
  }
  if (primary != nullptr && is_primary_free) return run_read{primary->target, false, "no replica in time"};
  // All targets are busy; the one with the lowest load has the shortest queue.
  if (best != nullptr) return run_read{best->target, true, "busy replica"};
  if (primary != nullptr) return run_read{primary->target, false, "busy primary"};
  return wait_or_refuse(read, candidates, options, now);
}

}  // namespace bulrushlift
