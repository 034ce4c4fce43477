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
    const bool is_running = context_.board.drain == drain_state::running;
    respond(health(is_running && may_serve_keys(configuration_.state())));
    return;
  }
  passage it;
  it.start = context_.loop.now();
  it.respond = respond;
  it.id = request_id{
      fmt::format("{}-{:x}-{}", context_.options.vm.str(), context_.incarnation.value(), ++last_request_)};
  auto accepted = accept_request(request, context_.options.timing.default_deadline);
  if (!accepted) {
    refuse(it, accepted.error());
    return;
  }
  it.request = std::move(*accepted);
  it.deadline = it.start + it.request.time_left;
  const auto customer = authenticate(context_.board, configuration_.state(), it.request);
  if (!customer) {
    refuse(it, customer.error());
    return;
  }
  it.customer = *customer;
  admit(std::move(it));
}

void caller_pipeline::admit(passage&& it) {
  const auto customer = it.customer;
  budgets_.admit(customer, [this, it = std::move(it)](const result<void>& admitted) mutable {
    if (!admitted) {
      refuse(it, admitted.error());
      return;
    }
    // A caller that left while its request waited gets no answer, so nothing runs for it.
    if (it.respond.is_awaited()) route(std::move(it));
  });
}

void caller_pipeline::route(passage&& it) {
  auto session = decode_session_token(it.request.session_token, it.customer, context_.secrets);
  if (!session) {
    refuse(it, session.error());
    return;
  }
  service_request request;
  request.id = it.id;
  request.what = it.request.what;
  request.customer = it.customer;
  request.route = it.request.route;
  request.is_read = it.request.is_read;
  request.statement = std::move(it.request.statement);
  request.max_age = it.request.max_age;
  request.is_idempotent = it.request.is_idempotent;
  request.idempotency_key = std::move(it.request.idempotency_key);
  request.transaction = std::move(it.request.transaction);
  request.generation = context_.board.configuration.generation();
  request.deadline = it.deadline;
  if (!request.transaction.empty()) {
    const auto id = decode_transaction_id(request.transaction, it.customer, context_.secrets);
    if (!id) {
      refuse(it, id.error());
      return;
    }
    request.service = id->service;
  } else {
    const auto* where = context_.board.configuration.find_route(request.route);
    if (where == nullptr) {
      refuse(it, {error_kind::no_route, fmt::format("no route \"{}\"", request.route.str())});
      return;
    }
    request.service = where->service;
    request.may_use_replicas = where->read_replicas;
    if (!request.max_age) request.max_age = where->max_age;
  }
  if (const auto room = session->check_room(request.service); !room) {
    refuse(it, room.error());
    return;
  }
  request.required_point = session->required_point(request.service);
  execute(it, std::move(request), *session);
}

void caller_pipeline::execute(const passage& it, service_request&& request, const session_token& session) {
  const auto service = request.service;
  router_.submit(std::move(request), [this, it, session, service](const result<service_reply>& reply) {
    answer(it, session, service, reply);
  });
}

void caller_pipeline::answer(const passage& it, const session_token& session, const service_id& service,
                             const result<service_reply>& reply) {
  auto updated = session;
  result<void> merged;
  if (reply && reply->point) merged = updated.merge(service, *reply->point);
  const auto token = encode_session_token(updated, context_.secrets);
  if (!reply) {
    record(it, reply.error());
    it.respond(format_error(it.id, reply.error(), token));
    return;
  }
  if (!merged) {
    // The request ran, but the session can't be told about it.
    auto failure = merged.error();
    failure.stated_outcome = outcome::done;
    refuse(it, failure);
    return;
  }
  record(it, "done");
  it.respond(format_reply(it.id, *reply, token));
}

void caller_pipeline::refuse(const passage& it, const error& reason) {
  record(it, reason);
  it.respond(format_error(it.id, reason));
}

void caller_pipeline::record(const passage& it, const error& reason) {
  record(it, name_of(reason.kind));
  if (reason.request_outcome() != outcome::not_run) return;
  // The customer is empty until the request is authenticated. Only names of the
  // document reach this label, so callers can't add series.
  context_.registry
      .counter("refusals_total",
               {{"kind", std::string{name_of(reason.kind)}}, {"customer", it.customer.str()}})
      .add();
}

void caller_pipeline::record(const passage& it, std::string_view result) {
  latency_.record(context_.loop.now() - it.start);
  context_.registry.counter("requests_total", {{"result", std::string{result}}}).add();
}

http_response caller_pipeline::health(bool is_ready) const {
  return json_response(is_ready ? status_ok : status_unavailable,
                       fmt::format(R"({{"ready":{},"drain":"{}","configuration":"{}"}})", is_ready,
                                   name_of(context_.board.drain), name_of(configuration_.state())));
}

}  // namespace bulrushlift
