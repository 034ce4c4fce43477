#include "daemon/admin.h"

#include <nlohmann/json.hpp>

#include "daemon/answer.h"

namespace bulrushlift {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;

json point_of(const log_point& point) {
  return {{"term", point.term.value()}, {"position", point.position.value()}};
}

json target_of(const target_view& target) {
  return {{"target", target.target.str()},
          {"reachable", target.is_reachable},
          {"leaving", target.is_leaving},
          {"role", name_of(target.role)},
          {"point", point_of(target.point)}};
}

json pool_of(const pool_view& pool) {
  return {{"opening", pool.opening}, {"idle", pool.idle},   {"running", pool.running},
          {"bound", pool.bound},     {"slots", pool.slots}, {"slots_in_use", pool.slots_in_use}};
}

double tokens_of(millitokens amount) { return static_cast<double>(amount.value()) / 1'000; }

json budget_of(const budget_snapshot& snapshot, double rate_per_second) {
  const auto window = std::chrono::duration<double>(budget_options{}.demand_window).count();
  return {{"rate_per_second", rate_per_second},
          {"used_per_second", tokens_of(snapshot.demand) / window},
          {"level", tokens_of(snapshot.level)},
          {"borrowed", tokens_of(snapshot.borrowed)},
          {"outstanding", tokens_of(snapshot.outstanding)},
          {"waiting", snapshot.waiting}};
}

json service_of(const service_executor& executor) {
  const auto& group = executor.group();
  json value{{"owner", group.is_owner},
             {"term", group.term.value()},
             {"primary", group.primary.str()},
             {"promotion", name_of(group.promotion)},
             {"queued", executor.queued_requests()},
             {"transactions", executor.open_transactions()},
             {"targets", json::array()},
             {"pools", json::object()}};
  for (const auto& each : group.targets) value["targets"].push_back(target_of(each));
  for (const auto& [name, pool] : executor.pools()) value["pools"][name.str()] = pool_of(pool);
  return value;
}

}  // namespace

admin_interface::admin_interface(daemon_context& context, configuration_adapter& configuration,
                                 request_router& router, drain_adapter& drain, budget_adapter& budgets,
                                 http_server& callers)
    : context_(context),
      configuration_(configuration),
      router_(router),
      drain_(drain),
      budgets_(budgets),
      callers_(callers) {}

void admin_interface::handle(const http_request& request, const http_responder& respond) {
  if (request.method == "GET" && request.target == "/metrics") {
    update_gauges();
    http_response response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = context_.registry.exposition();
    respond(std::move(response));
  } else if (request.method == "GET" && request.target == "/v1/status") {
    respond(json_response(status_ok, status()));
  } else if (request.method == "POST" && request.target == "/v1/drain") {
    drain_.start("operator");
    respond(json_response(status_accepted, R"({"drain":"draining"})"));
  } else {
    respond(format_error({}, {error_kind::not_found, "unknown path or method"}));
  }
}

std::string admin_interface::status() const {
  const auto& shared = context_.shared;
  json value{{"vm", context_.options.vm.str()},
             {"data_centre", context_.options.data_centre.str()},
             {"incarnation", context_.incarnation.value()},
             {"generation", shared.configuration.generation().value()},
             {"freshness", name_of(configuration_.state())},
             {"watcher", configuration_.is_watcher()},
             {"drain", name_of(shared.drain)},
             {"caller_connections", callers_.connection_count()},
             {"members", json::array()},
             {"services", json::object()},
             {"budgets", json::object()}};
  for (const auto& each : shared.members) {
    value["members"].push_back({{"vm", each.vm.str()},
                                {"state", name_of(each.state)},
                                {"address", each.address},
                                {"data_centre", each.data_centre.str()},
                                {"incarnation", each.incarnation.value()}});
  }
  for (const auto& each : shared.configuration.services()) {
    const auto placement = router_.ownership().placement(each.name);
    json service{{"owner_vm", placement ? placement->owner.str() : std::string{}}};
    const auto found = router_.executors().find(each.name);
    if (found != router_.executors().end()) service.update(service_of(*found->second));
    value["services"][each.name.str()] = std::move(service);
  }
  for (const auto& each : shared.configuration.customers()) {
    const auto snapshot = budgets_.snapshot(each.name);
    if (!snapshot) continue;
    value["budgets"][each.name.str()] = budget_of(*snapshot, each.rate_per_second);
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void admin_interface::update_gauges() {
  auto& registry = context_.registry;
  registry.gauge("caller_connections").set(static_cast<double>(callers_.connection_count()));
  registry.gauge("pending_requests").set(static_cast<double>(router_.pending_requests()));
  registry.gauge("open_transactions").set(static_cast<double>(router_.open_transactions()));
  registry.gauge("configuration_generation")
      .set(static_cast<double>(context_.shared.configuration.generation().value()));
  for (const auto& [name, executor] : router_.executors()) {
    registry.gauge("queued_requests", {{"service", name.str()}})
        .set(static_cast<double>(executor->queued_requests()));
  }
}

}  // namespace bulrushlift
