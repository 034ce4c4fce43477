#pragma once

#include <string>
#include <vector>

#include "base/error.h"

/// @file
/// The timeline of one request from the logs of all VMs: the log lines with its id, and the lines that were
/// logged at about that time about its service, its target, the VM that owns the service, or the store.

namespace bulrushlift {

/// One log line of a timeline.
struct timeline_entry {
  std::string time;  ///< UTC, as it was logged.
  std::string vm;
  std::string event;
  std::string details;         ///< The other fields but `level`, each as "name=value".
  std::string json;            ///< The line as it was logged.
  bool names_request = false;  ///< Whether the line has the request's id.

  friend bool operator==(const timeline_entry&, const timeline_entry&) = default;
};

/// Collects the log lines that explain what happened to a request.
/// @param lines log lines of one or more VMs, in any order. Text before the first `{` of a line is ignored.
///   Lines without a JSON object are skipped.
/// @return the entries in order of time, or `not_found` if no line with a time has the request's id.
[[nodiscard]] result<std::vector<timeline_entry>> build_request_timeline(
    const std::string& request_id, const std::vector<std::string>& lines);

}  // namespace bulrushlift
