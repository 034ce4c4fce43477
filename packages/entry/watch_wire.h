#pragma once

#include <peer_types.h>

#include <optional>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "fleet/published_objects.h"

/// @file
/// Converts the requests of followers and the answers of VMs that watch the store to and from their Thrift
/// form.

namespace bulrushlift::entry {

/// What a follower asks for.
struct watch_question {
  std::string kind;
  store_version position;                ///< Reached by the follower.
  std::optional<publish_cursor> cursor;  ///< Nothing for a listing.
  std::string after;                     ///< Last name of the previous page of a listing.
  duration wait{};                       ///< How long the answer may wait for a change.
  bool is_probe = false;                 ///< Only asks whether the receiver watches.
};

/// What a VM that watches the store answers.
struct watch_answer {
  published_batch batch;
  store_version position;
  /// Time from the store's confirmation that nothing is newer to the arrival of the question; negative if
  /// the confirmation came later. So it does not depend on how long the answer was held or delayed.
  duration age{};
  bool is_gap = false;  ///< The cursor is not known there; list again.
};

[[nodiscard]] peer::envelope_t encode(const watch_question& question);
/// @return the question; fields that are missing or out of range have their default.
[[nodiscard]] watch_question decode(const peer::watch_request_t& wire);

[[nodiscard]] peer::envelope_t encode(const watch_answer& answer);
/// @return the answer of a VM that does not watch.
[[nodiscard]] peer::envelope_t encode_not_watching();
/// @return the answer, or `peer_unavailable` if the VM does not watch or its message is incomplete.
[[nodiscard]] result<watch_answer> decode_answer(const peer::envelope_t& wire);

}  // namespace bulrushlift::entry
