#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/call_pacer.h"
#include "base/error.h"
#include "base/ids.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "net/http_client.h"

/// @file
/// Typed client of the platform's object API (design 4.3).
///
///     object_store_client platform{loop, address, {}};
///     platform.get("environments/teranga/production", [](result<platform_object> found) {});
///
/// Errors: `not_found`; `conflict` if the condition of an update is false;
/// `platform_unavailable` otherwise, with the outcome `not_run` if the call
/// certainly had no effect, else `unknown`.

namespace bulrushlift {

struct platform_object {
  std::string path;
  object_version version;
  std::string value;  ///< The text that was stored.

  friend bool operator==(const platform_object&, const platform_object&) = default;
};

/// An entry of the platform's list of VMs.
struct platform_list_entry {
  std::string name;
  std::string address;
  std::string data_centre;
  bool leaving = false;

  friend bool operator==(const platform_list_entry&, const platform_list_entry&) = default;
};

struct object_store_client_options {
  duration connect_timeout = std::chrono::seconds{1};
  duration answer_timeout = std::chrono::seconds{3};
  /// Budget and back-off. Without it calls start at once, for callers that pace them themselves.
  std::optional<call_pacer::options> pacing = std::nullopt;
  std::uint64_t seed = 1;  ///< Of the jitter.
};

class object_store_client {
 public:
  template <class T>
  using callback = std::function<void(result<T>)>;

  object_store_client(event_loop& loop, net_address address, object_store_client_options options);
  object_store_client(const object_store_client&) = delete;
  object_store_client& operator=(const object_store_client&) = delete;
  /// Calls in flight are dropped without an answer.
  ~object_store_client();

  void get(std::string_view path, callback<platform_object> done);
  /// Waits for a version above `after`; the result is empty if there was none within `wait`.
  void watch(std::string_view path, object_version after, std::chrono::milliseconds wait,
             callback<std::optional<platform_object>> done);
  /// @param if_version the current version, 0 if the object must not exist; empty writes in any case.
  void put(std::string_view path, std::string_view value, std::optional<object_version> if_version,
           callback<object_version> done);
  void list(std::string_view prefix, callback<std::vector<platform_object>> done);
  void list_vms(callback<std::vector<platform_list_entry>> done);

  [[nodiscard]] const net_address& address() const noexcept { return address_; }

 private:
  struct call;
  using answer_function = std::function<void(result<http_response>)>;

  void start(http_request request, duration timeout, answer_function done);
  void open(const std::shared_ptr<call>& it);
  void finish(const std::shared_ptr<call>& it, result<http_response> answer);

  event_loop& loop_;
  net_address address_;
  object_store_client_options options_;
  std::optional<call_pacer> pacer_;
  std::list<std::shared_ptr<call>> calls_;
};

}  // namespace bulrushlift
