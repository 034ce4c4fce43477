#include "daemon/peer_adapter.h"

#include <fmt/format.h>

#include <algorithm>

namespace bulrushlift {

void peer_adapter::request(const vm_id& to, peer::envelope_t message, duration timeout,
                           peer_link::reply_callback done) {
  const auto* known = find(to);
  auto* link = known == nullptr ? nullptr : link_to(known->address);
  if (link == nullptr) {
    context_.loop.post([to, done = std::move(done)] {
      done(tl::unexpected<error>(error{error_kind::peer_unavailable,
                                       fmt::format("VM \"{}\" has no known address", to.str()), std::nullopt,
                                       outcome::not_run}));
    });
    return;
  }
  link->request(std::move(message), timeout, std::move(done));
}

void peer_adapter::send(const std::string& address, peer::envelope_t message) {
  if (auto* link = link_to(address)) link->send(std::move(message));
}

void peer_adapter::prune() {
  std::erase_if(links_, [this](const auto& entry) {
    const auto& members = context_.shared.members;
    const bool is_known = std::any_of(members.begin(), members.end(),
                                      [&](const member& each) { return each.address == entry.first; });
    return !is_known && entry.second->pending_requests() == 0;
  });
}

peer_link* peer_adapter::link_to(const std::string& address) {
  const auto found = links_.find(address);
  if (found != links_.end()) return found->second.get();
  const auto parsed = parse_address(address);
  if (!parsed) return nullptr;
  peer_link_options options;
  options.seed = context_.random();
  return links_.emplace(address, std::make_unique<peer_link>(context_.loop, *parsed, options))
      .first->second.get();
}

const member* peer_adapter::find(const vm_id& name) const {
  const auto& members = context_.shared.members;
  const auto found =
      std::find_if(members.begin(), members.end(), [&](const member& each) { return each.vm == name; });
  return found == members.end() ? nullptr : &*found;
}

}  // namespace bulrushlift
