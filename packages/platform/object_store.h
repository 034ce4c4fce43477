#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "net/event_loop.h"
#include "net/http_client.h"

/// @file
/// The platform's metadata store: one call a function, typed results. Retries and
/// the reaction to failures belong to the callers.

namespace bulrushlift::platform {

/// The kinds of objects that the product reads or writes.
enum class object_kind : std::uint8_t {
  configuration,  ///< The operator's configuration; one object.
  targets,        ///< What targets announce of themselves.
  vms,            ///< This product's processes.
  promotions,     ///< Claims of promotions, one object a service.
};

[[nodiscard]] std::string_view name_of(object_kind kind) noexcept;

/// The object of kind `configuration` that holds the newest version.
[[nodiscard]] std::string_view configuration_object_name() noexcept;

struct stored_object {
  std::string name;
  object_version version;
  nlohmann::json content;
};

/// A page of a listing.
struct object_page {
  std::vector<stored_object> objects;
  bool has_more = false;
  /// Position of the store's history that the listing reflects.
  object_version position;
};

struct object_event {
  stored_object object;
  bool is_removed = false;
};

struct object_events {
  std::vector<object_event> events;
  object_version position;  ///< Continue from here.
};

/// Errors: `conflict` if a condition did not hold, `not_found`, `position_unavailable`
/// if the history of a watch is gone, `platform_unavailable` if nothing was done, else
/// an error with the outcome `unknown`.
class object_store {
 public:
  template <class T>
  using callback = std::function<void(result<T>)>;

  object_store(event_loop& loop, net_address address) : loop_(loop), address_(std::move(address)) {}
  object_store(const object_store&) = delete;
  object_store& operator=(const object_store&) = delete;
  ~object_store() = default;

  /// @param after name of the last object of the page before; empty for the first page.
  void list(object_kind kind, const std::string& after, duration timeout, callback<object_page> done);

  /// Waits for changes after `at`, for up to `wait`; no change gives no events.
  void watch(object_kind kind, object_version position, duration wait, duration timeout,
             callback<object_events> done);

  /// Writes an object on the condition that its version is `expected`; 0 creates it.
  /// @param done gets the new version.
  void write(object_kind kind, const std::string& name, const nlohmann::json& content,
             object_version expected, duration timeout, callback<object_version> done);

  void remove(object_kind kind, const std::string& name, duration timeout, callback<void> done);

  /// @return calls that were started since the start.
  [[nodiscard]] std::uint64_t call_count() const noexcept { return call_count_; }

 private:
  using connection_list = std::list<std::unique_ptr<http_connection>>;

  void call(http_request request, duration timeout, callback<http_response> done);
  void send(connection_list::iterator connection, const http_request& request, duration timeout,
            callback<http_response> done);
  void retire(connection_list::iterator connection);

  event_loop& loop_;
  net_address address_;
  connection_list busy_;
  connection_list idle_;
  std::uint64_t call_count_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace bulrushlift::platform
