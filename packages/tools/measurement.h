#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tools/load_generator.h"

/// @file
/// Figures of one run: the four measures and the verdict of the audit.

namespace bulrushlift {

/// Rate and burst of a customer, in the order of `load_options::customers`.
struct agreed_share {
  double rate_per_second = 0;
  double burst = 0;
};

/// What the members of one service hold after the run.
struct service_audit {
  bool is_complete = false;                   ///< Whether a primary was read.
  std::map<std::string, std::string> values;  ///< Of the primary with the highest term.
  bool is_authorization_seen = false;         ///< By any member.
};

/// Requests of a customer that the rate and burst allowed, as an observer of all arrivals sees it.
struct refusal_count {
  std::uint64_t inside = 0;
  /// By how many requests the fleet admitted fewer than that. A customer that sends more than its rate may
  /// have other requests admitted than the observer's bucket would; only the number counts.
  std::uint64_t refused = 0;
};

/// Replays all arrivals of a customer through one token bucket.
[[nodiscard]] refusal_count count_wrongful_refusals(const std::deque<load_record>& records,
                                                    std::size_t customer, agreed_share share);

/// @return by how many requests the customer exceeded rate and burst in its worst window; at most 0 if
///   it never did. A request counts in a window that contains both its sending and its answer, since it
///   was admitted between them.
[[nodiscard]] double worst_excess(const std::deque<load_record>& records, std::size_t customer,
                                  agreed_share share);

/// Longest time between two successive acknowledged writes of a route that overlaps the time after
/// `event_at`, in milliseconds; nothing without writes on both sides.
[[nodiscard]] std::optional<double> failover_gap_ms(const std::deque<load_record>& records, std::size_t route,
                                                    time_point event_at);

/// @return the share of answered reads whose target was not the primary of its term.
[[nodiscard]] double replica_share(const std::deque<load_record>& records);

/// @return the whole report of a run.
[[nodiscard]] nlohmann::json make_report(const load_options& options, const std::vector<agreed_share>& shares,
                                         const std::deque<load_record>& records, time_point event_at,
                                         const std::vector<service_audit>& audits);

}  // namespace bulrushlift
