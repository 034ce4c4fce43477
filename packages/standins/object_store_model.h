#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

/// @file
/// A model of the platform's object API without sockets: versions, conditional updates,
/// watches, the list of VMs, injected faults, and a return from an older copy.
///
///     object_store_model store;
///     store_request request{.id = 1, .call = store_call_kind::put, .path = "a", .value = "1"};
///     auto answers = store.handle(now, request);
///     auto later = store.advance(now + 1s);  // delayed answers and expired watches

namespace bulrushlift {

enum class store_call_kind { get, watch, put, remove, list, vms };

/// One call. Fields that the kind does not use are ignored.
struct store_request {
  std::uint64_t id = 0;  ///< Chosen by the caller; repeated in the answer.
  store_call_kind call = store_call_kind::get;
  std::string path = {};                          ///< For `list`, a prefix.
  std::string value = {};                         ///< JSON text.
  std::optional<object_version> if_version = {};  ///< 0: the object must not exist.
  object_version watch_after = {};
  duration wait{0};  ///< Longest time until a watch is answered.
};

struct stored_object {
  std::string path = {};
  object_version version = {};
  std::string value = {};  ///< JSON text.

  friend bool operator==(const stored_object&, const stored_object&) = default;
};

/// A VM or a target in the platform's list.
struct listed_vm {
  std::string name;
  std::string address;
  std::string data_centre;
  bool leaving = false;

  friend bool operator==(const listed_vm&, const listed_vm&) = default;
};

/// The answer to one call.
struct store_reply {
  std::uint64_t id = 0;
  /// 200, 304, 404, 409, 413; 0 means that the connection is closed without an answer.
  int status = 0;
  object_version version = {};  ///< Version written or, with status 409, the current one.
  std::vector<stored_object> objects = {};
  std::vector<listed_vm> vms = {};
};

struct store_faults {
  bool down = false;             ///< Calls have no effect and get no answer.
  duration delay{0};             ///< Delay of each answer; the effect of the call is immediate.
  std::size_t lose_answers = 0;  ///< Number of next writes that take effect without an answer.
  bool serve_old = false;        ///< Reads, lists and watches see the version before the newest.
  bool silent_watch = false;     ///< Watches are never answered; other calls are.
};

/// Longest value in bytes.
inline constexpr std::size_t max_object_bytes = 1U << 20U;

class object_store_model {
 public:
  /// Processes one call.
  /// @return the answers that are due at `now`, also those to watches that the call completed.
  [[nodiscard]] std::vector<store_reply> handle(time_point now, const store_request& request);
  /// Expires watches whose deadline has passed.
  /// @return the answers that are due at `now`.
  [[nodiscard]] std::vector<store_reply> advance(time_point now);
  /// @return the earliest time at which `advance` has an answer or a watch expires; empty if neither is
  /// pending.
  [[nodiscard]] std::optional<time_point> next_due() const;
  /// Discards the pending answer to call `id`, whose caller closed its connection.
  void discard_call(std::uint64_t id);

  void set_faults(const store_faults& faults) { faults_ = faults; }
  void set_vms(std::vector<listed_vm> vms) { vms_ = std::move(vms); }
  /// Keeps a copy of all objects with their versions.
  void save_copy() { copy_ = content_; }
  /// Continues from the saved copy: writes since then are lost and their versions are given out again. Calls
  /// that wait for an answer get none.
  [[nodiscard]] std::vector<store_reply> restore_copy();
  /// @return the number of calls received, by kind, including calls without an answer.
  [[nodiscard]] const std::map<store_call_kind, std::uint64_t>& counts() const noexcept { return counts_; }
  /// @return the newest version of the object regardless of faults, or null if there is none.
  [[nodiscard]] const stored_object* newest(std::string_view path) const;

 private:
  struct history {
    std::optional<stored_object> newest;  ///< Empty after the object was deleted.
    std::optional<stored_object> previous;
  };
  /// All that a copy of the store keeps.
  struct stored_content {
    std::map<std::string, history, std::less<>> objects;
    object_version last_version;
  };
  struct waiting_watch {
    store_request request;
    time_point deadline;
  };

  /// @return the version that reads see under the current faults, or null.
  [[nodiscard]] const stored_object* visible(std::string_view path) const;
  void write(time_point now, const store_request& request);
  void read(time_point now, const store_request& request);
  void list(time_point now, const store_request& request);
  void watch(time_point now, const store_request& request);
  void end_watches(time_point now, std::string_view path);
  void reply(time_point now, store_reply answer);
  [[nodiscard]] std::vector<store_reply> take_due(time_point now);

  stored_content content_;
  stored_content copy_;
  std::vector<listed_vm> vms_;
  store_faults faults_;
  std::map<store_call_kind, std::uint64_t> counts_;
  std::vector<waiting_watch> watches_;
  std::multimap<time_point, store_reply> scheduled_replies_;
};

[[nodiscard]] std::string_view name_of(store_call_kind kind) noexcept;

}  // namespace bulrushlift
