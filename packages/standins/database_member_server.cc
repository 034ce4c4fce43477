#include "standins/database_member_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace bulrushlift::standin {
namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Longest time that a replica's request for entries waits. It bounds the time since a replica's last
/// contact with the primary while nothing is written.
constexpr duration max_pull_wait = 50ms;
constexpr duration pull_timeout = 500ms;
constexpr duration pull_retry_delay = 20ms;
constexpr std::string_view faults_path = "/v1/faults";
constexpr std::string_view audit_path = "/v1/audit";

std::string_view path_of(std::string_view target) { return target.substr(0, target.find('?')); }

/// @return the value of a numeric query parameter, or 0 if it is absent or no number.
std::uint64_t query_number(std::string_view target, std::string_view name) {
  auto query = target.substr(std::min(target.find('?'), target.size()));
  while (!query.empty()) {
    query.remove_prefix(1);
    const auto field = query.substr(0, query.find('&'));
    query.remove_prefix(field.size());
    if (!field.starts_with(name) || field.substr(name.size(), 1) != "=") continue;
    std::uint64_t value = 0;
    std::from_chars(field.data() + name.size() + 1, field.data() + field.size(), value);
    return value;
  }
  return 0;
}

connection_number connection_number_of(const http_request& request) {
  return connection_number{request.connection.value()};
}

void answer(const http_responder& respond, int status, const json& body) {
  respond(json_response(status, body.dump()));
}

void answer_error(const http_responder& respond, const member_error& failure, const std::string& id = {}) {
  answer(respond, traits_of(failure.kind).http_status, to_json(failure, id));
}

}  // namespace

database_member_server::database_member_server(event_loop& loop, member_server_options options)
    : loop_(loop),
      options_(std::move(options)),
      model_(options_.member, loop.now()),
      server_(loop, {},
              [this](const http_request& request, const http_responder& respond) {
                on_request(request, respond);
              }),
      pull_timer_(loop),
      waiting_timer_(loop) {
  server_.on_close([this](http_connection_id connection) {
    open_sessions_.erase(connection);
    model_.close_connection(connection_number{connection.value()});
  });
}

result<net_address> database_member_server::listen() {
  auto bound = server_.listen(options_.listen);
  if (bound) bound_ = *bound;
  return bound;
}

// ---------------------------------------------------------------------------
// Requests
// ---------------------------------------------------------------------------

database_member_server::route database_member_server::find_route(std::string_view method,
                                                                 std::string_view path) {
  using self = database_member_server;
  struct row {
    std::string_view method;
    std::string_view path;
    route handler;
  };
  static constexpr std::array routes{
      row{"GET", "/v1/status", &self::on_status},    row{"POST", "/v1/fence", &self::on_fence},
      row{"POST", "/v1/promote", &self::on_promote}, row{"POST", "/v1/follow", &self::on_follow},
      row{"POST", "/v1/execute", &self::on_execute}, row{"POST", "/v1/begin", &self::on_begin},
      row{"POST", "/v1/commit", &self::on_commit},   row{"POST", "/v1/rollback", &self::on_rollback},
      row{"POST", "/v1/resolve", &self::on_resolve}, row{"POST", "/v1/log", &self::on_log},
      row{"POST", faults_path, &self::on_faults},    row{"GET", audit_path, &self::on_audit}};
  const auto* it = std::find_if(routes.begin(), routes.end(),
                                [&](const row& item) { return item.method == method && item.path == path; });
  return it == routes.end() ? nullptr : it->handler;
}

void database_member_server::on_request(const http_request& request, const http_responder& respond) {
  if (request.headers.find("authorization")) has_seen_authorization_ = true;
  const auto path = path_of(request.target);
  const bool is_test_request = path == faults_path || path == audit_path;
  if (is_test_request || loop_.now() >= paused_until_) {
    dispatch(request, respond);
    return;
  }
  loop_.schedule(paused_until_ - loop_.now(), [=, this] { on_request(request, respond); });
}

void database_member_server::dispatch(const http_request& request, const http_responder& respond) {
  const auto handler = find_route(request.method, path_of(request.target));
  if (handler == nullptr)
    return answer_error(respond, {member_error_kind::bad_request, "unknown path", {}, {}});
  try {
    const auto body = request.body.empty() ? json::object() : json::parse(request.body);
    (this->*handler)(request, body, respond);
  } catch (const json::exception& failure) {
    answer_error(respond, {member_error_kind::bad_request, failure.what(), model_.term(), {}});
  }
  answer_waiting_requests();
}

void database_member_server::on_status(const http_request& request, const json& /*body*/,
                                       const http_responder& respond) {
  const log_point after{term_id{query_number(request.target, "after_term")},
                        log_position{query_number(request.target, "after_position")}};
  const milliseconds wait{query_number(request.target, "wait_ms")};
  polls_.push_back({after, loop_.now() + wait, respond});
}

