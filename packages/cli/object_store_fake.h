#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cli/object_store.h"
#include "standins/object_store_model.h"

/// @file
/// An in-memory object store for the tests of the promotion.

namespace bulrushlift {

/// Calls `object_store_model` directly, without a network.
class object_store_fake {
 public:
  explicit object_store_fake(object_store_model& model) : model_(&model) {}

  /// Runs before each write, with its path. Tests use it to write as another operator or to inject a fault.
  std::function<void(std::string_view)> before_put;
  /// Runs after the model has handled a write and before `put` returns, with the write's path.
  std::function<void(std::string_view)> after_put;

  [[nodiscard]] result<platform_object> get(std::string_view path) {
    const auto reply = call({.id = 1, .call = store_call_kind::get, .path = std::string{path}});
    if (reply.status == 404) return make_error(error_kind::not_found, "404");
    if (reply.status != 200) return no_answer();
    const auto& found = reply.objects.at(0);
    return platform_object{found.path, found.version, nlohmann::json::parse(found.value).get<std::string>()};
  }

  [[nodiscard]] result<std::vector<platform_object>> list(std::string_view prefix) {
    const auto reply = call({.id = 1, .call = store_call_kind::list, .path = std::string{prefix}});
    if (reply.status != 200) return no_answer();
    std::vector<platform_object> found;
    for (const auto& each : reply.objects) {
      found.push_back({each.path, each.version, nlohmann::json::parse(each.value).get<std::string>()});
    }
    return found;
  }

  [[nodiscard]] result<object_version> put(std::string_view path, std::string_view value,
                                           std::optional<object_version> if_version) {
    if (before_put) before_put(path);
    const auto reply = call({.id = 1,
                             .call = store_call_kind::put,
                             .path = std::string{path},
                             .value = nlohmann::json(value).dump(),
                             .if_version = if_version});
    if (after_put) after_put(path);
    if (reply.status == 409) return make_error(error_kind::conflict, "409");
    if (reply.status != 200) return no_answer();
    return reply.version;
  }

 private:
  store_reply call(const store_request& request) { return model_->handle(time_point{}, request).at(0); }

  static tl::unexpected<error> no_answer() {
    return make_error(error_kind::platform_unavailable, "no answer");
  }

  object_store_model* model_;
};

}  // namespace bulrushlift
