#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "entry/statement_router.h"
#include "sql/wait_estimator.h"

// Chooses the data centre and the VM that run a statement, and refuses what no VM would run in time.

namespace bulrushlift::entry {
namespace {

using sql::caller_error;

constexpr duration placement_report_interval = std::chrono::seconds{1};

}  // namespace

std::vector<vm_id> statement_router::unreachable_vms() const {
  const auto now = context_.loop.now();
  std::vector<vm_id> failed;
  for (const auto& [vm, until] : unreachable_until_) {
    if (until > now) failed.push_back(vm);
  }
  return failed;
}

std::vector<sql::read_site> statement_router::read_sites(const work_item& item) const {
  const auto& service = item.route->service;
  const auto priority = item.route->priority;
  const auto now = context_.loop.now();
  const auto directory = context_.shared.services.find(service);
  if (directory == context_.shared.services.end()) return {};
  const auto* primary = directory->second.primary();
  const auto failed = unreachable_vms();
  std::vector<sql::read_site> sites;
  for (const auto& [id, target] : directory->second.targets()) {
    if (target.info.is_leaving || directory->second.is_evacuated(target)) continue;
    const auto& centre = target.info.data_centre;
    const bool is_primary = primary != nullptr && primary->info.target == id;
    const auto known = std::find_if(sites.begin(), sites.end(),
                                    [&](const sql::read_site& each) { return each.data_centre == centre; });
    if (known != sites.end()) {
      known->is_primary_only = known->is_primary_only && is_primary;
      continue;
    }
    sql::read_site site;
    site.data_centre = centre;
    site.is_primary_only = is_primary;
    const auto holder = holder_of(service, centre, context_.shared, failed);
    site.is_reachable = holder.has_value();
    if (holder == context_.settings.vm) {
      site.wait = runner_.expected_wait(service, centre, priority);
    } else if (const auto report = waits_.find({service, centre, priority}, now)) {
      site.wait = report->wait;
      site.wait_age = report->age;
    }
    sites.push_back(std::move(site));
  }
  return sites;
}

std::vector<data_centre_id> statement_router::placement_order(const work_item& item) {
  const auto& service = item.route->service;
  if (item.is_for_primary()) {
    // Nothing is known about the primary before the first one is announced.
    if (!context_.shared.primary_data_centres.contains(service)) return {};
    auto order = data_centres_of(service, context_.shared);
    if (order.size() > 1) order.resize(1);
    return order;
  }
  auto& controller = overflow_.try_emplace(service, context_.settings.crossing).first->second;
  const sql::overflow_request request{context_.settings.data_centre, item.route->latency_objective,
                                      read_sites(item)};
  return controller.decide(request, context_.random(), context_.loop.now()).order;
}

void statement_router::report_placements() {
  const auto now = context_.loop.now();
  if (now - last_placement_report_ < placement_report_interval) return;
  last_placement_report_ = now;
  for (auto& [service, controller] : overflow_) {
    const auto report = controller.take_report();
    for (std::size_t i = 0; i < sql::overflow_reasons; ++i) {
      if (report.counts.at(i) == 0) continue;
      const auto reason = static_cast<sql::overflow_reason>(i);
      context_.counters.counter("read_placements_total", {{"reason", std::string{sql::name_of(reason)}}})
          .add(report.counts.at(i));
      if (!sql::is_leaving(reason)) continue;
      log_info("reads_left_data_centre", {{"service", service.str()},
                                          {"reason", sql::name_of(reason)},
                                          {"count", report.counts.at(i)},
                                          {"left_share", report.left_share()},
                                          {"allowed_share", report.share}});
    }
  }
}

std::optional<vm_id> statement_router::place(const work_ptr& item) {
  const auto failed = unreachable_vms();
  item->data_centre.reset();
  if (context_.shared.gateways.is_in_use()) {
    for (const auto& centre : placement_order(*item)) {
      if (std::find(item->tried_data_centres.begin(), item->tried_data_centres.end(), centre) !=
          item->tried_data_centres.end())
        continue;
      item->data_centre = centre;
      return holder_of(item->route->service, centre, context_.shared, failed);
    }
    // No data centre can run it by itself. The VM with the connections to the primary tries all targets, and
    // the statement waits there for a slot.
    const auto primary = context_.shared.primary_data_centres.find(item->route->service);
    if (primary != context_.shared.primary_data_centres.end()) {
      return holder_of(item->route->service, primary->second, context_.shared, failed);
    }
  }
  return context_.shared.ownership.first_except(item->route->service, failed);
}

bool statement_router::is_admitted(const work_item& item) {
  // A statement that was sent before may run where nothing is known about the wait.
  if (item.relays > 0) return true;
  std::vector<sql::wait_key> queues;
  const auto priority = item.route->priority;
  if (context_.shared.gateways.is_in_use()) {
    auto centres = data_centres_of(item.route->service, context_.shared);
    if (item.is_for_primary()) centres.resize(std::min<std::size_t>(centres.size(), 1));
    for (const auto& each : centres) queues.push_back({item.route->service, each, priority});
  }
  if (queues.empty()) queues.push_back({item.route->service, {}, priority});
  const auto allowed = sql::longest_useful_wait(item.route->latency_objective);
  if (allowed <= duration::zero()) return true;
  return waits_.admits(queues, item.customer, allowed, context_.loop.now(), context_.random());
}

void statement_router::refuse(const work_ptr& item) {
  context_.counters.counter("statements_refused_total", {{"reason", "reported wait"}}).add();
  log_info("statement_refused", {{"request_id", item->statement.id},
                                 {"service", item->route->service.str()},
                                 {"customer", item->customer.str()},
                                 {"reason", "the VMs that could run it reported a longer wait"},
                                 {"priority", std::int64_t{item->route->priority}}});
  context_.loop.post([this, item] {
    if (item->is_cancelled) return;
    fail(item, item->is_in_transaction() ? caller_error::aborted : caller_error::busy,
         "no free slot expected in time");
  });
}

}  // namespace bulrushlift::entry