void database_member_server::on_fence(const http_request& /*request*/, const json& body,
                                      const http_responder& respond) {
  const term_id term{body.at("term").get<std::uint64_t>()};
  const auto reply = model_.fence(term, body.at("candidate").get<std::string>(), loop_.now());
  answer(respond, 200,
         {{"accepted", reply.is_accepted},
          {"term", reply.term.value()},
          {"candidate", reply.candidate},
          {"point", to_json(reply.point)}});
}

void database_member_server::on_promote(const http_request& /*request*/, const json& body,
                                        const http_responder& respond) {
  const term_id term{body.at("term").get<std::uint64_t>()};
  answer_status(respond, model_.promote(term, body.at("candidate").get<std::string>(), loop_.now()));
}

void database_member_server::on_follow(const http_request& /*request*/, const json& body,
                                       const http_responder& respond) {
  const term_id term{body.at("term").get<std::uint64_t>()};
  const target_id primary{body.at("primary").get<std::string>()};
  auto address = body.value("address", std::string{});
  if (address.empty() && options_.peers.contains(primary)) address = options_.peers.at(primary);
  answer_status(respond, model_.follow(term, primary, address, loop_.now()));
  pull();
}

void database_member_server::answer_status(const http_responder& respond,
                                           const member_result<member_status>& reply) {
  if (!reply) return answer_error(respond, reply.error());
  answer(respond, 200, to_json(*reply));
}

// ---------------------------------------------------------------------------
// Sessions
// ---------------------------------------------------------------------------

/// Calls `work`; for the first session request of a connection, `connection_cost` later.
void database_member_server::run_after_connection_cost(const http_request& request,
                                                       const http_responder& respond,
                                                       const std::function<void()>& work) {
  const bool is_new = open_sessions_.insert(request.connection).second;
  if (!is_new || options_.connection_cost == duration{}) return work();
  loop_.schedule(options_.connection_cost, [=, this] {
    if (!respond.is_awaited()) return;
    work();
    answer_waiting_requests();
  });
}

void database_member_server::answer_session(const http_responder& respond, int status, const json& body) {
  if (answers_to_drop_ > 0) {
    --answers_to_drop_;
    return;
  }
  answer(respond, status, body);
}

void database_member_server::answer_point(const json& body, const http_responder& respond,
                                          const member_result<log_point>& reply) {
  const auto id = body.at("id").get<std::string>();
  if (!reply) return answer_error(respond, reply.error(), id);
  answer_session(respond, 200, {{"id", id}, {"point", to_json(*reply)}});
}

void database_member_server::on_execute(const http_request& request, const json& body,
                                        const http_responder& respond) {
  const auto statement = read_execute(body);
  run_after_connection_cost(request, respond, [=, this, connection = connection_number_of(request)] {
    const auto ticket = model_.start(connection, statement);
    if (!ticket) return answer_error(respond, ticket.error(), statement.id);
    if (options_.statement_cost == duration{}) return finish_statement(*ticket, statement.id, respond);
    loop_.schedule(options_.statement_cost, [=, this] {
      finish_statement(*ticket, statement.id, respond);
      answer_waiting_requests();
    });
  });
}

void database_member_server::finish_statement(statement_ticket ticket, const std::string& id,
                                              const http_responder& respond) {
  const auto reply = model_.finish(ticket, loop_.now());
  if (!reply) return answer_error(respond, reply.error(), id);
  answer_session(respond, 200,
                 {{"id", id},
                  {"point", to_json(reply->point)},
                  {"result", to_json(reply->rows)},
                  {"replayed", reply->is_replayed}});
}

void database_member_server::on_begin(const http_request& request, const json& body,
                                      const http_responder& respond) {
  run_after_connection_cost(request, respond, [=, this, transaction = read_transaction(body)] {
    answer_point(body, respond, model_.begin(connection_number_of(request), transaction));
  });
}

void database_member_server::on_commit(const http_request& request, const json& body,
                                       const http_responder& respond) {
  answer_point(body, respond,
               model_.commit(connection_number_of(request), read_transaction(body), loop_.now()));
}

void database_member_server::on_rollback(const http_request& request, const json& body,
                                         const http_responder& respond) {
  answer_point(body, respond, model_.rollback(connection_number_of(request), read_transaction(body)));
}

void database_member_server::on_resolve(const http_request& request, const json& body,
                                        const http_responder& respond) {
  run_after_connection_cost(request, respond, [=, this, to_resolve = read_resolve(body)] {
    const auto reply = model_.resolve(connection_number_of(request), to_resolve, loop_.now());
    if (!reply) return answer_error(respond, reply.error(), to_resolve.id);
    json value{{"id", to_resolve.id},
               {"outcome", reply->is_done ? "done" : "cancelled"},
               {"point", to_json(reply->point)}};
    if (reply->is_done) value["result"] = to_json(reply->rows);
    answer_session(respond, 200, value);
  });
}

