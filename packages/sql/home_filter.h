#pragma once

#include "base/ids.h"
#include "sql/environment.h"

/// @file
/// Decides in which regions a statement may be sent to a target or relayed to a VM.
///
/// Failure: data that has to stay in its home regions leaves them, because a target or a VM elsewhere is less
/// loaded. A route and a customer may each have home regions; where both have some, both bind.

namespace bulrushlift::sql {

/// The home regions that bind one statement.
class home_filter {
 public:
  /// @param route home regions of the route; empty if it may run anywhere.
  /// @param customer home regions of the customer; empty if it may run anywhere.
  home_filter(const region_set& route, const region_set& customer);

  /// @return whether no region is excluded.
  [[nodiscard]] bool is_open() const noexcept { return !is_bound_; }
  /// @return whether a target in the region may run the statement.
  [[nodiscard]] bool allows_target(const region_id& region) const;
  /// The VM to which the caller is connected has the statement already, and a VM in the caller's region
  /// may have it too.
  /// @param vm_region region of the VM.
  /// @param caller_region region of the caller.
  /// @param is_entry whether the caller is connected to this VM.
  /// @return whether the statement may be relayed to the VM.
  [[nodiscard]] bool allows_vm(const region_id& vm_region, const region_id& caller_region,
                               bool is_entry) const;

 private:
  bool is_bound_ = false;
  region_set homes_;  ///< Regions that all bounds allow; may be empty although `is_bound_` is set.
};

}  // namespace bulrushlift::sql
