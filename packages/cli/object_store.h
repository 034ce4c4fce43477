#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/ids.h"
#include "net/object_store_client.h"

/// @file
/// What the commands need of the platform's object API, as blocking calls.

namespace bulrushlift {

/// Errors as those of `object_store_client`.
template <class T>
concept object_store = requires(T& store, std::string_view text, std::optional<object_version> condition) {
  { store.get(text) } -> std::same_as<result<platform_object>>;
  { store.put(text, text, condition) } -> std::same_as<result<object_version>>;
};

}  // namespace bulrushlift
