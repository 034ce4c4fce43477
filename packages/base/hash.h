#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// Rendezvous hashing: each node gets a weight for an item, and the nodes with
/// the highest weights serve it. A node that joins or leaves moves only the
/// items that it wins or had won.

namespace bulrushlift {

/// @return the weight of `node` for `item`; equal on all VMs and in all versions.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view item, std::string_view node) noexcept;

/// @param item name of the thing to place.
/// @param nodes ids with a `str()`; the order does not matter.
/// @return the `count` nodes with the highest weights, highest first.
template <class Id>
[[nodiscard]] std::vector<Id> rendezvous_choose(std::string_view item, const std::vector<Id>& nodes,
                                                std::size_t count) {
  std::vector<std::pair<std::uint64_t, Id>> weighted;
  weighted.reserve(nodes.size());
  for (const auto& node : nodes) weighted.emplace_back(rendezvous_weight(item, node.str()), node);
  std::sort(weighted.begin(), weighted.end(), std::greater<>{});
  if (weighted.size() > count) weighted.resize(count);
  std::vector<Id> chosen;
  chosen.reserve(weighted.size());
  for (auto& [weight, node] : weighted) chosen.push_back(std::move(node));
  return chosen;
}

}  // namespace bulrushlift
