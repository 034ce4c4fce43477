#pragma once

#include <cstdint>
#include <map>

#include "base/ids.h"

/// @file
/// The order in which the waiting statements of several customers get slots.
///
/// Load pattern: one customer sends several times what the others send, inside its rate,
/// and more than the slots take. In the order of arrival all customers lose the same part;
/// here a statement waits only behind as many statements of another customer as its own
/// customer has before it (start-time fair queueing with equal weights).
///
///     item.tag = tags.allocate(customer);   // waits; lower tags go first
///     tags.on_served(item.tag);         // got a slot

namespace bulrushlift::sql {

class start_tag_allocator {
 public:
  /// @return the tag of a statement of the customer that begins to wait.
  [[nodiscard]] std::uint64_t allocate(const customer_id& customer);

  /// A statement with that tag got a slot.
  void on_served(std::uint64_t tag);

 private:
  std::uint64_t virtual_time_ = 0;             ///< Highest tag that got a slot.
  std::map<customer_id, std::uint64_t> last_;  ///< Newest tag of each customer above `virtual_time_`.
};

}  // namespace bulrushlift::sql
