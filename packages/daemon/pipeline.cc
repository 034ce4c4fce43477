#include "daemon/pipeline.h"

#include <fmt/format.h>

#include <utility>

#include "daemon/answer.h"
#include "daemon/authenticate.h"

namespace bulrushlift {
namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

}  // namespace

caller_pipeline::caller_pipeline(daemon_context& context, configuration_adapter& configuration,
                                 budget_adapter& budgets, request_router& router)
    : context_(context),
      configuration_(configuration),
      budgets_(budgets),
      router_(router),
      latency_(context.registry.summary("request_seconds")) {}

void caller_pipeline::handle(const http_request& request, const http_responder& respond) {
  if (request.method == "GET" && request.target == "/healthz") {
    respond(health(true));
    return;
  }
  if (request.method == "GET" && request.target == "/readyz") {
    const bool is_running = context_.shared.drain == drain_state::running;
    respond(health(is_running && may_serve_keys(configuration_.state())));
    return;
  }
  pending_request pending;
  pending.start = context_.loop.now();
  pending.respond = respond;
  pending.id = request_id{
      fmt::format("{}-{:x}-{}", context_.options.vm.str(), context_.incarnation.value(), ++last_request_)};
  auto accepted = accept_request(request, context_.options.timing.default_deadline);
  if (!accepted) {
    refuse(pending, accepted.error());
    return;
  }
  pending.request = std::move(*accepted);
  pending.deadline = pending.start + pending.request.time_left;
  const auto customer = authenticate(context_.shared, configuration_.state(), pending.request);
  if (!customer) {
    refuse(pending, customer.error());
    return;
  }
  pending.customer = *customer;
  admit(std::move(pending));
}

void caller_pipeline::admit(pending_request&& pending) {
  const auto customer = pending.customer;
  budgets_.admit(customer, [this, pending = std::move(pending)](const result<void>& admitted) mutable {
    if (!admitted) {
      refuse(pending, admitted.error());
      return;
    }
    // The request is dropped if the caller closed its connection while the request waited for a loan.
    if (pending.respond.is_awaited()) route(std::move(pending));
  });
}

void caller_pipeline::route(pending_request&& pending) {
  auto session = decode_session_token(pending.request.session_token, pending.customer, context_.signer);
  if (!session) {
    refuse(pending, session.error());
    return;
  }
  service_request request;
  request.id = pending.id;
  request.op = pending.request.op;
  request.customer = pending.customer;
  request.route = pending.request.route;
  request.is_read = pending.request.is_read;
  request.statement = std::move(pending.request.statement);
  request.max_age = pending.request.max_age;
  request.is_idempotent = pending.request.is_idempotent;
  request.idempotency_key = std::move(pending.request.idempotency_key);
  request.transaction = std::move(pending.request.transaction);
  request.generation = context_.shared.configuration.generation();
  request.deadline = pending.deadline;
  if (!request.transaction.empty()) {
    const auto id = decode_transaction_id(request.transaction, pending.customer, context_.signer);
    if (!id) {
      refuse(pending, id.error());
      return;
    }
    request.service = id->service;
  } else {
    const auto* matched_route = context_.shared.configuration.find_route(request.route);
    if (matched_route == nullptr) {
      refuse(pending, {error_kind::no_route,
                       fmt::format("route \"{}\" does not exist in the configuration", request.route.str())});
      return;
    }
    request.service = matched_route->service;
    request.may_use_replicas = matched_route->read_replicas;
    if (!request.max_age) request.max_age = matched_route->max_age;
  }
  if (const auto room = session->check_room(request.service); !room) {
    refuse(pending, room.error());
    return;
  }
  request.required_point = session->required_point(request.service);
  execute(pending, std::move(request), *session);
}

void caller_pipeline::execute(const pending_request& pending, service_request&& request,
                              const session_token& session) {
  const auto service = request.service;
  router_.submit(std::move(request), [this, pending, session, service](const result<service_reply>& reply) {
    answer(pending, session, service, reply);
  });
}

void caller_pipeline::answer(const pending_request& pending, const session_token& session,
                             const service_id& service, const result<service_reply>& reply) {
  auto updated = session;
  result<void> merged;
  if (reply && reply->point) merged = updated.merge(service, *reply->point);
  const auto token = encode_session_token(updated, context_.signer);
  if (!reply) {
    record(pending, reply.error());
    pending.respond(format_error(pending.id, reply.error(), token));
    return;
  }
  if (!merged) {
    // The request ran, but the session token cannot include its log point.
    auto failure = merged.error();
    failure.stated_outcome = outcome::done;
    refuse(pending, failure);
    return;
  }
  record(pending, "done");
  pending.respond(format_reply(pending.id, *reply, token));
}

void caller_pipeline::refuse(const pending_request& pending, const error& reason) {
  record(pending, reason);
  pending.respond(format_error(pending.id, reason));
}

void caller_pipeline::record(const pending_request& pending, const error& reason) {
  record(pending, name_of(reason.kind));
  if (reason.request_outcome() != outcome::not_run) return;
  // The customer is empty before authentication. Later it is a name from the document, so callers cannot
  // create new time series.
  context_.registry
      .counter("refusals_total",
               {{"kind", std::string{name_of(reason.kind)}}, {"customer", pending.customer.str()}})
      .add();
}

void caller_pipeline::record(const pending_request& pending, std::string_view result) {
  latency_.record(context_.loop.now() - pending.start);
  context_.registry.counter("requests_total", {{"result", std::string{result}}}).add();
}

http_response caller_pipeline::health(bool is_ready) const {
  return json_response(is_ready ? status_ok : status_unavailable,
                       fmt::format(R"({{"ready":{},"drain":"{}","configuration":"{}"}})", is_ready,
                                   name_of(context_.shared.drain), name_of(configuration_.state())));
}

}  // namespace bulrushlift
