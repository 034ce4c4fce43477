#include "entry/peer_adapter.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

// Latency objectives of statements are a few hundred milliseconds, so a silent peer must be
// detected faster than the default options do.
peer_link_options link_options(std::uint64_t seed) {
  peer_link_options options;
  options.connect_timeout = milliseconds{300};
  options.max_backoff = milliseconds{400};
  options.probe_after = milliseconds{150};
  options.probe_timeout = milliseconds{350};
  options.seed = seed;
  return options;
}

peer_server_limits server_limits(const resource_shares& shares) {
  peer_server_limits limits;
  limits.connections = std::min(limits.connections, shares.peer_connections);
  limits.input_bytes = shares.peer_input_bytes;
  return limits;
}

// A VM that watches the store answers each second or so, and a second one is there if it is lost.
peer_link_options watch_link_options(std::uint64_t seed) {
  auto options = link_options(seed);
  options.probe_after = milliseconds{600};
  options.probe_timeout = milliseconds{600};
  return options;
}

}  // namespace

peer_adapter::peer_adapter(entry_context& context)
    : context_(context),
      server_(context.loop, server_limits(context.resources.shares()),
              [this](const peer::envelope_t& message, const peer_responder& respond) {
                on_message(message, respond);
              }) {
  server_.on_queue_change([this](std::size_t bytes) { context_.resources.hold_replies(bytes); });
}

result<net_address> peer_adapter::listen() { return server_.listen(context_.settings.peer_listen); }

void peer_adapter::on_message(const peer::envelope_t& message, const peer_responder& respond) {
  if (message.__isset.loan_request) {
    on_loan_request_(message, respond);
  } else if (message.__isset.statement_request || message.__isset.transaction_end) {
    on_statement_(message, respond);
  } else if (message.__isset.document_request) {
    on_document_request_(message, respond);
  } else if (message.__isset.watch_request) {
    on_watch_request_(message, respond);
  } else {
    respond(error{error_kind::protocol_error, "the message is not understood"});
  }
}

peer_link* peer_adapter::link_to(link_table& links, const vm_id& vm, peer_link_options options) {
  const auto record = context_.shared.vms.find(vm);
  if (record == context_.shared.vms.end()) return nullptr;
  auto& known = links[vm];
  if (known.link && known.address == record->second.peer_address) return known.link.get();
  const auto address = parse_address(record->second.peer_address);
  if (!address) {
    log_warning("peer_address_invalid", {{"peer", vm.str()}, {"reason", address.error().message}});
    return nullptr;
  }
  known.address = record->second.peer_address;
  known.link = std::make_unique<peer_link>(context_.loop, *address, options);
  return known.link.get();
}

void peer_adapter::request(const vm_id& to, peer::envelope_t message, duration timeout,
                           peer_link::reply_callback done) {
  auto* link = link_to(peers_, to, link_options(context_.random()));
  request_over(link, to, std::move(message), timeout, std::move(done));
}

void peer_adapter::request_watch(const vm_id& to, peer::envelope_t message, duration timeout,
                                 peer_link::reply_callback done) {
  auto* link = link_to(watch_links_, to, watch_link_options(context_.random()));
  request_over(link, to, std::move(message), timeout, std::move(done));
}

void peer_adapter::request_over(peer_link* link, const vm_id& to, peer::envelope_t message, duration timeout,
                                peer_link::reply_callback done) {
  if (link != nullptr) {
    link->request(std::move(message), timeout, std::move(done));
    return;
  }
  context_.loop.post([to, done = std::move(done)] {
    done(tl::unexpected<error>(error{error_kind::peer_unavailable,
                                     fmt::format("VM \"{}\" has no known address", to.str()), std::nullopt,
                                     outcome::not_run}));
  });
}

void peer_adapter::send(const vm_id& to, peer::envelope_t message) {
  if (auto* link = link_to(peers_, to, link_options(context_.random()))) link->send(std::move(message));
}

}  // namespace bulrushlift::entry
