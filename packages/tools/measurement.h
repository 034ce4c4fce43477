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
/// Evaluates the records of one run: the four measures and the result of the audit.

namespace bulrushlift {

/// Rate limit of a customer. Lists have the order of `load_options::customers`.
struct customer_limit {
  double rate_per_second = 0;
  double burst = 0;
};

/// State of the database members of one service after the run.
struct service_audit {
  bool is_complete = false;                   ///< Whether the state of a primary could be read.
  std::map<std::string, std::string> values;  ///< Values held by the primary with the highest term.
  bool is_authorization_seen = false;         ///< Whether any member received a caller's credentials.
};

/// Requests of a customer compared with one token bucket that observes all arrivals.
struct admission_count {
  std::uint64_t within_limit = 0;  ///< Requests that the bucket admits.
  /// How many fewer requests the fleet admitted. If a customer exceeds its rate, the fleet may admit
  /// other requests than the bucket does, so only the numbers are compared.
  std::uint64_t refused = 0;
};

/// Replays all arrivals of a customer through one token bucket and compares the numbers of admissions.
[[nodiscard]] admission_count count_wrongful_refusals(const std::deque<load_record>& records,
                                                      std::size_t customer, customer_limit limit);

/// @return the number of requests by which the customer exceeded rate and burst in its worst window; at
///   most 0 if it never did. A request counts in a window only if the window contains both the sending
///   and the answer, because it was admitted at some time between them.
[[nodiscard]] double worst_excess(const std::deque<load_record>& records, std::size_t customer,
                                  customer_limit limit);

/// @return the longest gap between two successive acknowledged writes of a route, in milliseconds, among
///   the gaps that end at or after `event_at`; nothing if there is no such gap.
[[nodiscard]] std::optional<double> failover_gap_ms(const std::deque<load_record>& records, std::size_t route,
                                                    time_point event_at);

/// @return the share of successful reads that a target other than the primary of its term answered.
[[nodiscard]] double replica_share(const std::deque<load_record>& records);

/// @return the report of a run as a JSON object.
[[nodiscard]] nlohmann::json make_report(const load_options& options,
                                         const std::vector<customer_limit>& limits,
                                         const std::deque<load_record>& records, time_point event_at,
                                         const std::vector<service_audit>& audits);

}  // namespace bulrushlift
