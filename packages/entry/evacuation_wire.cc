#include "entry/evacuation_wire.h"

#include <algorithm>
#include <chrono>

namespace bulrushlift::entry {
namespace {

// Larger ages count as this one, so that a peer cannot make the time overflow.
constexpr std::int64_t max_age_ms = 3'600'000;

using std::chrono::milliseconds;

const peer::evacuation_status_t* find_status(const peer::envelope_t& envelope) {
  if (envelope.__isset.ping) return envelope.ping.__isset.evacuations ? &envelope.ping.evacuations : nullptr;
  const bool is_set = envelope.__isset.ack && envelope.ack.__isset.evacuations;
  return is_set ? &envelope.ack.evacuations : nullptr;
}

}  // namespace

void add_evacuations(peer::envelope_t& envelope, const sql::evacuation_status& status) {
  if (!status.position.exists() || status.stored.size() > max_evacuations_in_heartbeat) return;
  peer::evacuation_status_t wire;
  wire.epoch = static_cast<std::int64_t>(status.position.epoch.value());
  wire.position = static_cast<std::int64_t>(status.position.version.value());
  for (const auto& each : status.stored) wire.data_centres.push_back(each.str());
  wire.confirmed_age_ms =
      status.confirmed_age ? std::chrono::ceil<milliseconds>(*status.confirmed_age).count() : -1;
  if (envelope.__isset.ping) envelope.ping.__set_evacuations(wire);
  if (envelope.__isset.ack) envelope.ack.__set_evacuations(wire);
}

std::optional<sql::evacuation_status> evacuations_of(const peer::envelope_t& envelope) {
  const auto* wire = find_status(envelope);
  if (wire == nullptr || wire->position <= 0 || wire->epoch < 0) return std::nullopt;
  sql::evacuation_status status;
  status.position = {store_epoch{static_cast<std::uint64_t>(wire->epoch)},
                     object_version{static_cast<std::uint64_t>(wire->position)}};
  for (const auto& each : wire->data_centres) status.stored.insert(data_centre_id{each});
  if (wire->confirmed_age_ms >= 0)
    status.confirmed_age = milliseconds{std::min(wire->confirmed_age_ms, max_age_ms)};
  return status;
}

}  // namespace bulrushlift::entry
