#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/error.h"
#include "base/ids.h"
#include "net/event_loop.h"
#include "net/http_client.h"

/// @file
/// Calls the platform to promote a target to the primary of its service.

namespace bulrushlift::platform {

/// The request to promote a target.
struct promotion_order {
  service_id service;
  target_id target;
  vm_id ordered_by;         ///< The VM that requests the promotion.
  std::uint64_t token = 0;  ///< Fencing token; the platform refuses a token lower than one it has seen.
};

/// Sends promotion orders to the platform over HTTP.
class promotion_client {
 public:
  using callback = std::function<void(result<void>)>;

  promotion_client(event_loop& loop, net_address address) : loop_(loop), address_(std::move(address)) {}

  /// Orders a promotion.
  /// @param timeout limit for connecting, and again for the response.
  /// @param done gets `conflict` if the platform refused the order because the token is too
  ///   low or the target is not running. After any other error the outcome is unknown.
  void order(const promotion_order& order, duration timeout, const callback& done);

 private:
  event_loop& loop_;
  net_address address_;
};

}  // namespace bulrushlift::platform
