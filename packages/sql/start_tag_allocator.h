#pragma once

#include <cstdint>
#include <map>

#include "base/ids.h"

/// @file
/// Start tags that order the waiting statements of several customers.
///
/// Load pattern: one customer sends several times what the others send, within its rate
/// limit, and more than the slots can serve. First come, first served would delay all customers
/// alike; with start-time fair queueing at equal weights a statement waits behind at most as
/// many statements of another customer as its own customer has ahead of it.
///
///     item.tag = tags.allocate(customer);   // waits; the lowest tag goes first
///     tags.on_served(item.tag);         // got a slot

namespace bulrushlift::sql {

class start_tag_allocator {
 public:
  /// @return the start tag of a statement of the customer that begins to wait.
  [[nodiscard]] std::uint64_t allocate(const customer_id& customer);

  /// @return the tag that `allocate` would return, for a statement that may still be refused.
  [[nodiscard]] std::uint64_t peek(const customer_id& customer) const;

  /// Call when the statement with that tag gets a slot.
  void on_served(std::uint64_t tag);

 private:
  std::uint64_t virtual_time_ = 0;             ///< Highest tag that has got a slot.
  std::map<customer_id, std::uint64_t> last_;  ///< Newest tag of each customer above `virtual_time_`.
};

}  // namespace bulrushlift::sql
