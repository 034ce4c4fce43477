#include "peers/membership_wire.h"

#include <string>
#include <utility>
#include <vector>

namespace bulrushlift {
namespace {

std::int64_t to_signed(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t to_unsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

peer::member_t to_wire(const member& value) {
  peer::member_t wire;
  wire.vm = value.vm.str();
  wire.address = value.address;
  wire.data_centre = value.data_centre.str();
  wire.incarnation = to_signed(value.incarnation.value());
  wire.state = std::string{name_of(value.state)};
  return wire;
}

std::vector<peer::member_t> to_wire(const std::vector<member>& values) {
  std::vector<peer::member_t> wire;
  wire.reserve(values.size());
  for (const auto& each : values) wire.push_back(to_wire(each));
  return wire;
}

std::vector<member> from_wire(const std::vector<peer::member_t>& wire) {
  std::vector<member> values;
  for (const auto& each : wire) {
    const auto state = member_state_from_name(each.state);
    if (!state) continue;
    values.push_back({vm_id{each.vm}, each.address, data_centre_id{each.data_centre},
                      incarnation_id{to_unsigned(each.incarnation)}, *state});
  }
  return values;
}

}  // namespace

peer::configuration_status_t to_wire(const configuration_status& status) {
  peer::configuration_status_t wire;
  wire.generation = to_signed(status.generation.value());
  // -1 means that the configuration has never been confirmed.
  wire.confirmed_age_ms =
      status.confirmed_age ? std::chrono::ceil<std::chrono::milliseconds>(*status.confirmed_age).count() : -1;
  return wire;
}

configuration_status from_wire(const peer::configuration_status_t& wire) {
  configuration_status status;
  status.generation = generation_id{to_unsigned(wire.generation)};
  if (wire.confirmed_age_ms >= 0) status.confirmed_age = std::chrono::milliseconds{wire.confirmed_age_ms};
  return status;
}

membership_message message_of(const peer::envelope_t& envelope) {
  membership_message message;
  message.id = to_unsigned(envelope.id);
  if (envelope.__isset.ping) {
    const auto& ping = envelope.ping;
    message.kind =
        ping.__isset.target ? membership_message_kind::indirect_ping : membership_message_kind::ping;
    message.sender = vm_id{ping.sender};
    message.incarnation = incarnation_id{to_unsigned(ping.incarnation)};
    message.subject = vm_id{ping.target};
    message.updates = from_wire(ping.updates);
    return message;
  }
  const auto& ack = envelope.ack;
  message.kind = membership_message_kind::ack;
  message.sender = vm_id{ack.sender};
  message.incarnation = incarnation_id{to_unsigned(ack.incarnation)};
  message.subject = vm_id{ack.subject};
  message.updates = from_wire(ack.updates);
  return message;
}

peer::envelope_t envelope_of(const membership_message& message, const configuration_status& status) {
  peer::envelope_t envelope;
  envelope.id = to_signed(message.id);
  if (message.kind == membership_message_kind::ack) {
    peer::ack_t ack;
    ack.sender = message.sender.str();
    ack.incarnation = to_signed(message.incarnation.value());
    ack.updates = to_wire(message.updates);
    ack.configuration = to_wire(status);
    ack.subject = message.subject.str();
    envelope.__set_ack(ack);
    return envelope;
  }
  peer::ping_t ping;
  ping.sender = message.sender.str();
  ping.incarnation = to_signed(message.incarnation.value());
  ping.updates = to_wire(message.updates);
  ping.configuration = to_wire(status);
  if (message.kind == membership_message_kind::indirect_ping) ping.__set_target(message.subject.str());
  envelope.__set_ping(ping);
  return envelope;
}

}  // namespace bulrushlift
