#include "daemon/platform_client.h"

#include <algorithm>
#include <utility>

namespace bulrushlift {
namespace {

// A watch, a read and a list run at the same time.
constexpr std::size_t idle_bound = 3;

error unavailable(const error& cause) {
  return {error_kind::platform_unavailable, cause.message, std::nullopt, cause.stated_outcome};
}

}  // namespace

platform_client::platform_client(daemon_context& context)
    : context_(context), address_(parse_address(context.options.platform.str()).value_or(net_address{})) {}

platform_client::~platform_client() = default;

void platform_client::call(const http_request& request, duration timeout, response_callback done) {
  if (!idle_.empty()) {
    const auto channel = idle_.back();
    idle_.pop_back();
    busy_.push_back(channel);
    send_on(channel, request, timeout, std::move(done));
    return;
  }
  const auto channel = std::make_shared<channel_state>();
  channel->http = std::make_unique<http_connection>(context_.loop);
  busy_.push_back(channel);
  const auto start = context_.loop.now();
  channel->http->on_close([this, weak = std::weak_ptr{channel}](const error& /*reason*/) {
    if (const auto closed = weak.lock()) drop(closed);
  });
  channel->http->open(address_, timeout,
                      [this, weak = std::weak_ptr{channel}, request, timeout, start,
                       done = std::move(done)](const result<void>& opened) {
                        const auto owned = weak.lock();
                        if (!owned) return;
                        if (opened) {
                          send_on(owned, request, timeout - (context_.loop.now() - start), done);
                          return;
                        }
                        drop(owned);
                        done(tl::unexpected<error>(unavailable(opened.error())));
                      });
}

void platform_client::send_on(const channel_pointer& channel, const http_request& request, duration timeout,
                              response_callback done) {
  channel->http->send(
      request, timeout,
      [this, weak = std::weak_ptr{channel}, done = std::move(done)](const result<http_response>& response) {
        const auto owned = weak.lock();
        if (!owned) return;
        drop(owned);
        if (response && !response->close && idle_.size() < idle_bound) idle_.push_back(owned);
        if (response) {
          done(*response);
        } else {
          done(tl::unexpected<error>(unavailable(response.error())));
        }
      });
}

void platform_client::drop(const channel_pointer& channel) {
  std::erase(idle_, channel);
  std::erase(busy_, channel);
}

}  // namespace bulrushlift
