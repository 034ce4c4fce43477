#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/error.h"
#include "base/ids.h"
#include "net/event_loop.h"
#include "net/http_client.h"

/// @file
/// The platform's call that makes a target the primary of its service.

namespace bulrushlift::platform {

struct promotion_order {
  service_id service;
  target_id target;
  vm_id ordered_by;
  std::uint64_t token = 0;  ///< Fencing token; an order with a lower one than seen is refused.
};

class promotion_client {
 public:
  using callback = std::function<void(result<void>)>;

  promotion_client(event_loop& loop, net_address address) : loop_(loop), address_(std::move(address)) {}

  /// @param done gets `conflict` if the order was refused: the token is too low or the
  ///   target does not run. Any other error leaves the outcome open.
  void order(const promotion_order& order, duration timeout, const callback& done);

 private:
  event_loop& loop_;
  net_address address_;
};

}  // namespace bulrushlift::platform
