#include "standins/platform_server.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushlift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view objects_prefix = "/v1/objects/";
constexpr std::string_view list_prefix = "/v1/list/";

/// @return the value of a numeric query parameter, or nothing if it is absent or no number.
std::optional<std::uint64_t> number_parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), field.size() + 1));
    if (!field.starts_with(name) || field.size() <= name.size() || field[name.size()] != '=') continue;
    const auto digits = field.substr(name.size() + 1);
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec == std::errc{} && end == digits.data() + digits.size()) return value;
  }
  return std::nullopt;
}

std::optional<object_version> version_parameter(std::string_view query) {
  const auto value = number_parameter(query, "if_version");
  return value ? std::optional{object_version{*value}} : std::nullopt;
}

bool parse_put_body(const std::string& body, store_request& call) {
  const auto fields = json::parse(body, nullptr, false);
  if (!fields.is_object() || !fields.contains("value")) return false;
  call.value = fields["value"].dump();
  if (const auto it = fields.find("if_version"); it != fields.end()) {
    if (!it->is_number_unsigned()) return false;
    call.if_version = object_version{it->get<std::uint64_t>()};
  }
  return true;
}

/// @return the call, or nothing if the request is not part of the object API (section 4.3).
std::optional<store_request> parse_store_call(const http_request& request) {
  const std::string_view target = request.target;
  const auto query_start = std::min(target.find('?'), target.size());
  const auto path = target.substr(0, query_start);
  const auto query = target.substr(std::min(query_start + 1, target.size()));
  store_request call;
  if (request.method == "GET" && path == "/v1/vms") {
    call.call = store_call_kind::vms;
  } else if (request.method == "GET" && path.starts_with(list_prefix)) {
    call.call = store_call_kind::list;
    call.path = path.substr(list_prefix.size());
  } else if (path.starts_with(objects_prefix) && path.size() > objects_prefix.size()) {
    call.path = path.substr(objects_prefix.size());
    call.if_version = version_parameter(query);
    if (request.method == "PUT") {
      call.call = store_call_kind::put;
      if (!parse_put_body(request.body, call)) return std::nullopt;
    } else if (request.method == "DELETE") {
      call.call = store_call_kind::remove;
    } else if (request.method != "GET") {
      return std::nullopt;
    } else if (const auto after = number_parameter(query, "watch_after")) {
      call.call = store_call_kind::watch;
      call.watch_after = object_version{*after};
      call.wait = milliseconds{number_parameter(query, "timeout_ms").value_or(0)};
    }
  } else {
    return std::nullopt;
  }
  return call;
}

json object_json(const stored_object& object) {
  return {{"path", object.path}, {"version", object.version.value()}, {"value", json::parse(object.value)}};
}

json vm_json(const listed_vm& vm) {
  return {{"name", vm.name},
          {"address", vm.address},
          {"data_centre", vm.data_centre},
          {"state", vm.leaving ? "leaving" : "live"}};
}

std::string reply_body(store_call_kind kind, const store_reply& reply) {
  json body = json::object();
  if (kind == store_call_kind::vms) {
    body["vms"] = json::array();
    for (const auto& it : reply.vms) body["vms"].push_back(vm_json(it));
  } else if (kind == store_call_kind::list) {
    body["objects"] = json::array();
    for (const auto& it : reply.objects) body["objects"].push_back(object_json(it));
  } else if (!reply.objects.empty()) {
    body = object_json(reply.objects.front());
  } else {
    body["version"] = reply.version.value();
  }
  return body.dump();
}

store_faults read_faults(const json& fields) {
  store_faults faults;
  faults.down = fields.value("down", false);
  faults.delay = milliseconds{fields.value("delay_ms", 0)};
  faults.lose_answers = fields.value("lose_answers", std::size_t{0});
  faults.serve_old = fields.value("serve_old", false);
  faults.silent_watch = fields.value("silent_watch", false);
  return faults;
}

std::vector<listed_vm> read_vms(const json& fields) {
  std::vector<listed_vm> vms;
  for (const auto& it : fields.at("vms")) {
    vms.push_back({it.value("name", ""), it.value("address", ""), it.value("data_centre", ""),
                   it.value("state", "live") == "leaving"});
  }
  return vms;
}

http_limits standin_limits() {
  http_limits limits;
  // JSON escaping makes a document of the maximum size longer.
  limits.body_bytes = 4U << 20U;
  return limits;
}

}  // namespace

platform_server::platform_server(event_loop& loop)
    : loop_(loop),
      timer_(loop),
      server_(loop, standin_limits(), [this](const http_request& request, const http_responder& respond) {
        handle(request, respond);
      }) {
  server_.on_close([this](http_connection_id closed) {
    std::erase_if(pending_calls_, [&](const auto& entry) {
      if (entry.second.connection != closed) return false;
      model_.discard_call(entry.first);
      return true;
    });
  });
}

void platform_server::handle(const http_request& request, const http_responder& respond) {
  const auto route = request.method + " " + request.target;
  try {
    if (route == "POST /v1/faults") {
      model_.set_faults(read_faults(json::parse(request.body)));
      respond(json_response(200, "{}"));
    } else if (route == "PUT /v1/vms") {
      model_.set_vms(read_vms(json::parse(request.body)));
      respond(json_response(200, "{}"));
    } else if (route == "GET /v1/counts") {
      json counts = json::object();
      for (const auto& [kind, count] : model_.counts()) counts[std::string{name_of(kind)}] = count;
      respond(json_response(200, counts.dump()));
    } else {
      handle_store_call(request, respond);
    }
  } catch (const json::exception& failure) {
    respond(json_response(400, json{{"error", failure.what()}}.dump()));
  }
}

void platform_server::handle_store_call(const http_request& request, const http_responder& respond) {
  auto call = parse_store_call(request);
  if (!call) {
    respond(json_response(400, R"({"error": "no call of the object API"})"));
    return;
  }
  call->id = ++last_id_;
  pending_calls_.emplace(call->id, pending_call{request.connection, call->call, respond});
  deliver(model_.handle(loop_.now(), *call));
}

void platform_server::deliver(const std::vector<store_reply>& replies) {
  for (const auto& it : replies) deliver_one(it);
  set_timer();
}

void platform_server::deliver_one(const store_reply& reply) {
  const auto entry = pending_calls_.extract(reply.id);
  if (entry.empty()) return;
  const auto& call = entry.mapped();
  // A lost answer becomes a gateway error, from which the caller can't tell whether the call took effect.
  const int status = reply.status == 0 ? 503 : reply.status;
  auto response = json_response(status, status == 304 ? std::string{} : reply_body(call.kind, reply));
  response.close = reply.status == 0;
  call.respond(std::move(response));
}

void platform_server::set_timer() {
  const auto next = model_.next_due();
  if (!next) {
    timer_.cancel();
    return;
  }
  timer_.set(*next - loop_.now(), [this] { deliver(model_.advance(loop_.now())); });
}

}  // namespace bulrushlift
