#include "daemon/target_connections.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace bulrushlift {
namespace {

// Added to the timeouts of the connection. The pool controller ends requests at their deadlines; the timeout
// of the connection is only a backstop.
constexpr duration backstop_margin = std::chrono::seconds{5};

pool_options pool_options_of(const settings& options, const target& configured) {
  pool_options pool;
  const auto reserved = 2 * control_connections;
  const auto limit = static_cast<std::uint32_t>(configured.connections);
  pool.connection_limit = limit > reserved ? limit - reserved : limit;
  pool.slots = static_cast<std::uint32_t>(configured.slots);
  pool.opening_limit = static_cast<std::uint32_t>(options.limits.opening_connections);
  pool.probe_interval = options.timing.probe_interval;
  pool.probe_timeout = options.timing.probe_timeout;
  return pool;
}

net_address address_of(const network_address& text) {
  return parse_address(text.str()).value_or(net_address{});
}

}  // namespace

target_connections::target_connections(daemon_context& context, const target& configured,
                                       target_observer& observer)
    : context_(context),
      name_(configured.name),
      address_(address_of(configured.address)),
      pool_(pool_options_of(context.options, configured)),
      observer_(observer),
      timer_(context.loop) {
  perform(pool_.start(now(), random()));
}

target_connections::~target_connections() = default;

void target_connections::configure(const target& configured, bool is_leaving) {
  const auto options = pool_options_of(context_.options, configured);
  perform(pool_.set_limits(options.connection_limit, options.slots, now(), random()));
  perform(pool_.set_leaving(is_leaving, now(), random()));
}

result<connection_id> target_connections::start_request(ticket_id ticket, pool_use use,
                                                        target_message message, time_point deadline) {
  const auto actions = pool_.start_request(ticket, use, deadline, now());
  if (!actions) return tl::unexpected<error>(actions.error());
  connection_id used;
  for (const auto& action : *actions) {
    if (const auto* send = std::get_if<send_request>(&action)) used = send->connection;
  }
  unsent_.emplace(ticket, unsent_message{std::move(message), deadline});
  perform(*actions);
  return used;
}

result<connection_id> target_connections::start_bound_request(connection_id connection, ticket_id ticket,
                                                              target_message message, time_point deadline) {
  const auto actions = pool_.start_bound_request(connection, ticket, deadline, now());
  if (!actions) return tl::unexpected<error>(actions.error());
  unsent_.emplace(ticket, unsent_message{std::move(message), deadline});
  perform(*actions);
  return connection;
}

void target_connections::release(connection_id connection) {
  perform(pool_.release(connection, now(), random()));
}
void target_connections::discard(connection_id connection) {
  perform(pool_.discard(connection, now(), random()));
}

void target_connections::perform(const pool_actions& actions) {
  view_ = pool_.view();
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  rearm();
}

void target_connections::run(const open_connection& action) {
  const auto id = action.connection;
  auto http = std::make_unique<http_connection>(context_.loop);
  http->on_close([this, id](const error& reason) {
    last_failure_ = reason;
    perform(pool_.on_reset(id, now(), random()));
  });
  auto& channel = channels_[id];
  channel.http = std::move(http);
  // The pool controller closes connections that do not open within its own timeout.
  channel.http->open(
      address_, pool_options{}.open_timeout + backstop_margin, [this, id](const result<void>& opened) {
        if (opened) {
          perform(pool_.on_opened(id, now(), random()));
          return;
        }
        log_warning("connection_failed", {{"target", name_.str()}, {"reason", opened.error().message}});
        perform(pool_.on_open_failed(id, now(), random()));
        observer_.on_connection_refused(name_);
      });
}

void target_connections::run(const close_connection& action) {
  auto node = channels_.extract(action.connection);
  if (node.empty()) return;
  if (action.reason != pool_failure::surplus) {
    log_info("connection_closed", {{"target", name_.str()}, {"reason", name_of(action.reason)}});
  }
  // This may run inside a callback of the connection, so it is destroyed in the next turn of the loop.
  context_.loop.post([http = std::shared_ptr<http_connection>(std::move(node.mapped().http))] {});
}

void target_connections::run(const send_request& action) {
  auto node = unsent_.extract(action.ticket);
  const auto found = channels_.find(action.connection);
  if (node.empty() || found == channels_.end()) return;
  auto& channel = found->second;
  channel.correlation = action.correlation;
  channel.is_probe = false;
  const auto request = make_target_request(std::move(node.mapped().message), action.correlation.value());
  channel.http->send(
      request, node.mapped().deadline - now() + backstop_margin,
      [this, id = action.connection](const result<http_response>& response) { on_response(id, response); });
}

void target_connections::run(const send_probe& action) {
  const auto found = channels_.find(action.connection);
  if (found == channels_.end()) return;
  auto& channel = found->second;
  channel.correlation = action.correlation;
  channel.is_probe = true;
  http_request request;
  request.target = "/v1/status";
  channel.http->send(
      request, context_.options.timing.probe_timeout + backstop_margin,
      [this, id = action.connection](const result<http_response>& response) { on_response(id, response); });
}

void target_connections::on_response(connection_id connection, const result<http_response>& response) {
  const auto found = channels_.find(connection);
  if (found == channels_.end()) return;
  auto& channel = found->second;
  auto answer = response.and_then(read_target_answer);
  if (!answer) {
    last_failure_ = answer.error();
    perform(pool_.on_reset(connection, now(), random()));
    return;
  }
  // The answer to a probe has no id. It is matched by the connection, which carries one request at a time.
  const auto correlation = channel.is_probe ? channel.correlation : correlation_id{answer->id.value_or(0)};
  const bool is_refused = answer->error_kind == "too_many_connections";
  current_answer_ = &*answer;
  perform(pool_.on_answer(connection, correlation, now(), random()));
  current_answer_ = nullptr;
  if (!is_refused || !channels_.contains(connection)) return;
  last_failure_ = {error_kind::target_unavailable, "the target has too many connections"};
  perform(pool_.on_open_failed(connection, now(), random()));
}

void target_connections::run(const deliver_answer& action) {
  if (current_answer_ == nullptr) return;
  // Copied, because the observer may start requests, whose answers would replace the current one.
  const auto answer = *current_answer_;
  observer_.on_request_end(action.ticket, answer);
}

void target_connections::run(const discard_answer& /*action*/) {
  log_warning("answer_discarded", {{"target", name_.str()}, {"reason", "no waiting request has its id"}});
}

void target_connections::run(const fail_request& action) {
  unsent_.erase(action.ticket);
  const bool is_late = action.reason == pool_failure::deadline;
  const auto kind = is_late ? error_kind::deadline_exceeded : error_kind::target_unavailable;
  observer_.on_request_end(
      action.ticket, make_error(kind, fmt::format("target {}: {} {}", name_.str(), name_of(action.reason),
                                                  action.reason == pool_failure::reset ? last_failure_.message
                                                                                       : std::string{})));
}

void target_connections::run(const binding_lost& action) {
  observer_.on_binding_lost(name_, action.connection);
}

void target_connections::run(const capacity_free& /*action*/) { observer_.on_capacity_freed(name_); }

void target_connections::rearm() {
  const auto due = pool_.next_timer();
  if (!due) {
    timer_.cancel();
    return;
  }
  timer_.set(*due - now(), [this] { perform(pool_.on_timer(now(), random())); });
}

}  // namespace bulrushlift
