#pragma once

#include <peer_types.h>

#include <optional>

#include "sql/evacuation_set.h"

/// @file
/// Converts the evacuated data centres in heartbeats to and from their Thrift form.

namespace bulrushlift::entry {

/// Most data centres that a heartbeat names, so that it stays one small datagram. VMs that know of more
/// send none, and the others list the store.
inline constexpr std::size_t max_evacuations_in_heartbeat = 32;

/// Adds the status to a ping or an ack. Adds nothing if it has no position or too many data centres.
void add_evacuations(peer::envelope_t& envelope, const sql::evacuation_status& status);

/// @return the status in a ping or an ack, or nothing if it holds none that is valid.
[[nodiscard]] std::optional<sql::evacuation_status> evacuations_of(const peer::envelope_t& envelope);

}  // namespace bulrushlift::entry
