#pragma once

#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "fleet/membership_controller.h"

/// @file
/// Decides which VM opens the target connections of a service. Ownership is an
/// optimisation, not a lock: the targets themselves enforce terms, slots and connection limits.

namespace bulrushlift {

/// Owner and standby of one service.
struct service_placement {
  vm_id owner;
  /// Becomes the owner when the owner fails or leaves; nothing if only one member serves.
  std::optional<vm_id> standby;

  friend bool operator==(const service_placement&, const service_placement&) = default;
};

/// Places a service on the members with the highest rendezvous weights.
/// @param members the known members. Alive and suspect ones serve; leaving and dead ones are ignored.
/// @return the placement, or nothing if no member serves.
[[nodiscard]] std::optional<service_placement> place_service(const service_id& service,
                                                             std::span<const member> members);

/// Chooses the next VM to relay a request to after others have failed.
/// @param failed VMs that have already failed for the request.
/// @return the serving member with the highest rendezvous weight that is not in `failed`, or nothing.
[[nodiscard]] std::optional<vm_id> next_owner(const service_id& service, std::span<const member> members,
                                              std::span<const vm_id> failed);

/// Connect to the service's targets and run its requests.
struct take_ownership {
  service_id service;
};
/// Relay new requests to `owner`; running requests and open transactions complete on this VM.
struct give_up_ownership {
  service_id service;
  std::optional<vm_id> owner;
};
using ownership_action = std::variant<take_ownership, give_up_ownership>;

/// Tracks the placement of all services in the document, and reports the services that this VM
/// starts or ceases to own.
class ownership_controller {
 public:
  explicit ownership_controller(vm_id self) : self_(std::move(self)) {}

  /// Replaces the set of services.
  [[nodiscard]] std::vector<ownership_action> set_services(const std::vector<service_id>& services);
  /// Replaces the known members.
  [[nodiscard]] std::vector<ownership_action> set_members(std::vector<member> members);

  /// @return the placement, or nothing if the service is unknown or no member serves.
  [[nodiscard]] std::optional<service_placement> placement(const service_id& service) const;
  /// @return whether this VM owns the service.
  [[nodiscard]] bool is_owned(const service_id& service) const;

 private:
  [[nodiscard]] std::vector<ownership_action> update();

  vm_id self_;
  std::vector<member> members_;
  std::map<service_id, std::optional<service_placement>> placements_;
};

}  // namespace bulrushlift
