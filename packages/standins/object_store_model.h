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
/// The platform's object API without sockets: versions, conditional updates,
/// watches, the list of VMs, and the faults that the platform can show.
///
///     object_store_model store;
///     auto answers = store.handle(now, {.id = 1, .call = store_call_kind::put, .path = "a", .value =
///     "\"x\""}); auto later = store.advance(now + 1s);   // delayed answers and watches that end

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
  duration wait{0};  ///< Of a watch.
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
  object_version version = {};  ///< Written or, with 409, current version.
  std::vector<stored_object> objects = {};
  std::vector<listed_vm> vms = {};
};

struct store_faults {
  bool down = false;             ///< Calls have no effect and no answer.
  duration delay{0};             ///< Time before each answer. The effect is immediate.
  std::size_t lose_answers = 0;  ///< This many next writes take effect and get no answer.
  bool serve_old = false;        ///< Reads and watches see the version before the newest.
  bool silent_watch = false;     ///< Watches are never answered; other calls are.
};

/// Longest value in bytes.
inline constexpr std::size_t max_object_bytes = 1U << 20U;

class object_store_model {
 public:
  /// @return answers that are due now, to this call and to watches that it ends.
  [[nodiscard]] std::vector<store_reply> handle(time_point now, const store_request& request);
  /// @return answers that became due.
  [[nodiscard]] std::vector<store_reply> advance(time_point now);
  /// @return the time of the next answer that is known, if any.
  [[nodiscard]] std::optional<time_point> next_due() const;
  /// The caller closed its connection.
  void forget(std::uint64_t id);

  void set_faults(const store_faults& faults) { faults_ = faults; }
  void set_vms(std::vector<listed_vm> vms) { vms_ = std::move(vms); }
  /// @return calls that arrived, by kind; also those without an answer.
  [[nodiscard]] const std::map<store_call_kind, std::uint64_t>& counts() const noexcept { return counts_; }
  /// @return the newest version, whatever the faults.
  [[nodiscard]] const stored_object* newest(std::string_view path) const;

 private:
  struct history {
    std::optional<stored_object> newest;  ///< Empty after a removal.
    std::optional<stored_object> before;
  };
  struct waiting_watch {
    store_request request;
    time_point ends;
  };

  [[nodiscard]] const stored_object* visible(std::string_view path) const;
  void write(time_point now, const store_request& request);
  void read(time_point now, const store_request& request);
  void list(time_point now, const store_request& request);
  void watch(time_point now, const store_request& request);
  void end_watches(time_point now, std::string_view path);
  void reply(time_point now, store_reply answer);
  [[nodiscard]] std::vector<store_reply> take_due(time_point now);

  std::map<std::string, history, std::less<>> objects_;
  std::vector<listed_vm> vms_;
  store_faults faults_;
  object_version last_version_;
  std::map<store_call_kind, std::uint64_t> counts_;
  std::vector<waiting_watch> watches_;
  std::multimap<time_point, store_reply> due_;
};

[[nodiscard]] std::string_view name_of(store_call_kind kind) noexcept;

}  // namespace bulrushlift
