#include "entry/attempt_report.h"

#include "base/log.h"
#include "sql/target_health.h"

namespace bulrushlift::entry {
namespace {

using sql::attempt_end;
using sql::target_error;

attempt_end end_of(const work_item& item, const attempt_result& result) {
  if (!result.error) return attempt_end::answered;
  switch (*result.error) {
    case target_error::busy:
      return attempt_end::busy;
    case target_error::failed:
    case target_error::timed_out:
    case target_error::wrong_target:
    case target_error::other:
      return attempt_end::failed;
    case target_error::connection_lost:
      // The statement of a caller who disconnected may not have been sent.
      return item.is_cancelled ? attempt_end::refused : attempt_end::unanswered;
    case target_error::undefined_name:
    case target_error::behind:
    case target_error::read_only:
    case target_error::too_many_connections:
    case target_error::malformed:
      break;
  }
  return attempt_end::refused;
}

sql::work_kind work_kind_of(const work_item& item) {
  return item.is_for_primary() ? sql::work_kind::primary_work : sql::work_kind::read;
}

}  // namespace

void report_start(entry_context& context, const work_item& item, const pooled_connection& connection) {
  context.shared.services[connection.service].on_started(connection.target, work_kind_of(item),
                                                         item.route->latency_objective, context.loop.now());
}

void report_attempt(entry_context& context, const connection_pool& pool, const work_item& item,
                    const pooled_connection& connection, const attempt_result& result, duration latency) {
  const auto opening = pool.count(connection.target, connection_use::opening);
  const sql::target_attempt attempt{work_kind_of(item), end_of(item, result), latency,
                                    item.route->latency_objective, static_cast<std::uint32_t>(opening)};
  context.shared.services[connection.service].on_attempt(connection.target, attempt, context.loop.now());
}

void report_target_health(entry_context& context) {
  for (auto& [service, directory] : context.shared.services) {
    for (const auto& each : directory.take_health_changes()) {
      const bool is_limit =
          each.event == sql::health_event::limit_lowered || each.event == sql::health_event::limit_lifted;
      const auto event = sql::name_of(each.event);
      const auto reason = is_limit ? "load" : sql::name_of(each.reason);
      context.counters
          .counter("target_health_changes_total",
                   {{"change", std::string{event}}, {"reason", std::string{reason}}})
          .add();
      log_info("target_health", {{"service", service.str()},
                                 {"target", each.target.str()},
                                 {"change", event},
                                 {"reason", reason},
                                 {"share", each.share},
                                 {"others_share", each.others_share},
                                 {"read_latency", each.latency},
                                 {"write_latency", each.write_latency},
                                 {"ejection_ms", each.ejection},
                                 {"allowed", std::uint64_t{each.allowed}}});
    }
  }
}

}  // namespace bulrushlift::entry
