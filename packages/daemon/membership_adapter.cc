#include "daemon/membership_adapter.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "peer_protocol/frame.h"
#include "peers/membership_wire.h"

namespace bulrushlift {
namespace {

// How long the send time of a ping is kept. A later ack says nothing useful about the age of a configuration.
constexpr duration ping_retention = std::chrono::seconds{10};

std::int64_t to_signed(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t to_unsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

}  // namespace

membership_adapter::membership_adapter(daemon_context& context, peer_adapter& peers,
                                       const std::string& address, callbacks handlers)
    : context_(context),
      peers_(peers),
      handlers_(std::move(handlers)),
      controller_({context.options.vm, address, context.options.data_centre, context.incarnation,
                   member_state::alive},
                  {}),
      socket_(context.loop,
              [this](const net_address& from, std::string_view bytes) { on_datagram(from, bytes); }),
      timer_(context.loop) {
  publish();
}

result<net_address> membership_adapter::open(const net_address& address) {
  auto bound = socket_.open(address);
  if (bound) rearm();
  return bound;
}

void membership_adapter::set_seeds(const std::vector<member_seed>& seeds) {
  perform(controller_.set_seeds(seeds, context_.loop.now()));
}

void membership_adapter::on_leave(const peer::leave_t& message) {
  perform(controller_.on_leave(vm_id{message.sender}, incarnation_id{to_unsigned(message.incarnation)},
                               context_.loop.now()));
}

void membership_adapter::leave() { perform(controller_.leave(context_.loop.now())); }

void membership_adapter::on_datagram(const net_address& from, std::string_view bytes) {
  const auto envelope = decode_envelope(bytes);
  if (!envelope || !(envelope->__isset.ping || envelope->__isset.ack)) {
    log_debug("datagram_ignored", {{"from", from.str()}});
    return;
  }
  const auto message = message_of(*envelope);
  const auto& wire = envelope->__isset.ping ? envelope->ping.configuration : envelope->ack.configuration;
  std::optional<time_point> ping_sent_at;
  // Only an ack by the pinged member itself, not one through another member, answers the ping directly.
  if (message.kind == membership_message_kind::ack && message.sender == message.subject) {
    const auto found = sent_pings_.find(envelope->id);
    if (found != sent_pings_.end()) ping_sent_at = found->second;
  }
  perform(controller_.on_message(message, from.str(), context_.loop.now(), context_.random()));
  handlers_.on_status(message.sender, from_wire(wire), ping_sent_at);
}

void membership_adapter::perform(const membership_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  if (std::exchange(is_changed_, false)) {
    publish();
    handlers_.on_members_changed();
  }
  rearm();
}

void membership_adapter::run(const send_membership& action) {
  const auto to = parse_address(action.address);
  if (!to) return;
  if (action.message.kind == membership_message_kind::ping) {
    const auto now = context_.loop.now();
    std::erase_if(sent_pings_, [now](const auto& entry) { return now - entry.second > ping_retention; });
    sent_pings_[to_signed(action.message.id)] = now;
  }
  socket_.send(*to, encode_envelope(envelope_of(action.message, handlers_.status())));
}

void membership_adapter::run(const member_changed& action) {
  is_changed_ = true;
  log_info("member_changed", {{"member", action.now.vm.str()},
                              {"state", name_of(action.now.state)},
                              {"address", action.now.address},
                              {"incarnation", action.now.incarnation.value()}});
}

void membership_adapter::run(const send_leave& action) {
  peer::leave_t leave;
  leave.sender = context_.options.vm.str();
  leave.incarnation = to_signed(action.incarnation.value());
  peer::envelope_t envelope;
  envelope.__set_leave(leave);
  peers_.send(action.address, std::move(envelope));
}

void membership_adapter::run(const stop_instance& action) {
  log_error("instance_superseded", {{"successor", action.successor.value()}});
  handlers_.on_superseded();
}

void membership_adapter::publish() {
  context_.shared.members = controller_.members();
  peers_.prune();
}

void membership_adapter::rearm() {
  timer_.set(controller_.next_timer() - context_.loop.now(),
             [this] { perform(controller_.on_timer(context_.loop.now(), context_.random())); });
}

}  // namespace bulrushlift
