#pragma once

#include <algorithm>
#include <cstddef>
#include <variant>
#include <vector>

/// @file
/// Select the actions of one type from the result of a controller, for tests.

namespace bulrushlift {

/// @return the actions of type `Action`, in order.
template <class Action, class Variant>
[[nodiscard]] std::vector<Action> actions_of(const std::vector<Variant>& actions) {
  std::vector<Action> found;
  for (const auto& action : actions) {
    if (const auto* it = std::get_if<Action>(&action)) found.push_back(*it);
  }
  return found;
}

/// @return the number of actions of type `Action`.
template <class Action, class Variant>
[[nodiscard]] std::size_t count_of(const std::vector<Variant>& actions) {
  return actions_of<Action>(actions).size();
}

}  // namespace bulrushlift
