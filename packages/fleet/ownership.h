#pragma once

#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "fleet/membership_controller.h"

/// @file
/// Which VM holds the target connections of a service. Ownership is an
/// optimisation: the targets enforce terms, slots and connection limits.

namespace bulrushlift {

/// Owner and standby of one service.
struct service_placement {
  vm_id owner;
  /// Becomes the owner when the owner fails or leaves; nothing in a fleet of one.
  std::optional<vm_id> standby;

  friend bool operator==(const service_placement&, const service_placement&) = default;
};

/// Places a service on the members with the highest rendezvous weights.
/// @param members as known; suspect members keep their services, leaving and dead ones do not count.
/// @return nothing when no member serves.
[[nodiscard]] std::optional<service_placement> place_service(const service_id& service,
                                                             std::span<const member> members);

/// Next VM to relay to after some have failed for one request.
/// @param failed VMs that were tried.
/// @return the serving member with the highest weight that is not in `failed`.
[[nodiscard]] std::optional<vm_id> next_owner(const service_id& service, std::span<const member> members,
                                              std::span<const vm_id> failed);

/// Connect to the targets of the service and run its requests.
struct take_ownership {
  service_id service;
};
/// Relay new requests to `owner`; running requests and open transactions complete here.
struct give_up_ownership {
  service_id service;
  std::optional<vm_id> owner;
};
using ownership_action = std::variant<take_ownership, give_up_ownership>;

/// Follows the placement of all services of the document.
class ownership_controller {
 public:
  explicit ownership_controller(vm_id self) : self_(std::move(self)) {}

  [[nodiscard]] std::vector<ownership_action> set_services(const std::vector<service_id>& services);
  [[nodiscard]] std::vector<ownership_action> set_members(std::vector<member> members);

  /// @return the placement, or nothing for an unknown service or without serving members.
  [[nodiscard]] std::optional<service_placement> placement(const service_id& service) const;
  [[nodiscard]] bool is_owned(const service_id& service) const;

 private:
  [[nodiscard]] std::vector<ownership_action> update();

  vm_id self_;
  std::vector<member> members_;
  std::map<service_id, std::optional<service_placement>> placements_;
};

}  // namespace bulrushlift
