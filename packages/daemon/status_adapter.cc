#include "daemon/status_adapter.h"

#include <nlohmann/json.hpp>

#include "base/log.h"
#include "document/production_record.h"

namespace bulrushlift {

status_adapter::status_adapter(daemon_context& context, object_store_client& platform,
                               const request_router& router)
    : context_(context), platform_(platform), router_(router), timer_(context.loop) {}

void status_adapter::start(const net_address& admin) {
  admin_address_ = admin.str();
  write();
}

void status_adapter::write() {
  timer_.set(context_.options.timing.status_interval, [this] { write(); });
  platform_.put(std::string{vm_status_prefix} + context_.options.vm.str(), value(), std::nullopt,
                [](const result<object_version>& written) {
                  if (!written) log_debug("status_not_written", {{"reason", written.error().message}});
                });
}

std::string status_adapter::value() const {
  nlohmann::json object{{"vm", context_.options.vm.str()},
                        {"admin", admin_address_},
                        {"environment", context_.options.environment},
                        {"generation", context_.shared.configuration.generation().value()}};
  for (const auto& [name, executor] : router_.executors()) {
    const auto& group = executor->group();
    if (!group.is_owner) continue;
    object["services"][name.str()] = {{"primary", group.primary.str()}, {"term", group.term.value()}};
  }
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace bulrushlift
