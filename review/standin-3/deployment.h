#pragma once

// A small deployment: one database group of three back ends, some proxies in four zones, and the
// configuration of one database.

#include "world.h"

namespace world {

struct deployment_options {
  int proxies = 5;
  int sync_replicas = 0;
  double work_ms = 1;
  double promote_ms = 300;
  double rate = 200;
  double burst = 200;
  std::string kind = "primary";
  bool is_public = false;
};

class deployment {
 public:
  static constexpr const char* service = "orders-db";
  static constexpr const char* database_name = "orders";
  static constexpr const char* key = "key-of-tenant-1";

  deployment(const deployment_options& options, std::string folder)
      : database(platform, service, options.sync_replicas, options.work_ms),
        promotions(database, options.promote_ms),
        options_(options) {
    const char* zones[] = {"zone-a", "zone-b", "zone-c", "zone-d"};
    platform.start();
    promotions.start();
    database.add("i-1", zones[0], true);
    database.add("i-2", zones[1], false);
    database.add("i-3", zones[2], false);
    configure(7);
    database.start();
    for (int i = 0; i < options.proxies; ++i) {
      proxies.push_back(std::make_unique<proxy>(proxy_options{"front-" + std::to_string(i + 1), zones[i % 4]},
                                                platform.port(), promotions.port(), folder));
    }
  }
  ~deployment() {
    for (const auto& each : proxies) each->kill();
  }

  void configure(int version) {
    platform.put("config", "main",
                 {{"version", version},
                  {"routes",
                   {{{"name", "r-1"},
                     {"host", database_name},
                     {"kind", options_.kind},
                     {"timeoutMs", 800},
                     {"targetLatencyMs", 120},
                     {"maxStalenessMs", 1500},
                     {"priority", 1},
                     {"service", service},
                     {"public", options_.is_public}}}},
                  {"services",
                   {{{"name", service}, {"connectionLimit", 16}, {"syncReplicas", options_.sync_replicas}}}},
                  {"limits", {{"transactionIdleMs", 3000}}},
                  {"tenants",
                   {{{"name", "tenant-1"},
                     {"accessKeys", {key}},
                     {"priority", 1},
                     {"ratePerS", options_.rate},
                     {"burst", options_.burst}}}}});
  }
  /// Starts all proxies. @return whether all are ready in time.
  bool start() {
    for (const auto& each : proxies) each->start();
    return wait_until(10'000, [this] { return are_ready(); });
  }
  bool are_ready() const {
    for (const auto& each : proxies) {
      if (!each->is_ready()) return false;
    }
    return true;
  }

  store platform;
  group database;
  cloud promotions;
  std::vector<std::unique_ptr<proxy>> proxies;

 private:
  deployment_options options_;
};

}  // namespace world
