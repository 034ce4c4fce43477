#include "entry/membership_adapter.h"

#include <utility>
#include <vector>

#include "base/log.h"
#include "entry/evacuation_wire.h"
#include "peer_protocol/frame.h"
#include "peers/membership_wire.h"

namespace bulrushlift::entry {
namespace {

// A restarted VM hears of all members within this time: it pings four of them in each 200 ms, and
// each answer tells of others.
constexpr duration presumption_time = std::chrono::seconds{2};

membership_options options() {
  membership_options value;
  value.presumption_time = presumption_time;
  return value;
}

}  // namespace

membership_adapter::membership_adapter(
    entry_context& context, std::function<void()> on_change, std::function<void()> on_superseded,
    std::function<void(const vm_id&, const configuration_status&)> on_status)
    : context_(context),
      on_change_(std::move(on_change)),
      on_superseded_(std::move(on_superseded)),
      on_status_(std::move(on_status)),
      controller_({context.settings.vm, context.settings.peer_listen.str(), context.settings.data_centre,
                   context.incarnation, member_state::alive},
                  options()),
      socket_(context.loop,
              [this](const net_address& from, std::string_view bytes) { on_datagram(from, bytes); }),
      timer_(context.loop) {
  context_.shared.members = controller_.members();
}

result<net_address> membership_adapter::open() {
  auto bound = socket_.open(context_.settings.peer_listen);
  if (bound) reset_timer();
  return bound;
}

void membership_adapter::update_members() {
  const auto now = context_.loop.now();
  // The end of a presumption is no event of the controller.
  if (!std::exchange(is_changed_, false) && !has_presumed_) return;
  has_presumed_ = controller_.has_presumed_members(now);
  auto members = controller_.possible_members(now);
  if (members == context_.shared.members) return;
  context_.shared.members = std::move(members);
  on_change_();
}

void membership_adapter::update_seeds() {
  std::vector<member_seed> seeds;
  for (const auto& [vm, record] : context_.shared.vms) {
    seeds.push_back({vm, record.peer_address, record.data_centre});
  }
  is_changed_ = true;
  perform(controller_.set_seeds(seeds, context_.loop.now()));
}

void membership_adapter::leave() { perform(controller_.leave(context_.loop.now())); }

void membership_adapter::on_datagram(const net_address& from, std::string_view bytes) {
  const auto envelope = decode_envelope(bytes);
  if (!envelope || !(envelope->__isset.ping || envelope->__isset.ack || envelope->__isset.leave)) {
    log_debug("datagram_ignored", {{"from", from.str()}});
    return;
  }
  const auto now = context_.loop.now();
  if (envelope->__isset.leave) {
    const auto& leave = envelope->leave;
    perform(controller_.on_leave(vm_id{leave.sender},
                                 incarnation_id{static_cast<std::uint64_t>(leave.incarnation)}, now));
    return;
  }
  const auto message = message_of(*envelope);
  perform(controller_.on_message(message, from.str(), now, context_.random()));
  const auto& status = envelope->__isset.ping ? envelope->ping.configuration : envelope->ack.configuration;
  on_status_(message.sender, from_wire(status));
  if (!on_evacuations_) return;
  if (const auto evacuations = evacuations_of(*envelope)) on_evacuations_(*evacuations);
}

void membership_adapter::perform(const membership_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  update_members();
  reset_timer();
}

void membership_adapter::run(const send_membership& action) {
  const auto to = parse_address(action.address);
  if (!to) {
    log_warning("peer_address_invalid", {{"address", action.address}, {"reason", to.error().message}});
    return;
  }
  auto envelope = envelope_of(action.message, context_.shared.confirmations.status_at(context_.loop.now()));
  const auto evacuations = evacuation_source_ ? evacuation_source_() : std::nullopt;
  if (evacuations) add_evacuations(envelope, *evacuations);
  socket_.send(*to, encode_envelope(envelope));
}

void membership_adapter::run(const member_changed& action) {
  is_changed_ = true;
  log_info("member_changed", {{"member", action.now.vm.str()},
                              {"state", name_of(action.now.state)},
                              {"address", action.now.address},
                              {"incarnation", action.now.incarnation.value()}});
}

void membership_adapter::run(const send_leave& action) {
  const auto to = parse_address(action.address);
  if (!to) return;
  peer::leave_t leave;
  leave.sender = context_.settings.vm.str();
  leave.incarnation = static_cast<std::int64_t>(action.incarnation.value());
  peer::envelope_t envelope;
  envelope.__set_leave(leave);
  socket_.send(*to, encode_envelope(envelope));
}

void membership_adapter::run(const stop_instance& action) {
  log_error("instance_superseded", {{"successor", action.successor.value()}});
  on_superseded_();
}

void membership_adapter::reset_timer() {
  timer_.set(controller_.next_timer() - context_.loop.now(),
             [this] { perform(controller_.on_timer(context_.loop.now(), context_.random())); });
}

}  // namespace bulrushlift::entry
