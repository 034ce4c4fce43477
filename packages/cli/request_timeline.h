#pragma once

#include <string>
#include <vector>

#include "base/error.h"

/// @file
/// The story of one request from the logs of all VMs: the lines that name it, and what was
/// logged around that time about its service, its targets and the VMs and store behind it.

namespace bulrushlift {

struct timeline_entry {
  std::string time;  ///< As logged, UTC.
  std::string vm;
  std::string event;
  std::string details;  ///< The other fields, "name=value".
  std::string json;     ///< The line as it was logged.
  bool names_request = false;

  friend bool operator==(const timeline_entry&, const timeline_entry&) = default;
};

/// @param lines of the logs of one or more VMs, in any order; what is no JSON object is skipped.
/// @return the story in order of time, or `not_found` if no line names the request.
[[nodiscard]] result<std::vector<timeline_entry>> build_request_timeline(
    const std::string& request_id, const std::vector<std::string>& lines);

}  // namespace bulrushlift