// ---------------------------------------------------------------------------
// Replication
// ---------------------------------------------------------------------------

void database_member_server::on_log(const http_request& /*request*/, const json& body,
                                    const http_responder& respond) {
  if (!is_replication_cut_) pulls_.push_back({read_pull(body), loop_.now() + max_pull_wait, respond});
}

/// Answers the waiting status polls and log requests that have news or reached their deadline, and sets the
/// timer for the others.
void database_member_server::answer_waiting_requests() {
  const auto now = loop_.now();
  auto next = now + max_pull_wait;
  for (auto& poll : std::exchange(polls_, {})) {
    if (model_.point() > poll.after || now >= poll.deadline) {
      answer(poll.respond, 200, to_json(model_.status(now)));
    } else if (poll.respond.is_awaited()) {
      next = std::min(next, poll.deadline);
      polls_.push_back(std::move(poll));
    }
  }
  for (auto& item : std::exchange(pulls_, {})) {
    const auto reply = model_.answer_pull(item.request, now);
    if (!reply) {
      answer_error(item.respond, reply.error());
    } else if (!reply->entries.empty() || now >= item.deadline) {
      answer(item.respond, 200, to_json(*reply));
    } else if (item.respond.is_awaited()) {
      // No event is raised when an entry gets older than the replication lag, so the age is polled.
      next = std::min(next, item.request.minimum_age > duration{} ? now + 1ms : item.deadline);
      pulls_.push_back(std::move(item));
    }
  }
  if (!polls_.empty() || !pulls_.empty())
    waiting_timer_.set(next - now, [this] { answer_waiting_requests(); });
}

void database_member_server::pull() {
  const auto request = model_.next_pull();
  const auto address = parse_address(model_.primary_address());
  if (!request || !address || is_replication_cut_ || loop_.now() < paused_until_) {
    pull_timer_.set(pull_retry_delay, [this] { pull(); });
    return;
  }
  const bool is_current = primary_connection_ && primary_connection_address_ == model_.primary_address();
  if (is_current && primary_connection_->is_busy()) return;
  if (is_current && primary_connection_->is_open()) {
    const http_request message{.method = "POST", .target = "/v1/log", .body = to_json(*request).dump()};
    primary_connection_->send(message, pull_timeout, [this](const auto& reply) { on_pull_answer(reply); });
    return;
  }
  primary_connection_ = std::make_unique<http_connection>(loop_);
  primary_connection_address_ = model_.primary_address();
  primary_connection_->open(*address, pull_timeout, [this](const result<void>& opened) {
    pull_timer_.set(opened ? duration{} : pull_retry_delay, [this] { pull(); });
  });
}

void database_member_server::on_pull_answer(const result<http_response>& reply) {
  auto retry_delay = pull_retry_delay;
  if (reply && reply->status == 200 && !is_replication_cut_ && loop_.now() >= paused_until_) {
    try {
      model_.accept_pull(read_pull_answer(json::parse(reply->body)), loop_.now());
      retry_delay = duration{};
      answer_waiting_requests();
    } catch (const json::exception&) {
      retry_delay = pull_retry_delay;
    }
  }
  pull_timer_.set(retry_delay, [this] { pull(); });
}

// ---------------------------------------------------------------------------
// Requests for tests
// ---------------------------------------------------------------------------

void database_member_server::on_faults(const http_request& /*request*/, const json& body,
                                       const http_responder& respond) {
  if (body.contains("pause_ms")) paused_until_ = loop_.now() + milliseconds{body.at("pause_ms").get<int>()};
  is_replication_cut_ = body.value("cut_replication", is_replication_cut_);
  answers_to_drop_ = body.value("drop_answers", answers_to_drop_);
  if (body.contains("replication_lag_ms")) {
    model_.set_replication_lag(milliseconds{body.at("replication_lag_ms").get<int>()});
  }
  if (body.contains("refuse_ms")) {
    server_.stop_listening();
    options_.listen = bound_;
    loop_.schedule(milliseconds{body.at("refuse_ms").get<int>()}, [this] { (void)server_.listen(bound_); });
  }
  answer(respond, 200, json::object());
}

void database_member_server::on_audit(const http_request& /*request*/, const json& /*body*/,
                                      const http_responder& respond) {
  auto entries = json::array();
  for (const auto& entry : model_.entries()) entries.push_back(to_json(entry));
  answer(respond, 200,
         {{"status", to_json(model_.status(loop_.now()))},
          {"entries", entries},
          {"values", model_.store().values()},
          {"authorization_seen", has_seen_authorization_}});
}

}  // namespace bulrushlift::standin
