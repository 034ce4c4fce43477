#include "tools/load_generator.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace bulrushlift {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr std::size_t sessions_per_customer = 8;
/// How long the load balancer avoids a VM that refused a connection.
constexpr seconds avoid_duration{1};
constexpr int connect_attempts = 3;

std::string text_field(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

/// @return the number stored under `key` in the result of a read; 0 if there is none.
std::int64_t number_of(const json& result, const std::string& key) {
  const auto it = result.find(key);
  if (it == result.end() || !it->is_string()) return 0;
  return std::strtoll(it->get<std::string>().c_str(), nullptr, 10);
}

}  // namespace

load_generator::load_generator(event_loop& loop, load_options options)
    : loop_(loop), options_(std::move(options)), random_(options_.seed) {
  for (const auto& customer : options_.customers) {
    rates_.push_back(customer.requests_per_second);
    sessions_.emplace_back(sessions_per_customer);
  }
  vms_.resize(options_.vms.size());
}

load_generator::~load_generator() = default;

void load_generator::start() {
  started_at_ = loop_.now();
  active_customers_ = options_.customers.size();
  for (std::size_t i = 0; i < options_.customers.size(); ++i) schedule_arrival(i);
}

void load_generator::set_rate(std::size_t customer, double requests_per_second) {
  rates_[customer] = requests_per_second;
}

bool load_generator::is_finished() const noexcept { return active_customers_ == 0 && in_flight_ == 0; }

void load_generator::schedule_arrival(std::size_t customer) {
  std::exponential_distribution<double> gap{rates_[customer]};
  const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_)));
  loop_.schedule(wait, [this, customer] {
    if (loop_.now() - started_at_ >= options_.length) {
      --active_customers_;
      return;
    }
    send_request(customer);
    schedule_arrival(customer);
  });
}

std::string load_generator::make_body(load_record& record, const session& from) {
  const auto route = options_.routes[record.route];
  if (!record.is_write) {
    record.key = from.key;
    record.value = from.value;
    return json{{"route", route}, {"kind", "read"}, {"statement", "get " + record.key}}.dump();
  }
  record.value = next_value_++;
  record.key = fmt::format("order-{}", record.value);
  json body{
      {"route", route}, {"kind", "write"}, {"statement", fmt::format("add {} {}", record.key, record.value)}};
  if (std::bernoulli_distribution{options_.idempotent_share}(random_)) body["idempotency_key"] = record.key;
  return body.dump();
}

void load_generator::send_request(std::size_t customer) {
  auto& sessions = sessions_[customer];
  const auto index = std::uniform_int_distribution<std::size_t>{0, sessions.size() - 1}(random_);
  const auto& from = sessions[index];
  load_record record;
  record.customer = customer;
  record.is_write = from.key.empty() || !std::bernoulli_distribution{options_.read_share}(random_);
  record.route = record.is_write
                     ? std::uniform_int_distribution<std::size_t>{0, options_.routes.size() - 1}(random_)
                     : from.route;
  record.sent_at = loop_.now();
  http_request request{.method = "POST", .target = "/v1/execute"};
  request.body = make_body(record, from);
  request.headers.add("Authorization", "Bearer " + options_.customers[customer].key);
  if (!from.token.empty()) request.headers.add("Bulrushlift-Session", from.token);
  records_.push_back(std::move(record));
  ++in_flight_;
  dispatch(records_.size() - 1, request, index, connect_attempts);
}

std::size_t load_generator::choose_vm() {
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    if (vms_[i].avoid_until <= loop_.now()) usable.push_back(i);
  }
  std::uniform_int_distribution<std::size_t> any{0, vms_.size() - 1};
  if (usable.empty()) return any(random_);
  return usable[std::uniform_int_distribution<std::size_t>{0, usable.size() - 1}(random_)];
}

void load_generator::dispatch(std::size_t record, const http_request& request, std::size_t session_index,
                              int attempts_left) {
  const auto vm = choose_vm();
  auto& idle = vms_[vm].idle;
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (!connection->is_open()) continue;
    send_on_connection(record, request, session_index, vm, attempts_left, std::move(connection));
    return;
  }
  const auto id = next_connection_++;
  auto& opening = busy_connections_.emplace(id, std::make_unique<http_connection>(loop_)).first->second;
  opening->open(
      options_.vms[vm].address, seconds{1},
      [this, id, record, request, session_index, vm, attempts_left](const result<void>& opened) {
        auto connection = std::move(busy_connections_.at(id));
        busy_connections_.erase(id);
        if (opened) {
          send_on_connection(record, request, session_index, vm, attempts_left, std::move(connection));
          return;
        }
        vms_[vm].avoid_until = loop_.now() + avoid_duration;
        if (attempts_left > 1) {
          dispatch(record, request, session_index, attempts_left - 1);
        } else {
          finish_without_answer(record, {error_kind::target_unavailable, "no VM accepted a connection"});
        }
      });
}

void load_generator::send_on_connection(std::size_t record, const http_request& request,
                                        std::size_t session_index, std::size_t vm, int attempts_left,
                                        std::unique_ptr<http_connection> connection) {
  const auto id = next_connection_++;
  auto& used = busy_connections_.emplace(id, std::move(connection)).first->second;
  used->send(
      request, options_.request_timeout,
      [this, id, record, request, session_index, vm, attempts_left](const result<http_response>& response) {
        auto done = std::move(busy_connections_.at(id));
        busy_connections_.erase(id);
        if (response) {
          if (done->is_open()) vms_[vm].idle.push_back(std::move(done));
          finish(record, *response, session_index);
          return;
        }
        const bool is_unsent = response.error().request_outcome() == outcome::not_run;
        if (is_unsent && attempts_left > 1) {
          dispatch(record, request, session_index, attempts_left - 1);
          return;
        }
        finish_without_answer(record, response.error());
      });
}

void load_generator::finish(std::size_t index, const http_response& response, std::size_t session_index) {
  --in_flight_;
  auto& record = records_[index];
  record.answered_at = loop_.now();
  record.is_answered = true;
  const auto fields = json::parse(response.body, nullptr, false);
  if (!fields.is_object()) {
    record.kind = "malformed";
    record.outcome = "unknown";
    return;
  }
  if (fields.contains("error")) {
    record.kind = text_field(fields["error"], "kind");
    record.outcome = text_field(fields["error"], "outcome");
    return;
  }
  record.kind = "done";
  record.outcome = "done";
  record.target = text_field(fields, "target");
  record.term = fields.value("term", std::uint64_t{0});
  if (!record.is_write) {
    record.is_wrong = number_of(fields.value("result", json::object()), record.key) != record.value;
    return;
  }
  const auto token = response.headers.find("Bulrushlift-Session");
  if (!token) return;
  sessions_[record.customer][session_index] = {std::string{*token}, record.key, record.route, record.value};
}

void load_generator::finish_without_answer(std::size_t index, const error& reason) {
  --in_flight_;
  auto& record = records_[index];
  record.answered_at = loop_.now();
  record.kind = "connection";
  record.outcome = std::string{name_of(reason.request_outcome())};
}

}  // namespace bulrushlift
