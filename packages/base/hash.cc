#include "base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bulrushlift {

std::uint64_t rendezvous_weight(std::string_view item, std::string_view node) noexcept {
  const auto seed = XXH3_64bits(item.data(), item.size());
  return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

}  // namespace bulrushlift
