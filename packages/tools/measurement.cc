#include "tools/measurement.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bulrushlift {
namespace {

using nlohmann::json;

double seconds_of(duration span) { return std::chrono::duration<double>(span).count(); }
double milliseconds_of(duration span) { return seconds_of(span) * 1'000; }

bool is_rate_limited(const load_record& record) {
  return record.kind == "over_rate" || record.kind == "over_burst";
}

/// @return the given quantile (0 to 1) of the values; 0 without values.
double quantile_of(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[index];
}

std::vector<double> latencies_of(const std::deque<load_record>& records, std::size_t customer) {
  std::vector<double> latencies;
  for (const auto& record : records) {
    if (record.customer == customer && record.kind == "done")
      latencies.push_back(milliseconds_of(record.answered_at - record.sent_at));
  }
  return latencies;
}

json customer_report(const load_options& options, const std::deque<load_record>& records,
                     std::size_t customer, customer_limit limit) {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  for (const auto& record : records) {
    if (record.customer != customer) continue;
    ++sent;
    if (record.kind == "done") ++done;
  }
  const auto latencies = latencies_of(records, customer);
  const auto refusals = count_wrongful_refusals(records, customer, limit);
  return {{"name", options.customers[customer].name},
          {"sent", sent},
          {"done", done},
          {"served", sent == 0 ? 1.0 : static_cast<double>(done) / static_cast<double>(sent)},
          {"p50_ms", quantile_of(latencies, 0.5)},
          {"p99_ms", quantile_of(latencies, 0.99)},
          {"inside_rate", refusals.within_limit},
          {"refused_inside_rate", refusals.refused},
          {"excess", worst_excess(records, customer, limit)}};
}

struct audit_counts {
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t ran_after_not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t unknown_ran = 0;
  std::uint64_t wrong_reads = 0;
};

void audit_write(const load_record& record, const service_audit& audit, audit_counts& counts) {
  const auto it = audit.values.find(record.key);
  const bool is_present = it != audit.values.end();
  if (is_present && it->second != std::to_string(record.value)) ++counts.doubled;
  if (record.outcome == "done" && !is_present) ++counts.lost;
  if (record.outcome == "not_run" && is_present) ++counts.ran_after_not_run;
  if (record.outcome != "unknown") return;
  ++counts.unknown;
  if (is_present) ++counts.unknown_ran;
}

json audit_report(const std::deque<load_record>& records, const std::vector<service_audit>& audits) {
  audit_counts counts;
  bool is_authorization_leaked = false;
  bool is_complete = true;
  for (const auto& audit : audits) {
    is_authorization_leaked = is_authorization_leaked || audit.is_authorization_seen;
    is_complete = is_complete && audit.is_complete;
  }
  for (const auto& record : records) {
    if (record.is_write && audits[record.route].is_complete)
      audit_write(record, audits[record.route], counts);
    if (record.is_wrong) ++counts.wrong_reads;
  }
  const bool is_clean = is_complete && counts.lost == 0 && counts.doubled == 0 &&
                        counts.ran_after_not_run == 0 && counts.wrong_reads == 0 && !is_authorization_leaked;
  return {{"clean", is_clean},
          {"complete", is_complete},
          {"lost", counts.lost},
          {"doubled", counts.doubled},
          {"ran_after_not_run", counts.ran_after_not_run},
          {"unknown", counts.unknown},
          {"unknown_that_ran", counts.unknown_ran},
          {"wrong_reads", counts.wrong_reads},
          {"key_seen_by_target", is_authorization_leaked}};
}

}  // namespace

admission_count count_wrongful_refusals(const std::deque<load_record>& records, std::size_t customer,
                                        customer_limit limit) {
  admission_count count;
  double bucket_level = limit.burst;
  std::optional<time_point> last;
  for (const auto& record : records) {
    if (record.customer != customer) continue;
    if (last)
      bucket_level =
          std::min(limit.burst, bucket_level + limit.rate_per_second * seconds_of(record.sent_at - *last));
    last = record.sent_at;
    if (bucket_level < 1) continue;
    bucket_level -= 1;
    ++count.within_limit;
  }
  const auto admitted = static_cast<std::uint64_t>(
      std::count_if(records.begin(), records.end(), [customer](const load_record& record) {
        return record.customer == customer && !is_rate_limited(record);
      }));
  count.refused = count.within_limit > admitted ? count.within_limit - admitted : 0;
  return count;
}

double worst_excess(const std::deque<load_record>& records, std::size_t customer, customer_limit limit) {
  std::vector<std::pair<time_point, time_point>> admitted;
  for (const auto& record : records) {
    if (record.customer == customer && record.outcome == "done")
      admitted.emplace_back(record.sent_at, record.answered_at);
  }
  double worst = -limit.burst;
  // Windows start only at every sixteenth request; this moves the maximum by less than 16 requests, while
  // bursts are in the hundreds.
  constexpr std::size_t stride = 16;
  for (std::size_t first = 0; first < admitted.size(); first += stride) {
    const auto begin = admitted[first].first;
    std::vector<time_point> ends;
    for (std::size_t i = first; i < admitted.size(); ++i) ends.push_back(admitted[i].second);
    std::sort(ends.begin(), ends.end());
    for (std::size_t n = 0; n < ends.size(); ++n) {
      const auto allowed = limit.burst + limit.rate_per_second * seconds_of(ends[n] - begin);
      worst = std::max(worst, static_cast<double>(n + 1) - allowed);
    }
  }
  return worst;
}

std::optional<double> failover_gap_ms(const std::deque<load_record>& records, std::size_t route,
                                      time_point event_at) {
  std::vector<time_point> acknowledged;
  for (const auto& record : records) {
    if (record.is_write && record.route == route && record.kind == "done")
      acknowledged.push_back(record.answered_at);
  }
  std::sort(acknowledged.begin(), acknowledged.end());
  std::optional<double> gap;
  for (std::size_t i = 1; i < acknowledged.size(); ++i) {
    if (acknowledged[i] < event_at) continue;
    gap = std::max(gap.value_or(0), milliseconds_of(acknowledged[i] - acknowledged[i - 1]));
  }
  return gap;
}

double replica_share(const std::deque<load_record>& records) {
  std::set<std::pair<std::string, std::uint64_t>> primaries;
  for (const auto& record : records) {
    if (record.is_write && record.kind == "done") primaries.emplace(record.target, record.term);
  }
  std::uint64_t reads = 0;
  std::uint64_t replica_reads = 0;
  for (const auto& record : records) {
    if (record.is_write || record.kind != "done") continue;
    ++reads;
    if (!primaries.contains({record.target, record.term}) && !record.target.empty()) ++replica_reads;
  }
  return reads == 0 ? 0 : static_cast<double>(replica_reads) / static_cast<double>(reads);
}

json make_report(const load_options& options, const std::vector<customer_limit>& limits,
                 const std::deque<load_record>& records, time_point event_at,
                 const std::vector<service_audit>& audits) {
  json customers = json::array();
  double worst_served = 1;
  std::uint64_t within_limit = 0;
  std::uint64_t refused = 0;
  double excess = -1e9;
  std::string worst_name;
  for (std::size_t i = 0; i < options.customers.size(); ++i) {
    customers.push_back(customer_report(options, records, i, limits[i]));
    const auto& last = customers.back();
    within_limit += last["inside_rate"].get<std::uint64_t>();
    refused += last["refused_inside_rate"].get<std::uint64_t>();
    excess = std::max(excess, last["excess"].get<double>());
    // Refusals are correct for a customer over its rate, so it doesn't count as badly served.
    const bool is_inside = last["inside_rate"] == last["sent"];
    if (is_inside && last["served"].get<double>() < worst_served) {
      worst_served = last["served"].get<double>();
      worst_name = last["name"].get<std::string>();
    }
  }
  json gaps = json::object();
  for (std::size_t i = 0; i < options.routes.size(); ++i) {
    const auto gap = failover_gap_ms(records, i, event_at);
    gaps[options.routes[i]] = gap ? json(*gap) : json();
  }
  std::map<std::string, std::uint64_t> kinds;
  for (const auto& record : records) ++kinds[record.kind];
  return {{"requests", records.size()},
          {"answers", kinds},
          {"replica_share", replica_share(records)},
          {"failover_gap_ms", gaps},
          {"worst_served", {{"customer", worst_name}, {"served", worst_served}}},
          {"refused_inside_rate",
           {{"refused", refused},
            {"inside", within_limit},
            {"share",
             within_limit == 0 ? 0.0 : static_cast<double>(refused) / static_cast<double>(within_limit)}}},
          {"worst_excess", excess},
          {"audit", audit_report(records, audits)},
          {"customers", customers}};
}

}  // namespace bulrushlift
