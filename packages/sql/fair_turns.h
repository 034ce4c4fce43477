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
///     item.turn = turns.join(customer);   // waits; lower turns go first
///     turns.on_served(item.turn);         // got a slot

namespace bulrushlift::sql {

class fair_turns {
 public:
  /// @return the turn of a statement of the customer that begins to wait.
  [[nodiscard]] std::uint64_t join(const customer_id& customer);

  /// A statement with that turn got a slot.
  void on_served(std::uint64_t turn);

 private:
  std::uint64_t now_ = 0;                      ///< Highest turn that got a slot.
  std::map<customer_id, std::uint64_t> last_;  ///< Newest turn of each customer above `now_`.
};

}  // namespace bulrushlift::sql
