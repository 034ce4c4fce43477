#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/store_version.h"
#include "net/event_loop.h"
#include "net/http_client.h"

/// @file
/// A client of the platform's object store. Each function makes one HTTP call and decodes
/// its response. It doesn't retry: users of the client handle failures.

namespace bulrushlift::platform {

/// The kinds of objects that the proxy reads or writes.
enum class object_kind : std::uint8_t {
  configuration,  ///< The operator's configuration; one object.
  targets,        ///< Announcements of targets, one object per target.
  vms,            ///< Processes of the proxy, one object per VM.
  promotions,     ///< Claims of promotions, one object per service.
  evacuations,    ///< Data centres whose targets get nothing, one object per data centre.
};

inline constexpr std::size_t object_kind_count = 5;

/// @return the name of the kind in the paths of the store.
[[nodiscard]] std::string_view name_of(object_kind kind) noexcept;

/// @return the name of the object of kind `configuration` that holds the newest version.
[[nodiscard]] std::string_view configuration_object_name() noexcept;

/// An object of the store with the version that conditional writes compare.
struct stored_object {
  std::string name;
  store_version version;
  nlohmann::json content;  ///< Null if the store holds none that can be parsed.
};

/// A page of a listing.
struct object_page {
  std::vector<stored_object> objects;
  bool has_more = false;
  /// Position in the store's history that the listing reflects.
  store_version position;
};

/// The write or the removal of an object.
struct object_event {
  stored_object object;
  bool is_removed = false;
};

/// The response to a watch.
struct object_events {
  std::vector<object_event> events;
  store_version position;  ///< Where the next watch continues.
};

/// Calls the platform's object store over HTTP.
///
/// Errors: `conflict` if the condition of a write did not hold; `not_found`;
/// `position_unavailable` if the store no longer keeps the history from the position of a
/// watch, or has come back from an older copy since; `platform_unavailable` if the call was not
/// executed; otherwise an error with the outcome `unknown`. A response of an earlier epoch is an
/// error, because what it says may be lost.
class object_store {
 public:
  template <class T>
  using callback = std::function<void(result<T>)>;

  object_store(event_loop& loop, net_address address) : loop_(loop), address_(std::move(address)) {}
  object_store(const object_store&) = delete;
  object_store& operator=(const object_store&) = delete;
  ~object_store() { *is_alive_ = false; }

  /// Lists one page of the objects of a kind.
  /// @param after name of the last object of the previous page; empty for the first page.
  void list(object_kind kind, const std::string& after, duration timeout, callback<object_page> done);

  /// Waits for changes after a position in the store's history.
  /// @param wait how long the store waits for a change before it returns no events.
  void watch(object_kind kind, const store_version& position, duration wait, duration timeout,
             callback<object_events> done);

  /// Writes an object if its version is `expected`.
  /// @param expected version that the write replaces; 0 creates the object.
  /// @param done gets the new version, or `conflict` if `expected` is of an earlier epoch: the write may
  ///   then have replaced another object with the same number.
  void write(object_kind kind, const std::string& name, const nlohmann::json& content,
             const store_version& expected, duration timeout, callback<store_version> done);

  /// Removes an object, whatever its version.
  void remove(object_kind kind, const std::string& name, duration timeout, callback<void> done);

  /// Closes the connections that carry no call, so that the next calls open new ones. Call when open
  /// connections may have become silent.
  void close_idle();

  /// Sets the callback for a store that came back from an older copy. It runs in a turn of the event loop
  /// of its own.
  void on_restored(std::function<void()> handler) { on_restored_ = std::move(handler); }

  /// @return whether a response about objects of a kind has arrived in part.
  [[nodiscard]] bool is_receiving(object_kind kind) const noexcept;

  /// @return number of calls about objects of a kind since the client was created.
  [[nodiscard]] std::uint64_t call_count(object_kind kind) const noexcept {
    return call_counts_.at(static_cast<std::size_t>(kind));
  }

  /// @return the highest epoch of a response; 0 before the first one.
  [[nodiscard]] store_epoch epoch() const noexcept { return epoch_.value_or(store_epoch{}); }

 private:
  struct store_connection {
    store_connection(event_loop& loop, const http_client_limits& limits, object_kind carried)
        : http(loop, limits), kind(carried) {}

    http_connection http;
    object_kind kind;  ///< Of the call that the connection carries, or of the last one.
  };
  using connection_list = std::list<store_connection>;

  void call(object_kind kind, http_request request, duration timeout, callback<http_response> done);
  void send(connection_list::iterator connection, const http_request& request, duration timeout,
            callback<http_response> done);
  void release(connection_list::iterator connection);
  /// Checks the epoch of a response and notes a higher one.
  /// @return the response, or an error if it is of an earlier epoch.
  [[nodiscard]] result<http_response> check_epoch(result<http_response> response);
  /// @return the epoch of a response; that of the responses before if it states none.
  [[nodiscard]] store_epoch epoch_of(const http_response& response) const;

  event_loop& loop_;
  net_address address_;
  connection_list busy_;
  connection_list idle_;
  std::array<std::uint64_t, object_kind_count> call_counts_{};
  std::optional<store_epoch> epoch_;  ///< Highest epoch of a response.
  std::function<void()> on_restored_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace bulrushlift::platform
