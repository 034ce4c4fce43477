#include "daemon/route.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "daemon/relay_messages.h"
#include "session/transaction_id.h"

namespace bulrushlift {
namespace {

// Delay before a request that did not run is routed again, until the members agree on the owner. It is short
// compared with the time in which the failure of an owner is detected.
constexpr duration reroute_pause = std::chrono::milliseconds{20};
// Upper limit of the time that is subtracted from the deadline for the owner, so that its reply arrives here
// before the deadline of the caller.
constexpr std::chrono::milliseconds max_hop_margin{20};

std::chrono::milliseconds time_for_owner(std::chrono::milliseconds left) {
  return left - std::min(left / 10, max_hop_margin);
}

/// @return whether the request did not run and another VM may be able to run it.
bool is_reroutable(const error& failure) {
  if (failure.request_outcome() != outcome::not_run) return false;
  return failure.kind == error_kind::peer_unavailable || failure.kind == error_kind::draining;
}

}  // namespace

/// A caller's request from its submission to its reply.
struct request_router::routed_request {
  service_request request;
  reply_callback done;
  request_attempts attempts;
  std::vector<vm_id> failed_owners;
  /// The VM that owns the transaction of the request; only this VM can run it.
  std::optional<vm_id> transaction_owner;
};

request_router::request_router(daemon_context& context, peer_adapter& peers)
    : context_(context), peers_(peers), ownership_(context.options.vm) {}

request_router::~request_router() = default;

void request_router::update() {
  std::vector<service_id> services;
  for (const auto& each : context_.shared.configuration.services()) services.push_back(each.name);
  auto actions = ownership_.set_services(services);
  const auto more = ownership_.set_members(context_.shared.members);
  actions.insert(actions.end(), more.begin(), more.end());
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  for (const auto& [name, executor] : executors_) executor->configure();
}

void request_router::run(const take_ownership& action) {
  log_info("ownership_taken", {{"service", action.service.str()}});
  auto& executor = executors_[action.service];
  const auto* configured = context_.shared.configuration.find_service(action.service);
  if (!executor) executor = std::make_unique<service_executor>(context_, *configured);
  executor->configure();
  executor->set_owner(true);
}

void request_router::run(const give_up_ownership& action) {
  log_info("ownership_given_up", {{"service", action.service.str()},
                                  {"owner", action.owner ? action.owner->str() : std::string{}}});
  if (auto* executor = executor_of(action.service)) executor->set_owner(false);
}

void request_router::submit(service_request request, reply_callback done) {
  request_attempts attempts{retry_traits_of(request), request.deadline};
  auto routed = std::make_shared<routed_request>(
      routed_request{std::move(request), std::move(done), attempts, {}, std::nullopt});
  ++pending_;
  if (!routed->request.transaction.empty()) {
    const auto id =
        decode_transaction_id(routed->request.transaction, routed->request.customer, context_.signer);
    if (!id) {
      finish(routed, tl::unexpected<error>(id.error()));
      return;
    }
    routed->transaction_owner = id->owner;
    routed->request.service = id->service;
  }
  budget_of(routed->request.service).count_request(context_.loop.now());
  attempt(routed);
}

retry_budget& request_router::budget_of(const service_id& service) {
  const auto& limits = context_.options.limits;
  return retry_budgets_.try_emplace(service, limits.retry_share, limits.retry_minimum).first->second;
}

std::optional<vm_id> request_router::owner_of(const routed_request& routed) const {
  if (routed.transaction_owner) return routed.transaction_owner;
  return next_owner(routed.request.service, context_.shared.members, routed.failed_owners);
}

void request_router::attempt(const routed_pointer& routed) {
  if (routed->request.deadline <= context_.loop.now()) {
    finish(routed, tl::unexpected<error>(routed->attempts.on_deadline()));
    return;
  }
  auto owner = owner_of(*routed);
  if (!owner) {
    routed->failed_owners.clear();
    retry_later(routed, {error_kind::peer_unavailable, "no reachable VM can own the service"});
    return;
  }
  const bool is_local = *owner == context_.options.vm;
  if (is_next_decision_logged()) {
    log_info("request_routed", {{"request_id", routed->request.id.str()},
                                {"service", routed->request.service.str()},
                                {"owner", owner->str()},
                                {"reason", is_local ? "owned by this VM" : "relayed to the owner"}});
  }
  if (!is_local) {
    send(routed, *owner);
    return;
  }
  auto* executor = executor_of(routed->request.service);
  if (executor == nullptr) {
    on_reply(routed, *owner,
             make_error(error_kind::peer_unavailable, "this VM is not the owner of the service"));
    return;
  }
  executor->submit(routed->request, [this, routed, self = *owner](const result<service_reply>& reply) {
    on_reply(routed, self, reply);
  });
}

void request_router::send(const routed_pointer& routed, const vm_id& owner) {
  const auto left = remaining_time(routed->request.deadline, context_.loop.now());
  peer::envelope_t message;
  message.__set_relay_request(to_wire(routed->request, time_for_owner(left)));
  peers_.request(
      owner, std::move(message), left, [this, routed, owner](const result<peer::envelope_t>& reply) {
        if (!reply) {
          on_reply(routed, owner, tl::unexpected<error>(reply.error()));
        } else if (!reply->__isset.relay_reply) {
          on_reply(routed, owner,
                   make_error(error_kind::outcome_unknown, "the reply of the owner has no result"));
        } else {
          on_reply(routed, owner, from_wire(reply->relay_reply));
        }
      });
}

void request_router::on_reply(const routed_pointer& routed, const vm_id& owner,
                              const result<service_reply>& reply) {
  if (reply) {
    finish(routed, reply);
    return;
  }
  const auto& failure = reply.error();
  const bool is_link_failure = failure.kind == error_kind::peer_unavailable;
  if (is_reroutable(failure) && !routed->transaction_owner) {
    routed->failed_owners.push_back(owner);
    retry_later(routed, failure);
    return;
  }
  if (routed->transaction_owner && is_link_failure) {
    // The transaction ended with its owner, or the owner will end it after the idle limit.
    auto lost = failure;
    lost.kind = failure.request_outcome() == outcome::not_run ? error_kind::transaction_lost
                                                              : error_kind::outcome_unknown;
    finish(routed, tl::unexpected<error>(std::move(lost)));
    return;
  }
  if (!is_link_failure || failure.request_outcome() != outcome::unknown) {
    finish(routed, reply);
    return;
  }
  routed->failed_owners.push_back(owner);
  const auto decision =
      routed->attempts.on_failure({failure_point::after_send, failure}, budget_of(routed->request.service),
                                  {}, context_.loop.now(), context_.random());
  if (const auto* end = std::get_if<give_up>(&decision)) {
    finish(routed, tl::unexpected<error>(end->cause));
    return;
  }
  context_.loop.schedule(std::get<retry_at>(decision).when - context_.loop.now(),
                         [this, routed] { attempt(routed); });
}

void request_router::retry_later(const routed_pointer& routed, error cause) {
  const auto now = context_.loop.now();
  const auto pause = backoff({reroute_pause, reroute_pause}, 0, context_.random());
  if (now + pause >= routed->request.deadline) {
    if (routed->attempts.known_outcome() == outcome::unknown) cause.stated_outcome = outcome::unknown;
    finish(routed, tl::unexpected<error>(std::move(cause)));
    return;
  }
  context_.loop.schedule(pause, [this, routed] { attempt(routed); });
}

void request_router::finish(const routed_pointer& routed, const result<service_reply>& reply) {
  --pending_;
  routed->done(reply);
}

void request_router::submit_relayed(service_request request, const reply_callback& done) {
  if (!request.transaction.empty()) {
    const auto id = decode_transaction_id(request.transaction, request.customer, context_.signer);
    if (!id) {
      done(tl::unexpected<error>(id.error()));
      return;
    }
    request.service = id->service;
  } else {
    const auto* matched_route = context_.shared.configuration.find_route(request.route);
    if (matched_route == nullptr) {
      // The sender has a newer document, which this VM has not received yet.
      done(
          make_error(error_kind::peer_unavailable,
                     fmt::format("the configuration of the owner has no route \"{}\"", request.route.str())));
      return;
    }
    request.service = matched_route->service;
    request.may_use_replicas = matched_route->read_replicas;
  }
  auto* executor = executor_of(request.service);
  if (executor == nullptr) {
    done(make_error(error_kind::peer_unavailable, "this VM is not the owner of the service"));
    return;
  }
  executor->submit(std::move(request), done);
}

void request_router::end_remaining() {
  for (const auto& [name, executor] : executors_) executor->end_remaining();
}

std::size_t request_router::pending_requests() const {
  std::size_t count = pending_;
  for (const auto& [name, executor] : executors_) count += executor->pending_requests();
  return count;
}

std::size_t request_router::open_transactions() const {
  std::size_t count = 0;
  for (const auto& [name, executor] : executors_) count += executor->open_transactions();
  return count;
}

service_executor* request_router::executor_of(const service_id& service) const {
  const auto found = executors_.find(service);
  return found == executors_.end() ? nullptr : found->second.get();
}

}  // namespace bulrushlift
