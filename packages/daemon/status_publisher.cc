#include "daemon/status_publisher.h"

#include <nlohmann/json.hpp>
#include <random>

namespace bulrushlift {
namespace {

using nlohmann::json;

constexpr duration write_timeout = std::chrono::seconds{5};
/// Spreads the writes of VMs that start together.
constexpr duration start_spread = std::chrono::seconds{1};
constexpr int status_ok = 200;

}  // namespace

status_publisher::status_publisher(daemon_context& context, platform_client& platform)
    : context_(context), platform_(platform), timer_(context.loop) {}

void status_publisher::start(const net_address& admin) {
  admin_ = admin;
  schedule(start_spread);
}

void status_publisher::schedule(duration span) {
  std::uniform_real_distribution<double> factor{0.5, 1.0};
  timer_.set(std::chrono::duration_cast<duration>(span * factor(context_.random)), [this] { write(); });
}

void status_publisher::write() {
  const json value{{"vm", context_.options.vm.str()},
                   {"data_centre", context_.options.data_centre.str()},
                   {"admin", admin_.str()},
                   {"incarnation", context_.incarnation.value()}};
  http_request request;
  request.method = "PUT";
  request.target = "/v1/objects/status/vms/" + context_.options.vm.str();
  request.body = json{{"value", value.dump()}}.dump();
  platform_.call(request, write_timeout, [this](const result<http_response>& response) {
    const bool is_written = response && response->status == status_ok;
    const auto& timing = context_.options.timing;
    schedule(is_written ? timing.status_interval : timing.platform_backoff);
  });
}

}  // namespace bulrushlift
