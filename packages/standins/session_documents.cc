#include "standins/session_documents.h"

namespace bulrushlift {
namespace {

using nlohmann::json;

// Rate limit, per second, and burst that no test reaches.
constexpr int unlimited = 10'000;

constexpr int statement_timeout_ms = 5'000;
constexpr int latency_objective_ms = 4'000;
constexpr int transaction_idle_ms = 30'000;
constexpr int connection_limit = 16;
constexpr int slots = 2;
// Long enough for a slow machine: open transactions are ended after half of this time.
constexpr int drain_s = 20;
constexpr int target_report_interval_ms = 200;

json route(const char* name, const char* kind, const std::string& service) {
  return {{"name", name},      {"host", name},
          {"kind", kind},      {"timeoutMs", statement_timeout_ms},
          {"priority", 1},     {"targetLatencyMs", latency_objective_ms},
          {"public", false},   {"maxStalenessMs", route_staleness_ms},
          {"service", service}};
}

}  // namespace

json target_document(const target_description& target) {
  json document{{"service", target.service},
                {"address", target.address},
                {"zone", target.data_centre},
                {"version", "v1"},
                {"slots", slots},
                {"state", target.state},
                {"databaseRole", target.is_primary ? "primary" : "replica"},
                {"sequence", target.sequence},
                {"born", 1}};
  if (target.cold_remaining_ms > 0) document["coldRemainingMs"] = target.cold_remaining_ms;
  return document;
}

json configuration_document(std::uint64_t version, const std::string& service,
                            const std::vector<customer_description>& customers, int synchronous_replicas) {
  auto catalogue = route("catalogue", "bounded", service);
  catalogue["public"] = true;
  json tenants = json::array();
  for (const auto& customer : customers) {
    tenants.push_back({{"name", customer.name},
                       {"accessKeys", customer.keys},
                       {"ratePerS", unlimited},
                       {"burst", unlimited}});
  }
  return {
      {"version", version},
      {"routes",
       {route("orders", "primary", service), route("stock", "bounded", service),
        route("book", "read_your_writes", service), catalogue}},
      {"services",
       {{{"name", service}, {"connectionLimit", connection_limit}, {"syncReplicas", synchronous_replicas}}}},
      {"limits", {{"transactionIdleMs", transaction_idle_ms}}},
      {"tenants", tenants}};
}

json proxy_settings_document(const proxy_description& proxy) {
  json document{{"vm", proxy.vm},
                {"data_centre", proxy.data_centre},
                {"caller_listen", proxy.callers},
                {"readiness_listen", proxy.readiness},
                {"peer_listen", proxy.peers},
                {"metrics_listen", proxy.metrics},
                {"store", proxy.store},
                {"promotions", proxy.promotions},
                {"drain_seconds", drain_s},
                {"target_report_interval_ms", target_report_interval_ms}};
  return document;
}

}  // namespace bulrushlift
