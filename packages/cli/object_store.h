#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "net/object_store_client.h"

/// @file
/// The calls of the platform's object API that a promotion uses, as blocking calls.

namespace bulrushlift {

/// A store of versioned objects. `put` with a condition succeeds only if the object has that version.
/// Errors are those of `object_store_client`.
template <class T>
concept object_store = requires(T& store, std::string_view text, std::optional<object_version> condition) {
  { store.get(text) } -> std::same_as<result<platform_object>>;
  { store.list(text) } -> std::same_as<result<std::vector<platform_object>>>;
  { store.put(text, text, condition) } -> std::same_as<result<object_version>>;
};

}  // namespace bulrushlift
