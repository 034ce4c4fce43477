#include "daemon/group_adapter.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "daemon/target_connections.h"

namespace bulrushlift {
namespace {

using nlohmann::json;

group_options options_of(const settings& values) {
  return group_options_builder{}
      .poll_interval(values.timing.poll_interval)
      .poll_timeout(values.timing.poll_timeout)
      .primary_silence(values.timing.primary_silence)
      .build()
      .value_or(group_options{});
}

http_request post(std::string path, const json& body) {
  http_request request;
  request.method = "POST";
  request.target = std::move(path);
  request.headers.add("Content-Type", "application/json");
  request.body = body.dump();
  return request;
}

http_request get(std::string path) {
  http_request request;
  request.target = std::move(path);
  return request;
}

std::uint32_t slot_count(const json& body, const char* name) { return body.value(name, std::uint32_t{0}); }

result<target_status> read_status(const target_answer& answer) {
  const auto& body = answer.body;
  if (!answer.error_kind.empty()) return tl::unexpected<error>(error_of(answer));
  if (!answer.point)
    return make_error(error_kind::protocol_error, "the status of the target has no log point");
  try {
    target_status status;
    status.target = target_id{body.at("target").get<std::string>()};
    status.role =
        body.at("role").get<std::string>() == "primary" ? target_role::primary : target_role::replica;
    status.term = answer.term;
    status.point = *answer.point;
    const auto& primary = body.at("primary");
    if (primary.is_string()) status.primary = target_id{primary.get<std::string>()};
    status.primary_contact = std::chrono::milliseconds{body.value("primary_contact_ms", std::int64_t{0})};
    status.slots = slot_count(body, "slots");
    status.slots_used = slot_count(body, "slots_used");
    return status;
  } catch (const json::exception& failure) {
    return make_error(error_kind::protocol_error,
                      fmt::format("the status of the target is malformed: {}", failure.what()));
  }
}

request_failure failure_of(const error& reason) {
  if (reason.kind == error_kind::deadline_exceeded) return request_failure::timed_out;
  if (reason.kind == error_kind::target_unavailable) return request_failure::refused;
  return request_failure::rejected;
}

}  // namespace

group_adapter::group_adapter(daemon_context& context, service_id service, callbacks handlers)
    : context_(context),
      service_(service),
      handlers_(std::move(handlers)),
      options_(options_of(context.options)),
      controller_(std::move(service), context.options.vm, context.incarnation, options_),
      tick_timer_(context.loop) {
  schedule_tick();
}

group_adapter::~group_adapter() = default;

void group_adapter::configure(const service& configured, const std::set<target_id>& leaving) {
  group_configured event;
  addresses_.clear();
  for (const auto& each : configured.targets) {
    event.targets.push_back({each.name, each.address.str(), each.data_centre});
    if (each.leaving || leaving.contains(each.name)) event.leaving.push_back(each.name);
    if (const auto address = parse_address(each.address.str())) addresses_[each.name] = *address;
  }
  std::erase_if(channels_, [this](const auto& entry) { return !addresses_.contains(entry.first); });
  handle(event);
}

void group_adapter::handle(const group_event& event) {
  const auto actions = controller_.handle(event, context_.loop.now(), context_.random());
  perform(actions);
  schedule_tick();
  handlers_.on_view_changed();
}

void group_adapter::schedule_tick() {
  // Only the owner, and a former owner with writes that are not yet acknowledged, has work on ticks. With
  // thousands of services on each VM, ticks for the others would use up a whole core.
  if (tick_timer_.is_set()) return;
  if (!controller_.view().is_owner && controller_.waiting_writes() == 0) return;
  tick_timer_.set(options_.tick_interval, [this] { handle(timer_ticked{}); });
}

void group_adapter::perform(const group_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
}

void group_adapter::run(const poll_target& action) {
  exchange_status(action.exchange, action.target, get("/v1/status"), action.timeout, action.is_new_connection,
                  [this, exchange = action.exchange](const target_status& status) {
                    handle(status_replied{exchange, status});
                  });
}

void group_adapter::run(const long_poll_target& action) {
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(action.wait);
  auto path = fmt::format("/v1/status?after_term={}&after_position={}&wait_ms={}", action.after.term.value(),
                          action.after.position.value(), wait.count());
  exchange_status(action.exchange, action.target, get(std::move(path)), action.timeout, false,
                  [this, exchange = action.exchange](const target_status& status) {
                    handle(status_replied{exchange, status});
                  });
}

void group_adapter::run(const fence_target& action) {
  const json body{{"term", action.term.value()}, {"candidate", action.candidate.str()}};
  exchange_message(
      action.target, post("/v1/fence", body), action.timeout, false,
      [this, exchange = action.exchange, target = action.target](const result<target_answer>& answer) {
        if (!answer) {
          report_failure(exchange, target, answer.error(), {});
          return;
        }
        const auto& fields = answer->body;
        if (!answer->error_kind.empty() || !answer->point || !fields.contains("accepted")) {
          report_failure(exchange, target, error_of(*answer), answer->term);
          return;
        }
        fence_replied reply{exchange,     target, fields.value("accepted", false),
                            answer->term, {},     *answer->point};
        if (fields.contains("candidate") && fields["candidate"].is_string()) {
          reply.candidate = candidate_id{fields["candidate"].get<std::string>()};
        }
        handle(reply);
      });
}

void group_adapter::run(const promote_target& action) {
  const json body{{"term", action.term.value()}, {"candidate", action.candidate.str()}};
  exchange_status(action.exchange, action.target, post("/v1/promote", body), action.timeout, false,
                  [this, exchange = action.exchange](const target_status& status) {
                    handle(promote_replied{exchange, status});
                  });
}

void group_adapter::run(const follow_target& action) {
  const json body{
      {"term", action.term.value()}, {"primary", action.primary.str()}, {"address", action.address}};
  exchange_status(action.exchange, action.target, post("/v1/follow", body), action.timeout, false,
                  [this, exchange = action.exchange](const target_status& status) {
                    handle(follow_replied{exchange, status});
                  });
}

// These callbacks change the requests of the executor, after the controller has handled its event.
void group_adapter::run(const acknowledge_write& action) {
  handlers_.on_acknowledged(action.request, action.point);
}

void group_adapter::run(const end_write_unknown& action) { handlers_.on_outcome_unknown(action.request); }

void group_adapter::run(const publish_group_status& action) { handlers_.on_publish(action); }

void group_adapter::run(const log_decision& action) {
  log_info(action.event, {{"service", service_.str()},
                          {"term", action.term.value()},
                          {"target", action.target.str()},
                          {"reason", action.reason}});
}

void group_adapter::exchange_status(exchange_id exchange, const target_id& target, http_request request,
                                    duration timeout, bool needs_new_connection,
                                    std::function<void(const target_status&)> done) {
  exchange_message(target, std::move(request), timeout, needs_new_connection,
                   [this, exchange, target, done = std::move(done)](const result<target_answer>& answer) {
                     const auto status = answer.and_then(read_status);
                     if (status) {
                       done(*status);
                     } else {
                       report_failure(exchange, target, status.error(), answer ? answer->term : term_id{});
                     }
                   });
}

void group_adapter::exchange_message(const target_id& target, http_request request, duration timeout,
                                     bool needs_new_connection, answer_callback done) {
  const auto address = addresses_.find(target);
  if (address == addresses_.end()) return;
  auto& list = channels_[target];
  const auto idle = std::find_if(list.begin(), list.end(), [](const auto& each) { return !each->is_busy; });
  if (!needs_new_connection && idle != list.end()) {
    (*idle)->is_busy = true;
    send_on(*idle, target, request, timeout, done);
    return;
  }
  // A poll that verifies a refused connection must open a new one. At the limit, the oldest idle connection
  // is closed to make room for it.
  if (list.size() >= control_connections && idle != list.end()) drop(target, *idle);
  if (list.size() >= control_connections) {
    context_.loop.post([done = std::move(done), alive = std::weak_ptr{alive_}] {
      if (alive.expired()) return;
      done(make_error(error_kind::deadline_exceeded, "all control connections to the target are busy"));
    });
    return;
  }
  auto channel = std::make_shared<control_channel>();
  channel->http = std::make_unique<http_connection>(context_.loop);
  list.push_back(channel);
  const auto start = context_.loop.now();
  channel->http->open(address->second, timeout,
                      [this, weak = std::weak_ptr{channel}, target, request = std::move(request), timeout,
                       start, done = std::move(done)](const result<void>& opened) {
                        const auto owned = weak.lock();
                        if (!owned) return;
                        if (opened) {
                          const auto left = timeout - (context_.loop.now() - start);
                          send_on(owned, target, request, left, done);
                          return;
                        }
                        drop(target, owned);
                        done(tl::unexpected<error>(opened.error()));
                      });
}

void group_adapter::send_on(const std::shared_ptr<control_channel>& channel, const target_id& target,
                            const http_request& request, duration timeout, const answer_callback& done) {
  channel->http->send(
      request, timeout,
      [this, weak = std::weak_ptr{channel}, target, done](const result<http_response>& response) {
        const auto owned = weak.lock();
        if (!owned) return;
        owned->is_busy = false;
        if (!response || response->close) drop(target, owned);
        done(response.and_then(read_target_answer));
      });
  channel->http->on_close([this, weak = std::weak_ptr{channel}, target](const error& /*reason*/) {
    if (const auto owned = weak.lock()) drop(target, owned);
  });
}

void group_adapter::drop(const target_id& target, const std::shared_ptr<control_channel>& channel) {
  const auto found = channels_.find(target);
  if (found == channels_.end()) return;
  std::erase(found->second, channel);
  // This may run inside a callback of the connection, so the connection is destroyed in the next turn of the
  // loop.
  context_.loop.post([channel] {});
}

void group_adapter::report_failure(exchange_id exchange, const target_id& target, const error& reason,
                                   term_id term) {
  handle(request_failed{exchange, target, failure_of(reason), term});
}

}  // namespace bulrushlift
