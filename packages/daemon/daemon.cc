#include "daemon/daemon.h"

#include <csignal>
#include <utility>

#include "base/log.h"
#include "daemon/relay_messages.h"

namespace bulrushlift {
namespace {

// Attempts to find a port that is free for both TCP and UDP if the kernel chooses the port.
constexpr int port_attempts = 16;

http_limits limits_of(const settings& options) {
  http_limits limits;
  limits.head_bytes = static_cast<std::uint32_t>(options.limits.head_bytes);
  limits.body_bytes = options.limits.body_bytes;
  limits.connections = options.limits.caller_connections;
  limits.queued_bytes = options.limits.queued_bytes;
  limits.idle_time = options.timing.caller_idle;
  limits.request_time = options.timing.caller_request;
  limits.send_time = options.timing.caller_request;
  return limits;
}

result<net_address> address_of(const network_address& text) {
  auto address = parse_address(text.str());
  if (!address) return make_error(error_kind::invalid_settings, address.error().message);
  return address;
}

}  // namespace

proxy_daemon::proxy_daemon(daemon_context& context)
    : context_(context),
      // The client has no pacing, because the configuration controller paces its calls itself.
      platform_(context.loop, address_of(context.options.platform).value_or(net_address{}), {}),
      peers_(context),
      configuration_(context, platform_, peers_,
                     {[this] { on_configuration_changed(); }, [this] { status_.write(); }}),
      budgets_(context, peers_),
      router_(context, peers_),
      pipeline_(context, configuration_, budgets_, router_),
      callers_(context.loop, limits_of(context.options),
               [this](const http_request& request, const http_responder& respond) {
                 pipeline_.handle(request, respond);
               }),
      peer_listener_(context.loop, {},
                     [this](const peer::envelope_t& message, const peer_responder& respond) {
                       on_peer_message(message, respond);
                     }),
      drain_(context, {[this] { return count_work(); }, [this] { membership_->leave(); },
                       [this] { callers_.stop_listening(); }, [this] { callers_.close_after_answers(); },
                       [this] { router_.end_remaining(); }, [this] { context_.loop.stop(); }}),
      admin_(context, configuration_, router_, drain_, budgets_, callers_),
      admin_server_(context.loop, {},
                    [this](const http_request& request, const http_responder& respond) {
                      admin_.handle(request, respond);
                    }),
      status_(context, platform_, router_),
      reconfigure_timer_(context.loop) {}

proxy_daemon::~proxy_daemon() = default;

result<bound_addresses> proxy_daemon::start() {
  const auto callers = address_of(context_.options.caller_listen);
  const auto peers = address_of(context_.options.peer_listen);
  const auto admin = address_of(context_.options.admin_listen);
  for (const auto* each : {&callers, &peers, &admin}) {
    if (!*each) return tl::unexpected<error>(each->error());
  }
  bound_addresses bound;
  const auto bound_peers = listen_for_peers(*peers);
  if (!bound_peers) return tl::unexpected<error>(bound_peers.error());
  bound.peers = *bound_peers;
  const auto bound_admin = admin_server_.listen(*admin);
  if (!bound_admin) return tl::unexpected<error>(bound_admin.error());
  bound.admin = *bound_admin;
  const auto bound_callers = callers_.listen(*callers);
  if (!bound_callers) return tl::unexpected<error>(bound_callers.error());
  bound.callers = *bound_callers;

  for (const int number : {SIGTERM, SIGINT}) {
    if (!context_.loop.on_signal(number, [this] { drain_.start("signal"); })) {
      return make_error(error_kind::io_error, "cannot install handlers for SIGTERM and SIGINT");
    }
  }
  contact_seeds(bound.peers);
  configuration_.update_members();
  configuration_.start();
  status_.start(bound.admin);
  return bound;
}

result<net_address> proxy_daemon::listen_for_peers(const net_address& address) {
  const membership_adapter::callbacks handlers{
      [this] { on_members_changed(); }, [this] { context_.loop.stop(); },
      [this] { return configuration_.status(); },
      [this](const vm_id& peer, const configuration_status& status, std::optional<time_point> ping_sent_at) {
        configuration_.on_peer_status(peer, status, ping_sent_at);
      }};
  result<net_address> bound{};
  for (int i = 0; i < port_attempts; ++i) {
    bound = peer_listener_.listen(address);
    if (!bound) return bound;
    membership_ = std::make_unique<membership_adapter>(context_, peers_, bound->str(), handlers);
    const auto datagrams = membership_->open(*bound);
    if (datagrams) return bound;
    bound = tl::unexpected<error>(datagrams.error());
    if (address.port != 0) break;
  }
  return bound;
}

void proxy_daemon::contact_seeds(const net_address& own) {
  // The settings list addresses without names. The address of a seed serves as its name until the seed
  // answers with its real one. The first document replaces these seeds with its VMs.
  std::vector<member_seed> seeds;
  for (const auto& address : context_.options.seeds) {
    if (address.str() != own.str()) seeds.push_back({vm_id{address.str()}, address.str(), {}});
  }
  membership_->set_seeds(seeds);
}

void proxy_daemon::on_members_changed() {
  configuration_.update_members();
  budgets_.update_members();
  router_.update();
}

void proxy_daemon::on_configuration_changed() {
  // Changes of one turn of the event loop are applied together, after the controller has handled its event.
  if (reconfigure_timer_.is_set()) return;
  reconfigure_timer_.set(duration::zero(), [this] {
    std::vector<member_seed> seeds{};
    for (const auto& each : context_.shared.configuration.vms()) {
      seeds.push_back({each.name, each.peer_address.str(), each.data_centre});
    }
    membership_->set_seeds(seeds);
    budgets_.configure();
    router_.update();
  });
}

void proxy_daemon::on_peer_message(const peer::envelope_t& message, const peer_responder& respond) {
  peer::envelope_t reply;
  if (message.__isset.relay_request) {
    relay(message.relay_request, respond);
  } else if (message.__isset.loan_request) {
    lend(message.loan_request, respond);
  } else if (message.__isset.document_request) {
    reply.__set_document_reply(configuration_.answer_peer(message.document_request));
    respond(std::move(reply));
  } else if (message.__isset.leave) {
    membership_->on_leave(message.leave);
  } else {
    respond(error{error_kind::protocol_error, "the kind of the peer message is unknown", std::nullopt,
                  outcome::not_run});
  }
}

void proxy_daemon::lend(const peer::loan_request_t& wire, const peer_responder& respond) {
  // A VM that cannot tell whether its document is still current must not lend from the shares in it.
  if (!may_serve_keys(configuration_.state())) {
    respond(error{error_kind::configuration_stale, "the lender's configuration is too old", std::nullopt,
                  outcome::not_run});
    return;
  }
  peer::envelope_t reply;
  reply.__set_loan_reply(budgets_.lend(wire));
  respond(std::move(reply));
}

void proxy_daemon::relay(const peer::relay_request_t& wire, const peer_responder& respond) {
  auto request = from_wire(wire, context_.loop.now());
  if (!request) {
    respond(error{error_kind::protocol_error, request.error().message, std::nullopt, outcome::not_run});
    return;
  }
  router_.submit_relayed(std::move(*request), [respond](const result<service_reply>& answer) {
    peer::envelope_t reply;
    reply.__set_relay_reply(to_wire(answer));
    respond(std::move(reply));
  });
}

drain_counts proxy_daemon::count_work() {
  drain_counts counts;
  // Reading may add requests, so the expected ones are counted first.
  const auto expected = callers_.expected_requests();
  counts.requests = expected + callers_.pending_requests() + router_.pending_requests();
  // A connection that is being opened may bring a request.
  if (callers_.is_stopping()) ++counts.requests;
  counts.transactions = router_.open_transactions();
  counts.unsent_bytes = callers_.queued_bytes();
  return counts;
}

}  // namespace bulrushlift
